"""The state of the cluster, and the steps by which it was reached."""

import typing

import zinctrail.model.digest as digest
import zinctrail.model.invariants as invariants
import zinctrail.model.node_states as node_states
import zinctrail.model.steps as steps


class UsedLimits(typing.NamedTuple):
    """How many steps of each limited kind led to a state; the fields are those of scopes.Limits."""

    timers: int = 0
    crashes: int = 0
    wipes: int = 0
    losses: int = 0
    shutdowns: int = 0
    duplicates: int = 0
    repeated_requests: int = 0

    def plus(self, name: str) -> 'UsedLimits':
        """Return the counts with one more step of a kind."""
        return self._replace(**{name: getattr(self, name) + 1})


class ClusterState:
    """The nodes, the frames in flight, and the history of what was promised so far.

    `requests` holds the names of the requests made so far, repeated for a retry;
    `parent` and `step` are the previous state and the step from it to this one,
    None at the start.
    """

    __slots__ = ('depth', 'frames', 'history', 'nodes', 'parent', 'requests', 'step', 'used')

    def __init__(
        self,
        nodes: tuple[node_states.NodeState, ...],
        frames: frozenset[node_states.Frame],
        history: invariants.History,
        used: UsedLimits,
        requests: tuple[str, ...],
        parent: 'ClusterState | None' = None,
        step: steps.Step | None = None,
    ):
        self.nodes = nodes
        self.frames = frames
        self.history = history
        self.used = used
        self.requests = requests
        self.parent = parent
        self.step = step
        self.depth = parent.depth + 1 if parent else 0

    def digest(self) -> bytes:
        """Return a digest that is equal for states with the same possible continuations."""
        return digest.of_parts(
            *(node.digest for node in self.nodes),
            *sorted(frame.digest for frame in self.frames),
            repr((tuple(self.used), self.requests)).encode(),
            self.history.digest(),
        )

    def path(self) -> list[steps.Step]:
        """Return the steps from the start to this state."""
        path, state = [], self
        while state.step is not None:
            path.append(state.step)
            state = state.parent
        return path[::-1]

    def in_place_of(self, state: 'ClusterState') -> 'ClusterState':
        """Return this state as if it had been reached by the step that led to `state`."""
        moved = ClusterState(self.nodes, self.frames, self.history, self.used, self.requests, state.parent, state.step)
        moved.depth = state.depth
        return moved
