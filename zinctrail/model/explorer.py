"""Breadth-first exploration of a cluster: every enabled step of every state, within a scope's limits."""

import collections
import collections.abc
import dataclasses
import resource
import time
import typing

import zinctrail.model.cluster_state as cluster_state
import zinctrail.model.invariants as invariants
import zinctrail.model.node_states as node_states
import zinctrail.model.reports as reports
import zinctrail.model.roles as roles
import zinctrail.model.scopes as scopes
import zinctrail.model.start_state as start_state
import zinctrail.model.steps as steps
import zinctrail.model.transitions as transitions

# The invariant that no input makes a machine raise an exception.
NO_EXCEPTION = 'no_exception'
# Number of newly found states between two progress reports.
PROGRESS_STATES = 10_000
KIB_PER_MIB = 1024


class Explorer:
    """Explores one scope, once.

    If `remember` is off, every input is carried out anew: exact but slow. Progress
    lines go to `progress`. Only the invariant `only` is checked, or all if it is empty.
    """

    def __init__(
        self,
        scope: scopes.Scope,
        remember: bool = True,
        progress: collections.abc.Callable[[str], None] | None = None,
        only: str = '',
    ):
        self.scope = scope
        self.limits = scope.limits
        self.progress = progress
        self.only = only
        self.report = reports.Report(scope.name)
        seeds = [roles.address_of(index) for index in range(scope.voters)]
        self.nodes = node_states.NodeStates(scope.role, seeds, scope.requests, remember, scope.least_voters)
        self.transitions = transitions.Transitions(scope, self.nodes, self.report)
        # The number of voters, or 0 if the scope can change the voting set or lose disks.
        changes = scope.spares or self.limits.wipes or self.limits.losses or self.limits.shutdowns
        self.fixed_voters = 0 if changes else scope.voters
        # The digests of all states found, and the queue of states whose steps are still to be taken.
        self.visited: set[bytes] = set()
        self.queue: collections.deque[cluster_state.ClusterState] = collections.deque()

    def start(self) -> cluster_state.ClusterState:
        """Return the state that the exploration begins with."""
        return start_state.StartState(self.scope, self.transitions).build()

    def run(self) -> reports.Report:
        """Explore until there is a finding or no state within the limits remains; return the report."""
        began = time.monotonic()
        first = self.start()
        self.visited.add(first.digest())
        self.queue.append(first)
        while self.queue and self.report.finding is None:
            state = self.queue.popleft()
            self.report.depth = max(self.report.depth, state.depth)
            self.expand(state)
        self.report.states = len(self.visited)
        self.report.seconds = time.monotonic() - began
        self.report.memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB
        self.report.node_states = len(self.nodes.states)
        self.report.inputs_played = self.nodes.inputs_played
        return self.report

    def expand(self, state: cluster_state.ClusterState) -> None:
        """Take every enabled step of a state, and check the invariants in each state that it leads to."""
        if state.depth >= self.limits.depth:
            self.report.cut_off['depth'] += 1
            return
        for step in self.transitions.enabled_steps(state):
            if self.report.finding:
                return
            for new, responses in self.take(state, step):
                self.report.steps += 1
                violation = self.violation(new, responses)
                if violation and self.is_confirmed(new.path()):
                    self.report.finding = reports.Finding(*violation, new.path())
                    return
                self.visit(new, state.depth)

    def take(
        self, state: cluster_state.ClusterState, step: steps.Step
    ) -> collections.abc.Iterator[transitions.Successor]:
        """Yield the states that a step leads to; an exception in a machine is a finding."""
        try:
            yield from self.transitions.take(state, step)
        except node_states.MachineFailedError as error:
            path = [*state.path(), step]
            if self.is_confirmed(path):
                self.report.finding = reports.Finding(NO_EXCEPTION, str(error), path)

    def visit(self, new: cluster_state.ClusterState, depth: int) -> None:
        """Queue a state, unless it was visited before or is beyond a limit."""
        if max(node.view.term for node in new.nodes) > self.limits.term:
            self.report.cut_off['term'] += 1
            return
        state_digest = new.digest()
        if state_digest in self.visited:
            return
        if len(self.visited) >= self.limits.states:
            self.report.cut_off['states'] += 1
            return
        self.visited.add(state_digest)
        self.report.count_reached(new)
        self.queue.append(new)
        if self.progress and len(self.visited) % PROGRESS_STATES == 0:
            self.progress(f'... {len(self.visited)} states, depth {depth}, {len(self.queue)} waiting')

    def violation(self, state: cluster_state.ClusterState, responses) -> tuple[str, str] | None:
        """Return the first invariant that a state violates, with the reason; None if `only` names another one."""
        found = invariants.first_violation(
            state, responses, self.transitions.requests, self.fixed_voters, self.scope.least_voters
        )
        return found if found and self.only in ('', found[0]) else None

    def is_confirmed(self, path: list[steps.Step]) -> bool:
        """True if the steps lead to a finding again when replayed without cached states.

        Here no state stands in for another one with the same digest.
        """
        try:
            if Explorer(self.scope, remember=False, only=self.only).replay(path):
                return True
        except steps.StepNotEnabledError:
            # The path goes through a state that stood in for another one with the same digest: not a finding.
            pass
        self.report.cut_off['findings not confirmed'] += 1
        return False

    def replay(self, path: list[steps.Step]) -> reports.Finding | None:
        """Take the steps again and return the first violation; raises StepNotEnabledError if one can not be taken."""
        state = self.start()
        for step in path:
            uninterrupted = dataclasses.replace(step, power_loss_before_write=steps.NO_POWER_LOSS)
            try:
                successors = [
                    (new, responses)
                    for new, responses in self.transitions.take(state, uninterrupted)
                    if new.step == step
                ]
            except node_states.MachineFailedError as error:
                return reports.Finding(NO_EXCEPTION, str(error), [*state.path(), step])
            if not successors:
                raise steps.StepNotEnabledError(step)
            state, responses = successors[0]
            violation = self.violation(state, responses)
            if violation:
                return reports.Finding(*violation, state.path())
        return None


def replay(document: dict[str, typing.Any]) -> reports.Finding | None:
    """Replay a finding from its document, without cached states."""
    path = [steps.Step.from_json(row) for row in document['steps']]
    scope = scopes.SCOPES[document['scope']]
    return Explorer(scope, remember=False, only=document['invariant']).replay(path)
