"""A measured cluster: virtual time, simulated links, and all processes of one point."""

import collections.abc
import datetime
import gc
import heapq
import json
import random

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.storage as storage
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.simulation.scale.hollow as hollow
import zinctrail.simulation.scale.process as scale_process
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as state

ms = durations.ms

# One-way latency of a link in ms; jitter adds up to this share of it.
WITHIN_ZONE_MS, BETWEEN_ZONES_MS, BETWEEN_REGIONS_MS = 0.5, 1.4, 35.0
JITTER = 0.2
# The delay until a sender learns that its connection was refused.
REFUSED_AFTER = ms(1)

# Members start this long after the control nodes; each process starts at a random time within the spread.
MEMBERS_START_MS = 200
START_SPREAD_MS = 200
ELECTION_LIMIT = ms(20000)
SETTLING_TIME = ms(4000)


def netstring_bytes(data: bytes) -> int:
    """Return the size of a frame on the wire: its length in digits, a colon, the data and a comma."""
    return len(data) + len(str(len(data))) + 2


class Rig:
    """All processes of one point, with the clock and the links between them."""

    def __init__(self, size: sizes.Size, seed: int = 1):
        self.size, self.seed = size, seed
        self.rng = random.Random(f'{size}/{seed}')
        self.now = durations.ZERO
        # (when, sequence number, function, arguments)
        self.scheduled: list[tuple] = []
        self.sequence = 0
        # Arrival time of the newest frame of each link: {(from, to): time}.
        self.last_arrivals: dict[tuple[str, str], datetime.timedelta] = {}
        # The addresses that can reach only each other.
        self.partitioned: set[str] = set()
        self.settings = settings.Settings()
        self.zones = sizes.zone_names(size.nodes)
        self.processes: list[scale_process.Process] = []
        self.control_nodes: list[scale_process.Process] = []
        self.by_address: dict[str, scale_process.Process] = {}
        # The addresses of all members at the start, control nodes first.
        self.addresses: list[str] = []
        self.seed_addresses: list[str] = []
        self.build()

    # -- time and links ---------------------------------------------------

    def at(self, when: datetime.timedelta, function: collections.abc.Callable, *arguments) -> None:
        """Schedule a function call at a time."""
        self.sequence += 1
        heapq.heappush(self.scheduled, (when, self.sequence, function, arguments))

    def run(self, length: datetime.timedelta, until: collections.abc.Callable[[], bool] | None = None) -> bool:
        """Run for `length`, or until a condition holds; returns True if it held."""
        end = self.now + length
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.scheduled)
            function(*arguments)
            if until is not None and until():
                return True
        self.now = max(self.now, end)
        return False

    def delay(self, zone: str, other: str) -> datetime.timedelta:
        """Return the one-way latency of a frame between two zones, with jitter."""
        if zone == other:
            latency_ms = WITHIN_ZONE_MS
        elif zone.split('/')[0] == other.split('/')[0]:
            latency_ms = BETWEEN_ZONES_MS
        else:
            latency_ms = BETWEEN_REGIONS_MS
        return ms(latency_ms * (1 + JITTER * self.rng.random()))

    def carry(self, source: scale_process.Process, address: str, frame: dict, may_compress: bool) -> None:
        """Deliver a frame to an address, in the order of sending; a sender is notified of a refused connection."""
        data = source.connections.encoded(frame, may_compress)
        size = netstring_bytes(data)
        source.counts['out'] += 1
        source.counts['out_bytes'] += size
        source.frame_kinds[frame['t']] += 1
        target = self.by_address.get(address)
        if target is not None and self.is_partitioned(source, target):
            return
        if target is None or not target.is_up:
            self.at(self.now + REFUSED_AFTER, source.feed, 'lost', address)
            return
        link = source.address, address
        earliest = self.last_arrivals.get(link, durations.ZERO)
        arrival = max(self.now + self.delay(source.zone, target.zone), earliest)
        self.last_arrivals[link] = arrival
        self.at(arrival, target.receive, frame, data if target.is_complete else None, size)

    def is_partitioned(self, process: scale_process.Process, other: scale_process.Process) -> bool:
        """True if a partition separates two processes."""
        return bool(self.partitioned) and (process.address in self.partitioned) != (other.address in self.partitioned)

    def close_connections(
        self, ended: scale_process.Process, peers: collections.abc.Iterable[scale_process.Process]
    ) -> None:
        """Notify peers that the kernel of an ended process closed its connections."""
        for peer in peers:
            self.at(self.now + self.delay(ended.zone, peer.zone), peer.feed, 'lost', ended.address)

    def call(self, process: scale_process.Process, method: str, path: str, body: bytes) -> int:
        """Feed an HTTP request to a process and return the request's id."""
        self.sequence += 1
        request_id = self.sequence
        process.feed('http', request_id, effects.HttpRequest(method, path, {}, body))
        return request_id

    # -- processes --------------------------------------------------------

    def build(self) -> None:
        """Create all processes, not yet started, with the state of the size."""
        tables = state.state_tables(self.size)
        snapshot = storage.encode({'term': state.VERSION[0], 'gen': state.VERSION[1], 'tables': tables})
        # Encoded, so that each complete process can decode its own copy.
        tables_text = json.dumps(tables)
        self.addresses = [row['addr'] for row in tables['members'].values()]
        self.seed_addresses = self.addresses[: self.size.cores]
        roles_seen = set()
        for node, row in tables['members'].items():
            if row['role'] == 'core':
                self.add('core', self.control_node(node, row, snapshot), True)
                continue
            is_complete = row['role'] not in roles_seen
            roles_seen.add(row['role'])
            machine = self.member(node, row, is_complete)
            machine.replica.tables = json.loads(tables_text) if is_complete else tables
            self.add(row['role'], machine, is_complete)

    def location(self, row: state.Row) -> node_location.NodeLocation:
        """Return the location in a member's row."""
        return node_location.NodeLocation(
            row['addr'], row['http'], row['cell'], self.seed_addresses, row.get('front', ''), directory=True
        )

    def control_node(self, node: str, row: state.Row, snapshot: str) -> hollow.WarmController:
        """Return a control node with the snapshot on its disk."""
        files = {
            'node': storage.encode({'id': node, 'format': storage.FORMAT}),
            'term': storage.encode({'term': 1, 'vote': None}),
            storage.snapshot_name(state.VERSION): snapshot,
        }
        return hollow.WarmController(self.location(row), self.settings, random.Random(f'{self.seed}/{node}'), files)

    def member(self, node: str, row: state.Row, is_complete: bool):
        """Return a directory or proxy that belongs to the cluster; the caller sets its tables."""
        machines = hollow.COMPLETE if is_complete else hollow.HOLLOW
        machine = machines[row['role']](self.location(row), self.settings, random.Random(f'{self.seed}/{node}'))
        machine.node, machine.cluster, machine.term = node, state.CLUSTER, 1
        machine.replica.accepted = machine.replica.committed = state.VERSION
        return machine

    def add(self, role: str, machine, is_complete: bool) -> scale_process.Process:
        """Add a process that is not yet started."""
        process = scale_process.Process(self, role, machine, is_complete)
        self.processes.append(process)
        if role == 'core':
            self.control_nodes.append(process)
        self.by_address[process.address] = process
        return process

    def remove(self, process: scale_process.Process) -> None:
        """Stop a process permanently and remove it."""
        process.is_up = False
        self.processes.remove(process)
        if process.role == 'core':
            self.control_nodes.remove(process)

    def with_role(self, role: str) -> list[scale_process.Process]:
        """Return all processes of a role."""
        return [process for process in self.processes if process.role == role]

    def members(self) -> list[scale_process.Process]:
        """Return all directories and proxies."""
        return [process for process in self.processes if process.role != 'core']

    def leader(self) -> scale_process.Process | None:
        """Return the control node that leads and has committed a version in its term; None if there is none."""
        for process in self.control_nodes:
            machine = process.machine
            if process.is_up and machine.mode == 'leader' and machine.replica.committed[0] == machine.term:
                return process
        return None

    def require_leader(self) -> scale_process.Process:
        """Return the leader; raises AssertionError if there is none."""
        leader = self.leader()
        assert leader is not None, 'the cluster has no leader'
        return leader

    def complete(self, role: str) -> scale_process.Process:
        """Return the only complete process of a role."""
        return next(process for process in self.processes if process.role == role and process.is_complete)

    # -- start -------------------------------------------------------------

    def start(self) -> None:
        """Start all processes and run until a leader is elected.

        :raises AssertionError: if no leader is elected within ELECTION_LIMIT.
        """
        for process in self.processes:
            after_ms = 0 if process.role == 'core' else MEMBERS_START_MS
            self.at(ms(after_ms + START_SPREAD_MS * self.rng.random()), self.start_process, process)
        if not self.run(ELECTION_LIMIT, lambda: self.leader() is not None):
            raise AssertionError(f'no leader elected within {ELECTION_LIMIT} of virtual time')

    def settle(self) -> None:
        """Run for SETTLING_TIME, so that the effects of the start are not measured.

        :raises AssertionError: if a member has no lease after that.
        """
        # Frozen, because the garbage collector of this one process would traverse the memory of thousands of simulated
        # processes.
        gc.collect()
        gc.freeze()
        self.run(SETTLING_TIME)
        for process in self.control_nodes:
            process.machine.assumes_members_current = False
        without_lease = [process for process in self.members() if not process.machine.has_lease()]
        if without_lease:
            raise AssertionError(f'{len(without_lease)} members have no lease after the start')

    def start_process(self, process: scale_process.Process) -> None:
        """Start a process; a complete member applies the state that it holds."""
        process.is_up = True
        process.feed('start')
        if process.is_complete and process.role != 'core':
            process.machine.rows_committed(None)
