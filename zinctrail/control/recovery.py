"""Disaster recovery: a new cluster from replicas, when a majority of the voters is lost permanently.

Only an operator starts a recovery. `export_replica` exports the state of each
process, `RecoveryPlan` selects the replicas and checks whether a recovery is
allowed, and `initial_state` builds the state with which the chosen control node
starts. docs/notes/recovery.md gives the reasons.
"""

import typing

import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.replica as replica
import zinctrail.consensus.transactions as transactions
import zinctrail.errors as errors

# How far the counters of the new cluster start above those of the replicas found. The lost voters may have counted
# further than the replicas show, but never by as much as this.
TERMS_SKIPPED, GENERATIONS_SKIPPED, EPOCHS_SKIPPED, NUMBERS_SKIPPED = 1000, 10**6, 1000, 1 << 44
# The tables that a recovery retains. The others need no rows: since the epoch skips ahead, the retention of claims,
# results of calls, locks and events has ended.
RETAINED_TABLES = ('conf', 'items', 'cells', 'endpoints', 'keys', 'goners')
# For this many epochs no locks are granted: a lock that an owner still relies on must not be granted to another, and
# a lease is 60 s at most.
EPOCHS_WITHOUT_LOCKS = 7
RETRY_LOCKS_MS = 10000
# The exclusive upper bound on terms and generations in a recovery request.
COUNTER_LIMIT = 1 << 50


class ReplicaExport(typing.TypedDict):
    """The state of a process, as /v1/copy returns it."""

    status: int
    # The node's name.
    id: str
    role: str
    cell: str
    addr: str
    http: str
    cluster: str
    term: int
    # [term, generation]
    accepted: list[int]
    committed: list[int]
    mode: str
    master: messages.LeaderRow | None
    # The voting set: {'accepted': [nodes], 'committed': [nodes]}.
    voters: dict[str, list[str]] | None
    epoch: int
    # The generation of the operators' document.
    conf: int
    # How many times the cluster was recovered.
    recovered: int
    # {node: IP:PORT for HTTP}
    members: dict[str, str]
    tables: typing.NotRequired[dict[str, dict]]


class ExportingMember(typing.Protocol):
    """The interface of the process whose state is exported."""

    node: str
    role: str
    location: node_location.NodeLocation
    cluster: str
    term: int
    mode: str
    leader: messages.LeaderRow | None
    replica: replica.Replica


def export_replica(member: ExportingMember, with_tables: bool = True) -> ReplicaExport:
    """Export a process's replica of the state, and its view of the cluster."""
    state = member.replica
    summary: ReplicaExport = {
        'status': 200,
        'id': member.node,
        'role': member.role,
        'cell': member.location.cell,
        'addr': member.location.addr,
        'http': member.location.http,
        'cluster': member.cluster,
        'term': member.term,
        'accepted': list(state.accepted),
        'committed': list(state.committed),
        'mode': member.mode,
        'master': member.leader,
        'voters': state.latest('meta', 'vc'),
        'epoch': state.latest('meta', 'epoch') or 0,
        'conf': state.latest('meta', 'conf') or 0,
        'recovered': state.latest('meta', 'recovered') or 0,
        'members': {node: row['http'] for node, row in state.get('members').items()},
    }
    return {**summary, 'tables': state.full_state()} if with_tables else summary


