"""The start state of a scope's exploration, reached by one legal schedule."""

import collections

import zinctrail.errors as errors
import zinctrail.model.cluster_state as cluster_state
import zinctrail.model.invariants as invariants
import zinctrail.model.node_states as node_states
import zinctrail.model.preludes as preludes
import zinctrail.model.roles as roles
import zinctrail.model.scopes as scopes
import zinctrail.model.steps as steps
import zinctrail.model.transitions as transitions

# The largest number of steps to a start state, or to a milestone of a prelude.
SCHEDULE_LIMIT = 3000


class ScopeNotReachedError(errors.ZinctrailError):
    """A scope's start state or a milestone of its prelude is not reached within SCHEDULE_LIMIT steps."""

    def __init__(self, scope: str, reason: str):
        super().__init__(f'{scope}: {reason}')
        self.scope = scope


class StartState:
    """Builds a scope's start state."""

    def __init__(self, scope: scopes.Scope, scope_transitions: transitions.Transitions):
        self.scope = scope
        self.transitions = scope_transitions
        self.nodes = scope_transitions.nodes

    def build(self) -> cluster_state.ClusterState:
        """Return the state after the scope's prelude, with all limits unused."""
        self.transitions.carried_frames = scopes.ALL_FRAMES
        voters = range(self.scope.voters)
        results = [self.nodes.start(index, 0, roles.formed_files(index, voters)) for index in voters]
        frames = collections.deque(frame for result in results for frame in result.sent)
        nodes = self.run_to_start([result.state for result in results], frames)
        history = invariants.History()
        for node in nodes:
            unchanged = node_states.Result(node, (), (), ())
            history = invariants.observe(history, unchanged, self.transitions.requests)
        spares = range(self.scope.voters, self.scope.voters + self.scope.spares)
        nodes += [self.nodes.start(index, 0, {}).state for index in spares]
        state = cluster_state.ClusterState(tuple(nodes), frozenset(), history, cluster_state.UsedLimits(), ())
        return self.after_prelude(state)

    def run_to_start(
        self, nodes: list[node_states.NodeState], queue: collections.deque[node_states.Frame]
    ) -> list[node_states.NodeState]:
        """Run the nodes until the scope's start is reached, and return them.

        Frames are delivered in the order in which they were sent, timers fire in order of time.
        """
        for _ in range(SCHEDULE_LIMIT):
            if self.scope.starts_with_leader and not queue and is_settled(nodes):
                return nodes
            if queue:
                frame = queue.popleft()
                result = self.nodes.feed(nodes[frame.target], 'recv', (frame.text,))
            else:
                target = min(nodes, key=lambda node: node.due).index
                result = self.nodes.feed(nodes[target], 'wake', ())
                is_candidate = any(frame.kind in scopes.PREVOTES for frame in result.sent)
                if is_candidate and not self.scope.starts_with_leader:
                    # All nodes know each other, and this one is about to start an election.
                    return nodes
            nodes[result.state.index] = result.state
            queue.extend(frame for frame in result.sent if frame.target < len(nodes))
        raise ScopeNotReachedError(self.scope.name, 'the start state is not reached')

    def after_prelude(self, state: cluster_state.ClusterState) -> cluster_state.ClusterState:
        """Return the state after the moves of the prelude."""
        leader_first = sorted(state.nodes, key=lambda node: (node.view.mode != 'leader', node.index))
        indexes = [node.index for node in leader_first]
        for move in self.scope.prelude:
            state = self.after_move(state, move, indexes)
        self.transitions.carried_frames = self.scope.frames
        frames = frozenset(frame for frame in state.frames if frame.kind in self.scope.frames)
        return cluster_state.ClusterState(
            state.nodes, frames, state.history, cluster_state.UsedLimits(), state.requests
        )

    def after_move(
        self, state: cluster_state.ClusterState, move: preludes.Move, indexes: list[int]
    ) -> cluster_state.ClusterState:
        """Return the state after one move; `indexes` are the nodes at the prelude's positions."""
        if isinstance(move, preludes.RunUntil):
            return self.run_until(state, move.milestone)
        if isinstance(move, preludes.TimersUntil):
            index = indexes[move.position]
            while not move.milestone(state, state.nodes[index]):
                state = self.after_step(state, steps.Step(steps.StepKind.TIMER, index))
            return state
        if isinstance(move, preludes.PutRequest):
            step = steps.Step(steps.StepKind.REQUEST, indexes[move.position], request=move.request)
            return self.after_step(state, step)
        if isinstance(move, preludes.LoseNode):
            return self.after_step(state, steps.Step(steps.StepKind.LOSS, indexes[move.position]))
        way = move.kind, indexes[move.source], indexes[move.target]
        for frame in [f for f in state.frames if (f.kind, f.source, f.target) == way]:
            state = self.after_step(state, steps.Step.deliver(frame))
        return state

    def run_until(self, state: cluster_state.ClusterState, milestone: preludes.Milestone) -> cluster_state.ClusterState:
        """Return the state that reaches a milestone, with no frame lost and timers in order of time."""
        for _ in range(SCHEDULE_LIMIT):
            if milestone(state):
                return state
            frame = min(state.frames, key=lambda frame: frame.digest, default=None)
            if frame is None:
                next_node = min((node for node in state.nodes if not node.is_stopped), key=lambda node: node.due)
                state = self.after_step(state, steps.Step(steps.StepKind.TIMER, next_node.index))
                continue
            after = next(self.transitions.take(state, steps.Step.deliver(frame)), None)
            if after:
                state = after[0]
            else:
                # A frame that changes nothing can be dropped.
                others = state.frames - {frame}
                state = cluster_state.ClusterState(state.nodes, others, state.history, state.used, state.requests)
        raise ScopeNotReachedError(self.scope.name, 'a milestone of the prelude is not reached')

    def after_step(self, state: cluster_state.ClusterState, step: steps.Step) -> cluster_state.ClusterState:
        """Return the state after a step without a power loss."""
        return next(new for new, _ in self.transitions.take(state, step) if new.step == step)


def is_settled(nodes: list[node_states.NodeState]) -> bool:
    """True if one node is the leader and all nodes have committed the same change of its term."""
    views = [node.view for node in nodes]
    return (
        sum(view.mode == 'leader' for view in views) == 1
        and len({(view.accepted, view.committed, view.term) for view in views}) == 1
        and views[0].committed == views[0].accepted
        and views[0].committed[0] == views[0].term
    )
