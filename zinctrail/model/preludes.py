"""Preludes: legal schedules that lead from a formed cluster to the state where a scope's exploration begins.

Nodes are given by their position in the order at the start: 0 is the leader, 1
and up are the followers.
"""

import collections.abc
import dataclasses
import datetime
import json

import zinctrail.model.cluster_state as cluster_state
import zinctrail.model.node_states as node_states

Milestone = collections.abc.Callable[[cluster_state.ClusterState], bool]
NodeMilestone = collections.abc.Callable[[cluster_state.ClusterState, node_states.NodeState], bool]


@dataclasses.dataclass(frozen=True)
class RunUntil:
    """Deliver all frames and fire all timers in order, without losses, until the milestone is reached."""

    milestone: Milestone


@dataclasses.dataclass(frozen=True)
class TimersUntil:
    """Fire only the timers of one node until the milestone is reached."""

    position: int
    milestone: NodeMilestone


@dataclasses.dataclass(frozen=True)
class PutRequest:
    """Send an operator's request to one node."""

    position: int
    request: str


@dataclasses.dataclass(frozen=True)
class DeliverFrames:
    """Deliver all frames of one kind that are in flight between two nodes."""

    kind: str
    source: int
    target: int


@dataclasses.dataclass(frozen=True)
class LoseNode:
    """Lose one node permanently."""

    position: int


Move = RunUntil | TimersUntil | PutRequest | DeliverFrames | LoseNode


def has_run_for(time: datetime.timedelta) -> Milestone:
    """Return the milestone that the clocks of all running nodes have reached a time."""

    def is_reached(state: cluster_state.ClusterState) -> bool:
        return all(node.is_stopped or node.due >= time for node in state.nodes)

    return is_reached


def is_candidate(state: cluster_state.ClusterState, node: node_states.NodeState) -> bool:
    """True if a node has become a candidate, because it lost contact with its leader."""
    return node.view.mode == 'candidate'


def requests_votes(state: cluster_state.ClusterState, node: node_states.NodeState) -> bool:
    """True if a node's vote requests are in flight."""
    return sends_frame(state, node, 'sjoin')


def sends_publication(state: cluster_state.ClusterState, node: node_states.NodeState) -> bool:
    """True if publications of a node are in flight to the others."""
    return sends_frame(state, node, 'pub')


def sends_frame(state: cluster_state.ClusterState, node: node_states.NodeState, kind: str) -> bool:
    """True if frames of a kind from a node are in flight."""
    return any(frame.kind == kind and frame.source == node.index for frame in state.frames)


def voting_set_is_changing(state: cluster_state.ClusterState) -> bool:
    """True if a change of the voting configuration is in flight."""
    return any(
        row[:2] == ['meta', 'vc']
        for frame in state.frames
        if frame.kind == 'pub'
        for row in json.loads(frame.text).get('rows', ())
    )


# The node at position 1 is elected leader with the vote of the node at position 2; the old leader does not know it.
LEADER_SUPERSEDED_UNNOTICED: tuple[Move, ...] = (
    TimersUntil(1, is_candidate),
    TimersUntil(2, is_candidate),
    TimersUntil(1, requests_votes),
    DeliverFrames('sjoin', 1, 2),
    DeliverFrames('vote', 2, 1),
)
# The same after a change that the old leader has accepted itself and whose publication no other node has received.
UNDELIVERED_CHANGE_THEN_SUPERSEDED: tuple[Move, ...] = (
    PutRequest(0, 'put x'),
    TimersUntil(0, sends_publication),
    *LEADER_SUPERSEDED_UNNOTICED,
)