class RecoveryPlan:
    """The plan of a recovery from the given replicas; `faults` lists the reasons why it is not allowed.

    `replicas` are results of `export_replica`; `target` is the HTTP address of the
    empty control node that starts the new cluster.
    """

    def __init__(self, replicas: list[ReplicaExport], target: str | None):
        self.faults: list[str] = []
        with_state = [r for r in replicas if r['cluster'] and r['accepted'] > [0, 0]]
        self.clusters = sorted({r['cluster'] for r in with_state})
        self.target = next((r for r in replicas if r['http'] == target), None)
        # The source of the routes: the newest replica, preferably a control node's.
        self.routes = max(
            with_state, key=lambda r: (r['accepted'], r['role'] == member_roles.CONTROL_NODE), default=None
        )
        # The source of keys and numbers, which only voters store.
        control_nodes = [r for r in with_state if r['role'] == member_roles.CONTROL_NODE]
        self.coordination = max(control_nodes, key=lambda r: r['accepted'], default=None)
        voting_set = self.routes.get('voters') if self.routes else None
        self.voters = (voting_set or {}).get('accepted', [])
        self.reachable_voters = sorted(r['id'] for r in control_nodes if r['id'] in self.voters)
        self.lost_voters = sorted(set(self.voters) - set(self.reachable_voters))
        self._check_replicas(with_state)
        self._check_target(target)

    def _check_replicas(self, with_state: list[ReplicaExport]) -> None:
        if not with_state:
            self.faults.append('none of the queried processes holds a copy of the state')
        if len(self.clusters) > 1:
            self.faults.append(f'copies of several clusters were found: {", ".join(self.clusters)}')
        following_leader = sorted(r['http'] for r in with_state if r['master'])
        if following_leader:
            self.faults.append(
                f'a leader is active, or was until a moment ago, according to {", ".join(following_leader)}'
            )
        if replica.quorum(self.reachable_voters, self.voters):
            self.faults.append(
                f'a majority of the voters is reachable ({len(self.reachable_voters)} of {len(self.voters)})'
                ' and elects a leader without a recovery'
            )

    def _check_target(self, target: str | None) -> None:
        if self.target is None:
            self.faults.append(
                f'{target or "no target"}: not among the processes that respond; name an empty zinctrail-controller'
            )
        elif (
            self.target['role'] != member_roles.CONTROL_NODE
            or self.target['cluster']
            or self.target['accepted'] > [0, 0]
        ):
            self.faults.append(f'{target}: is no empty control node')

    def summary(self) -> list[str]:
        """Describe the plan for the operator's confirmation, line by line."""
        if self.routes is None:
            return []
        routes, coordination = self.routes, self.coordination
        return [
            f'cluster {" ".join(self.clusters)}',
            f'voters {len(self.voters)}, of which {len(self.reachable_voters)} respond;'
            f' taken for lost: {", ".join(self.lost_voters)}',
            f'newest routes and configuration: generation {routes["accepted"][1]} of term {routes["accepted"][0]},'
            f' configuration {routes["conf"]}, at {routes["role"]} {routes["http"]}',
            'changes accepted after that, if any, are lost',
            f'keys and numbers: as of generation {coordination["accepted"][1]}, at {coordination["http"]};'
            ' later ones are lost'
            if coordination
            else 'keys: all lost, no voter is left; numbers start far above all earlier ones',
            'locks: all released, and none granted for 70 s',
            'requests and calls in progress: outcome unknown, never executed again',
        ]

    def request_body(self) -> dict:
        """Return the body of POST /v1/recover for the target; only for a plan without faults."""
        assert self.routes is not None
        tables = {table: rows for table, rows in self.routes['tables'].items() if table in replica.ROUTES}
        sources = [self.routes]
        if self.coordination:
            sources.append(self.coordination)
            coordination_tables = self.coordination['tables']
            tables.update({table: rows for table, rows in coordination_tables.items() if table not in replica.ROUTES})
        return {
            'cluster': self.clusters[0],
            'term': max(source['term'] for source in sources),
            'generation': max(source['accepted'][1] for source in sources),
            'tables': tables,
        }


def check(body: dict) -> None:
    """Refuse a malformed body of a recovery request."""
    is_valid = (
        set(body) == {'cluster', 'term', 'generation', 'tables'}
        and isinstance(body['cluster'], str)
        and body['cluster'] != ''
        and _is_counter(body['term'])
        and _is_counter(body['generation'])
        and isinstance(body['tables'], dict)
        and all(isinstance(rows, dict) for rows in body['tables'].values())
    )
    if not is_valid:
        raise errors.BadRequestError('must be {cluster, term, generation, tables}, as zinctrailctl recover makes it')


def _is_counter(value: typing.Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < COUNTER_LIMIT


class InitialState(typing.NamedTuple):
    """The first version of the state of a recovered cluster."""

    generation: int
    tables: dict[str, dict]


def initial_state(body: dict, cluster: str, node: str, member: messages.MemberRow) -> InitialState:
    """Build the first state of a recovered cluster: one voter, no locks, counters certainly above all earlier ones."""
    stored = body['tables']
    meta = stored.get('meta', {})
    recoveries = (meta.get('recovered') or 0) + 1
    epoch = (meta.get('epoch') or 0) + EPOCHS_SKIPPED
    generation = body['generation'] + GENERATIONS_SKIPPED
    tables = {table: dict(stored.get(table, {})) for table in RETAINED_TABLES}
    tables['numbers'] = _initial_numbers(stored.get('numbers', {}), recoveries * NUMBERS_SKIPPED)
    tables['members'] = {node: member}
    voters = [node]
    tables['meta'] = {
        'cluster': cluster,
        'vc': {'committed': voters, 'accepted': voters},
        'boot': voters,
        'routes': [0, generation],
        'epoch': epoch,
        'conf': generation if stored.get('conf') else 0,
        'recovered': recoveries,
        'locks_from': epoch + EPOCHS_WITHOUT_LOCKS,
        'retired': sorted({*meta.get('retired', ()), body['cluster']}),
        'known': sorted(row['addr'] for row in stored.get('members', {}).values()),
    }
    return InitialState(generation, {table: rows for table, rows in tables.items() if rows})


def _initial_numbers(stored: dict[str, int], base: int) -> dict[str, int]:
    numbers = {name: max(number, base) for name, number in stored.items() if not name.startswith('/')}
    # Events were lost: the history starts at its head, so that every watcher gets 410 and reads the keys again.
    return dict(numbers, **{'/rev': base, '/floor': base, '/base': base})


def require_locks_open(txn: transactions.Transaction) -> None:
    """Refuse to grant locks for EPOCHS_WITHOUT_LOCKS epochs after a recovery."""
    if (txn.get('meta', 'locks_from') or 0) > (txn.get('meta', 'epoch') or 0):
        raise errors.UnavailableError('the core was recovered: no locks are given out yet', retry_ms=RETRY_LOCKS_MS)
