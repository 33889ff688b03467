"""Scopes: the start state of an exploration, the kinds of its steps, and the limit of each kind."""

import dataclasses

import zinctrail.model.operator_requests as operator_requests
import zinctrail.model.preludes as preludes
import zinctrail.model.roles as roles
import zinctrail.runtime.durations as durations

# Kinds of frames, grouped by purpose.
ELECTION = frozenset(('sjoin', 'vote', 'succeed', 'down'))
REPLICATION = frozenset(('pub', 'pub_re', 'com'))
# Replication without the frames that only speed up the notification of a commit.
PUBLICATION = frozenset(('pub', 'pub_re'))
# Heartbeats, which also fence reads.
HEARTBEAT = frozenset(('chk', 'chk_re'))
REQUEST = frozenset(('ask', 'ask_re'))
MEMBERSHIP = frozenset(('join', 'leave'))
# Frames by which nodes find each other.
DISCOVERY = frozenset(('probe', 'probe_re'))
# Frames that ask whether an election would succeed.
PREVOTES = frozenset(('prevote', 'prevote_re'))


@dataclasses.dataclass(frozen=True)
class Limits:
    """The largest number of steps of each kind on one path, and the bounds of the exploration."""

    # Steps in which a node's timers fire.
    timers: int = 0
    # Restarts on the synced data folder.
    crashes: int = 0
    # Whether a power loss may also come between the writes of one input.
    power_loss_between_writes: bool = False
    # Restarts on an empty data folder.
    wipes: int = 0
    # Nodes lost permanently.
    losses: int = 0
    # Nodes shut down gracefully.
    shutdowns: int = 0
    # Frames that arrive twice.
    duplicates: int = 0
    # Requests that are retried.
    repeated_requests: int = 0
    # Whether nodes are notified when a connection closes.
    closed_connections: bool = False
    # Exploration stops beyond this term, this number of steps on a path, and this number of distinct states.
    term: int = 4
    depth: int = 40
    states: int = 50000


@dataclasses.dataclass(frozen=True)
class Scope:
    """An exploration: the cluster it starts from, its frames and requests, and its limits."""

    name: str
    description: str
    limits: Limits
    # Kinds of frames that stay in flight until a step delivers them; frames of other kinds are lost.
    frames: frozenset[str]
    # Kinds of frames that are delivered within the step that sends them, which is one of the legal schedules.
    delivered_at_once: frozenset[str] = DISCOVERY | PREVOTES
    role: type = roles.Store
    voters: int = 3
    # The setting of this name: the size that the voting set keeps.
    least_voters: int = 1
    # Nodes that have not joined yet.
    spares: int = 0
    requests: tuple[operator_requests.Request, ...] = ()
    # Moves made before the exploration, which don't count against the limits.
    prelude: tuple[preludes.Move, ...] = ()
    # True: starts with a leader whose changes all nodes have; False: with candidates that know each other.
    starts_with_leader: bool = False


# The time on all clocks at which the leader has almost stopped to wait for voters that were lost at the start.
ABSENCE_BEFORE_SCOPE = durations.ms(2000)

ALL_FRAMES = (
    ELECTION | REPLICATION | HEARTBEAT | REQUEST | MEMBERSHIP | frozenset(('grant', 'leaving', 'boot', 'boot_re'))
)

