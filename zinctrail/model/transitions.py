"""The steps enabled in a state of the cluster, and the states that they lead to."""

import collections
import collections.abc
import dataclasses

import zinctrail.model.cluster_state as cluster_state
import zinctrail.model.invariants as invariants
import zinctrail.model.node_states as node_states
import zinctrail.model.reports as reports
import zinctrail.model.roles as roles
import zinctrail.model.scopes as scopes
import zinctrail.model.steps as steps

# The largest number of timers that fire in one step before the node does something visible to others.
SILENT_TIMERS_LIMIT = 12
# The steps that a node may take by itself, besides its timers, and the limit that each counts against.
NODE_STEP_LIMITS = (
    (steps.StepKind.RESTART, 'crashes'),
    (steps.StepKind.WIPE, 'wipes'),
    (steps.StepKind.LOSS, 'losses'),
    (steps.StepKind.SHUTDOWN, 'shutdowns'),
)
# A state that a step leads to, with the step's responses to requests: (request, result as JSON).
Successor = tuple[cluster_state.ClusterState, tuple[tuple[str, str], ...]]


@dataclasses.dataclass
class StepEffects:
    """The effects of a step: the result of its input, and the new frames, used limits and requests."""

    before: cluster_state.ClusterState
    result: node_states.Result
    frames: frozenset[node_states.Frame]
    used: cluster_state.UsedLimits
    requests: tuple[str, ...]