SCOPES = {
    scope.name: scope
    for scope in (
        Scope(
            'elections',
            'three candidates, their frames in any order, one crash and restart with any legal disk',
            Limits(timers=3, crashes=1, power_loss_between_writes=True, term=3, states=5000),
            ELECTION,
        ),
        Scope(
            'orders',
            'a leader, two changes, one crash and restart with any legal disk',
            Limits(timers=3, crashes=1, power_loss_between_writes=True, term=3, states=5000),
            REPLICATION,
            requests=(operator_requests.put('x', 0, 1, 2), operator_requests.put('y', 0, 1, 2)),
            starts_with_leader=True,
        ),
        Scope(
            'new-leader',
            'a leader and a change, after two nodes have lost contact with the leader',
            Limits(timers=3, term=3, states=7000),
            ELECTION | PUBLICATION,
            requests=(operator_requests.put('x', 0, 1, 2),),
            starts_with_leader=True,
            prelude=(
                preludes.TimersUntil(1, preludes.is_candidate),
                preludes.TimersUntil(2, preludes.is_candidate),
            ),
        ),
        Scope(
            'succession',
            'a change by the old leader that no other node has received yet, a new leader and a change by it',
            Limits(timers=2, term=3, states=9000),
            PUBLICATION | HEARTBEAT,
            requests=(operator_requests.put('x', 0, 1, 2), operator_requests.put('y', 0, 1, 2)),
            starts_with_leader=True,
            prelude=preludes.UNDELIVERED_CHANGE_THEN_SUPERSEDED,
        ),
        Scope(
            'late-copies',
            'a new leader and a change by it, where one frame arrives twice',
            Limits(timers=1, duplicates=1, term=3, states=8000),
            PUBLICATION,
            requests=(operator_requests.put('x', 0, 1, 2),),
            starts_with_leader=True,
            prelude=preludes.LEADER_SUPERSEDED_UNNOTICED,
        ),
        Scope(
            'stale-state',
            'a superseded leader is sent the full state, where one frame arrives twice, and a change follows',
            Limits(timers=1, duplicates=1, term=3, states=18000),
            PUBLICATION,
            requests=(operator_requests.put('x', 0), operator_requests.put('y', 1)),
            starts_with_leader=True,
            prelude=preludes.UNDELIVERED_CHANGE_THEN_SUPERSEDED,
        ),
        Scope(
            'reads',
            'a leader superseded without its knowledge, a change sent to the new leader and a read sent to the old',
            Limits(timers=2, term=3, states=6000),
            PUBLICATION | HEARTBEAT,
            requests=(operator_requests.put('x', 1, 2), operator_requests.get(0)),
            starts_with_leader=True,
            prelude=preludes.LEADER_SUPERSEDED_UNNOTICED,
        ),
        Scope(
            'wipe-and-loss',
            'a leader and a change, one node wiped, another lost permanently',
            Limits(timers=4, wipes=1, losses=1, term=4, states=4000),
            ELECTION | PUBLICATION | MEMBERSHIP,
            requests=(operator_requests.put('x', 0, 1, 2),),
            starts_with_leader=True,
        ),
        Scope(
            'leave-and-loss',
            'a leader and a change, one node shut down, another lost permanently, notice of closed connections',
            Limits(timers=4, shutdowns=1, losses=1, closed_connections=True, term=4, states=5000),
            ELECTION | PUBLICATION | MEMBERSHIP,
            requests=(operator_requests.put('x', 0, 1, 2),),
            starts_with_leader=True,
        ),
        Scope(
            'voting-set',
            'two nodes are added to the voting set while two of the others elect another leader',
            Limits(timers=0, term=3, states=12000),
            ELECTION | PUBLICATION,
            spares=2,
            starts_with_leader=True,
            prelude=(
                preludes.RunUntil(preludes.voting_set_is_changing),
                preludes.TimersUntil(1, preludes.is_candidate),
                preludes.TimersUntil(2, preludes.is_candidate),
                preludes.TimersUntil(1, preludes.requests_votes),
            ),
        ),
        Scope(
            'voting-set-cut',
            'two nodes are added to the voting set, and a node loses power in the middle',
            Limits(timers=2, crashes=1, power_loss_between_writes=True, term=3, states=12000),
            ELECTION | PUBLICATION,
            spares=2,
            starts_with_leader=True,
            prelude=(preludes.RunUntil(preludes.voting_set_is_changing),),
        ),
        Scope(
            'absent-voters',
            'two of five voters are absent until the leader no longer waits for their return',
            Limits(timers=4, term=2, states=3000),
            REPLICATION | HEARTBEAT,
            voters=5,
            least_voters=5,
            starts_with_leader=True,
            prelude=(
                preludes.LoseNode(3),
                preludes.LoseNode(4),
                preludes.RunUntil(preludes.has_run_for(ABSENCE_BEFORE_SCOPE)),
            ),
        ),
        Scope(
            'one-number',
            'two operators give one version two contents, and one retries because its response is lost',
            Limits(timers=2, repeated_requests=1, term=3, states=5000),
            PUBLICATION,
            role=roles.Control,
            requests=(
                operator_requests.apply_items('A', 1, 1000, 0, 1, 2),
                operator_requests.apply_items('B', 1, 2000, 0, 1, 2),
            ),
            starts_with_leader=True,
            prelude=(preludes.PutRequest(0, 'apply of A'), preludes.TimersUntil(0, preludes.sends_publication)),
        ),
    )
}