class Transitions:
    """Takes steps within one scope, and counts in `report` how often a limit stops one."""

    def __init__(self, scope: scopes.Scope, nodes: node_states.NodeStates, report: reports.Report):
        self.scope = scope
        self.limits = scope.limits
        self.nodes = nodes
        self.report = report
        self.requests = {request.name: request for request in scope.requests}
        # Kinds of frames that stay in flight; others are lost.
        self.carried_frames = scopes.ALL_FRAMES

    # -- enabled steps --------------------------------------------------------

    def enabled_steps(self, state: cluster_state.ClusterState) -> collections.abc.Iterator[steps.Step]:
        """Yield every step that is enabled in a state."""
        remaining = {name: getattr(self.limits, name) - used for name, used in state.used._asdict().items()}
        for frame in sorted(state.frames, key=lambda frame: frame.digest):
            yield steps.Step.deliver(frame)
            if remaining['duplicates'] > 0:
                yield steps.Step.deliver(frame, steps.StepKind.DUPLICATE)
        for node in state.nodes:
            if not node.is_stopped:
                yield from self.node_steps(node, remaining)
        for name, request in self.requests.items():
            request_count = state.requests.count(name)
            may_retry = request_count == 1 and remaining['repeated_requests'] > 0 and not request.is_read
            if request_count == 0 or may_retry:
                for index in request.nodes:
                    if self.takes_requests(state.nodes[index]):
                        yield steps.Step(steps.StepKind.REQUEST, index, request=name)

    def takes_requests(self, node: node_states.NodeState) -> bool:
        """True if a request to a node can have any effect."""
        return not node.is_stopped and (node.view.mode == 'leader' or 'ask' in self.scope.frames)

    def node_steps(
        self, node: node_states.NodeState, remaining: dict[str, int]
    ) -> collections.abc.Iterator[steps.Step]:
        """Yield the steps that involve only this node: its timers, crashes, losses and shutdowns."""
        if node.due is not None:
            if remaining['timers'] > 0:
                yield steps.Step(steps.StepKind.TIMER, node.index)
            elif self.limits.timers:
                self.report.cut_off['timers'] += 1
        for kind, limit in NODE_STEP_LIMITS:
            if remaining[limit] > 0:
                yield steps.Step(kind, node.index)

    # -- taking a step --------------------------------------------------------

    def take(self, state: cluster_state.ClusterState, step: steps.Step) -> collections.abc.Iterator[Successor]:
        """Yield the states that a step leads to: one, and one more for each write before which power may be lost.

        There is none if a frame changes nothing: the state with the frame still
        in flight has all the continuations of the state without it.
        """
        effects = self.carry_out(state, step)
        if effects is None:
            return
        if step.kind in steps.ENDINGS or effects.result.state.is_stopped:
            effects.frames = self.without_connections(effects.before, step.node, effects.frames)
        yield self.successor(effects, step)
        if step.kind not in steps.ENDINGS:
            yield from self.power_losses(state.nodes[step.node], effects, step)

    def carry_out(self, state: cluster_state.ClusterState, step: steps.Step) -> StepEffects | None:
        """Feed the step's input to its node; None if a frame changes nothing."""
        node = state.nodes[step.node]
        match step.kind:
            case steps.StepKind.DELIVER | steps.StepKind.DUPLICATE:
                return self.deliver(state, step)
            case steps.StepKind.TIMER:
                used = state.used.plus('timers')
                state, result = self.until_visible(state, node)
                return StepEffects(state, result, state.frames, used, state.requests)
            case steps.StepKind.REQUEST:
                return self.put_request(state, step)
            case steps.StepKind.SHUTDOWN:
                result, limit = self.nodes.feed(node, 'stop', ()), 'shutdowns'
            case steps.StepKind.LOSS:
                result, limit = node_states.Result(self.nodes.stopped(node), (), (), ()), 'losses'
            case steps.StepKind.WIPE:
                result, limit = self.nodes.start(node.index, node.incarnation + 1, {}), 'wipes'
            case steps.StepKind.RESTART:
                result, limit = self.nodes.start(node.index, node.incarnation + 1, node.files), 'crashes'
        return StepEffects(state, result, state.frames, state.used.plus(limit), state.requests)

    def deliver(self, state: cluster_state.ClusterState, step: steps.Step) -> StepEffects | None:
        """Deliver a frame in flight to its node; None if that changes nothing."""
        node = state.nodes[step.node]
        frame = frame_in_flight(state, step)
        if step.kind is steps.StepKind.DUPLICATE:
            frames, used = state.frames, state.used.plus('duplicates')
        else:
            frames, used = state.frames - {frame}, state.used
        if frame.kind == steps.CONNECTION_CLOSED:
            result = self.nodes.feed(node, 'lost', (roles.address_of(frame.source),))
        else:
            result = self.nodes.feed(node, 'recv', (frame.text,))
        if result.state is node and not (result.sent or result.responses or result.power_losses):
            return None
        return StepEffects(state, result, frames, used, state.requests)

    def put_request(self, state: cluster_state.ClusterState, step: steps.Step) -> StepEffects:
        """Send an operator's request to a node; for a read, record the requests acknowledged before it."""
        request, used = self.requests[step.request], state.used
        if step.request in state.requests:
            used = used.plus('repeated_requests')
        requests = (*state.requests, step.request)
        arguments = (request.name, request.operation, request.arguments)
        result = self.nodes.feed(state.nodes[step.node], 'request', arguments)
        if request.is_read:
            acknowledged = frozenset(name for name, _ in state.history.acknowledged)
            history = state.history.add(reads={(step.request, acknowledged)})
            state = cluster_state.ClusterState(
                state.nodes, state.frames, history, state.used, state.requests
            ).in_place_of(state)
        return StepEffects(state, result, state.frames, used, requests)

    def power_losses(
        self, node: node_states.NodeState, effects: StepEffects, step: steps.Step
    ) -> collections.abc.Iterator[Successor]:
        """Yield the states in which power is lost before one of the step's writes and the node restarts."""
        if not self.limits.power_loss_between_writes or effects.used.crashes >= self.limits.crashes:
            return
        used = effects.used.plus('crashes')
        for number, power_loss in enumerate(effects.result.power_losses):
            restart = self.nodes.start(node.index, node.incarnation + 1, power_loss.files)
            restart = dataclasses.replace(restart, sent=power_loss.sent + restart.sent)
            frames = self.without_connections(effects.before, step.node, effects.frames)
            interrupted = dataclasses.replace(step, power_loss_before_write=number)
            yield self.successor(StepEffects(effects.before, restart, frames, used, effects.requests), interrupted)

    def until_visible(
        self, state: cluster_state.ClusterState, node: node_states.NodeState
    ) -> tuple[cluster_state.ClusterState, node_states.Result]:
        """Fire a node's timers until one has an effect visible to other nodes.

        Return the state before that timer, and the timer's result.
        """
        for _ in range(SILENT_TIMERS_LIMIT):
            result = self.nodes.feed(node, 'wake', ())
            new, responses = self.successor(StepEffects(state, result, state.frames, state.used, state.requests), None)
            is_visible = result.power_losses or responses or new.frames != state.frames
            if is_visible or visible_modes(new) != visible_modes(state):
                break
            state = new.in_place_of(state)
            node = state.nodes[node.index]
        return state, result

    def without_connections(
        self, state: cluster_state.ClusterState, index: int, frames: frozenset[node_states.Frame]
    ) -> frozenset[node_states.Frame]:
        """Return the frames in flight after a node's connections closed.

        Frames to the node are lost; the other nodes may be notified of the closed connections.
        """
        rest = {frame for frame in frames if frame.target != index}
        if self.limits.closed_connections:
            for node in state.nodes:
                if node.index != index and not node.is_stopped:
                    rest.add(self.nodes.frame(index, node.index, '', steps.CONNECTION_CLOSED))
        return frozenset(rest)

    def successor(self, effects: StepEffects, step: steps.Step | None) -> Successor:
        """Return the state after a step, with the frames of kinds `delivered_at_once` delivered."""
        nodes, frames = list(effects.before.nodes), set(effects.frames)
        history, responses = effects.before.history, []
        queue = collections.deque([effects.result])
        nodes[effects.result.state.index] = effects.result.state
        while queue:
            result = queue.popleft()
            history = invariants.observe(history, result, self.requests)
            responses.extend(result.responses)
            for frame in result.sent:
                if frame.target >= len(nodes) or nodes[frame.target].is_stopped:
                    continue
                if frame.kind in self.scope.delivered_at_once:
                    queue.append(self.nodes.feed(nodes[frame.target], 'recv', (frame.text,)))
                    nodes[frame.target] = queue[-1].state
                elif frame.kind in self.carried_frames:
                    frames.add(frame)
        new = cluster_state.ClusterState(
            tuple(nodes), frozenset(frames), history, effects.used, effects.requests, effects.before, step
        )
        return new, tuple(responses)


def frame_in_flight(state: cluster_state.ClusterState, step: steps.Step) -> node_states.Frame:
    """Return the frame that a step delivers; raises StepNotEnabledError if it is not in flight."""
    for frame in state.frames:
        if (frame.source, frame.target, frame.text) == (step.source, step.node, step.frame):
            return frame
    raise steps.StepNotEnabledError(step)


def visible_modes(state: cluster_state.ClusterState) -> list[tuple]:
    """Return the properties of the nodes that others can see, besides frames."""
    return [(node.view.mode, node.view.term, node.view.accepted, node.is_stopped) for node in state.nodes]
