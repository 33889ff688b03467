"""Measures how a voter catches up over a slow link while changes continue: its time, bytes and heartbeat gaps.

  python -m zinctrail.simulation.catch_up [--routes N --tenants N --endpoints N] [--mbit M] [--missed N] [--unpacked]

The state consists of synthetic rows as in simulation.scale, the consensus code is
the real one, and time is virtual. Processing times and memory are real, and
those of this process, which runs all nodes.
"""

import argparse
import datetime
import json
import random
import resource
import time
import typing

import zinctrail.consensus.member as member
import zinctrail.consensus.storage as storage
import zinctrail.consensus.voter as voter
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as scale_state
import zinctrail.simulation.world as simulated_world

ms = durations.ms

VOTERS = 3
SERVICES = 1900
ELECTION_LIMIT = ms(30000)
# How long a voter is down, in addition to the time of the changes that it misses.
DOWN_TIME = ms(3000)
# The pause between changes while a voter is down, and while it catches up.
MISSED_CHANGE_PAUSE = ms(12)
CHANGE_PAUSE = ms(200)
# How many versions a node may lack and count as caught up: the newest changes are still being sent.
MAX_VERSIONS_IN_FLIGHT = 2
# A process gets no heartbeat right after its start; in a catch-up longer than twice this time, gaps are measured only
# after this time.
FIRST_HEARTBEAT_TIME = ms(1000)
BITS_PER_BYTE = 8
# The number of input kinds that the report lists, those with the longest processing times.
MAX_LISTED_KINDS = 4


class OlderVoter(voter.Voter):
    """A voter of an older release that cannot receive the state in chunks."""

    def frame(self, message):
        """Return a frame that does not announce support for chunks."""
        frame = super().frame(message)
        frame.pop('pieces', None)
        return frame

    def on_chunk(self, message):
        """Fail, because its frames did not announce support for chunks."""
        raise AssertionError('a voter of an older release, without support for chunks, was sent one')


class Follower(member.Member):
    """A member without a vote, as directories and proxies are."""

    role = 'prox'


class Node(simulated_node.Node):
    """A process that runs consensus only, with rows that all nodes share in memory."""

    machine_class: type[member.Member] = voter.Voter
    # The state that it holds at its first start, in addition to the files of its disk.
    initial_state: scale_state.Tables | None = None

    def start(self) -> None:
        """Start the process from its disk; at its first start it also holds `initial_state`."""
        rng = random.Random(f'{self.world.seed}/{self.name}/{self.incarnation}')
        self.incarnation += 1
        self.up, self.paused, self.queued_inputs, self.wake_at, self.exited = True, None, [], None, False
        # The longest real processing time of an input, in seconds, by its kind.
        self.longest_s: dict[str, float] = {}
        self.machine = self.new_machine(rng)
        self.feed('start')

    def new_machine(self, rng: random.Random) -> member.Member:
        """Create the state machine of `machine_class`."""
        if not issubclass(self.machine_class, voter.Voter):
            return self.machine_class(self.location, self.world.settings, rng)
        machine = self.machine_class(self.location, self.world.settings, rng, dict(self.disk.files))
        if self.initial_state is not None:
            load_state(machine, self.initial_state)
            self.initial_state = None
        return machine

    def feed(self, kind: str, *args) -> None:
        """Feed an input, and record its processing time."""
        began = time.perf_counter()
        super().feed(kind, *args)
        name = args[0].get('t') if kind == 'recv' else kind
        self.longest_s[name] = max(self.longest_s.get(name, 0.0), time.perf_counter() - began)


def load_state(machine: voter.Voter, tables: scale_state.Tables) -> None:
    """Load a state into a voter before its start. It shares the rows with other voters, but not the tables."""
    machine.replica.accept(scale_state.VERSION, tables={table: dict(rows) for table, rows in tables.items()})
    machine.cluster = scale_state.CLUSTER
    machine.history.restart(scale_state.VERSION, tuple(tables['meta']['routes']))


class CatchUp:
    """Three voters that hold a state; other processes may be added."""

    def __init__(self, size: sizes.Size, seed: int = 1, custom_settings: settings.Settings | None = None):
        size.cores, size.dirs, size.nodes = VOTERS, 0, 0
        self.size = size
        self.world = simulated_world.World(seed, custom_settings or settings.Settings())
        self.world.on_deliver = self.record_frame
        self.state = scale_state.state_tables(size)
        # The times at which each process received heartbeats.
        self.heartbeats: dict[str, list[datetime.timedelta]] = {}
        self.largest_frame = 0
        self.changes = 0
        # The pause between periodic changes; None while there are none.
        self.change_pause: datetime.timedelta | None = None
        self.nodes = [self.add_voter(number) for number in range(VOTERS)]

    def add_voter(self, number: int) -> Node:
        """Add one of the voters that hold the state, without starting it."""
        return self.add(f'voter-{number}', scale_state.process_address(number), f'{number:016x}', self.state)

    def add(
        self,
        name: str,
        address: str,
        identity: str = '',
        initial_state: scale_state.Tables | None = None,
        machine_class: type[member.Member] = voter.Voter,
    ) -> Node:
        """Add a process, without starting it.

        :param identity: the node id on its disk; a process without one joins as a new node.
        """
        world = self.world
        seeds = [scale_state.process_address(number) for number in range(VOTERS)]
        template = world.add(name, 'core', 'r0/z0', seeds, addr=address)
        node = Node(world, name, 'core', template.location)
        node.machine_class, node.initial_state = machine_class, initial_state
        world.nodes[name] = world.by_address[address] = world.by_http[node.location.http] = node
        if identity:
            node.disk.files = {
                'node': storage.encode({'id': identity, 'format': storage.FORMAT}),
                'term': storage.encode({'term': scale_state.VERSION[0], 'vote': None}),
            }
            node.disk.synced = dict(node.disk.files)
        return node

    def record_frame(self, source: simulated_node.Node, target: simulated_node.Node, text: str) -> None:
        """Record the size of a frame that arrived, and its time if it is a heartbeat."""
        self.largest_frame = max(self.largest_frame, len(text))
        if '"t": "chk"' in text[-200:]:
            self.heartbeats.setdefault(target.name, []).append(self.world.now)

    def start(self) -> bool:
        """Start the voters; returns whether one became the leader."""
        for node in self.nodes:
            node.start()
        return self.world.run(ELECTION_LIMIT, until=self.has_leader)

    def has_leader(self) -> bool:
        """Return whether there is a leader."""
        return self.leader() is not None

    def leader(self) -> Node | None:
        """Return the voter that is the leader, or None."""
        return self.world.leader()

    def last_follower(self) -> Node:
        """Return the last voter that is not the leader."""
        last = self.nodes[-1]
        return last if self.leader() is not last else self.nodes[0]

    # -- shutdown, disk loss and slow links --------------------------------

    def power_down(self, node: Node) -> float:
        """Write a snapshot of a voter's state and end it; returns the real time of the snapshot, in seconds."""
        began = time.perf_counter()
        node.machine.persistence.write_snapshot()
        for effect in take_effects(node):
            node.disk.carry_out(effect)
        node.kill()
        return time.perf_counter() - began

    def wipe(self, node: Node) -> None:
        """End a voter and empty its disk, so that it returns as a new node."""
        node.kill()
        node.disk.files, node.disk.synced = {}, {}

    def slow_link(self, name: str, mbit: float) -> None:
        """Limit each link from and to one process to a bandwidth in Mbit/s."""
        bytes_per_second = mbit * 1e6 / BITS_PER_BYTE
        for other in self.world.nodes:
            if other != name:
                self.world.bandwidths[other, name] = self.world.bandwidths[name, other] = bytes_per_second

    # -- changes -----------------------------------------------------------

    def commit_change(self) -> None:
        """Have the leader commit a new version of a rule; does nothing without a leader."""
        leader = self.leader()
        if leader is None:
            return
        self.changes += 1
        version = self.changes + 1
        row = scale_state.rule_row(self.changes % max(1, self.size.routes), max(1, self.size.services), version)

        def put(transaction):
            transaction.put('items', f'rules/{row["name"]}', {'v': version, 'row': row})
            return {'status': 200}

        leader.machine.submit(put, lambda result: None)
        for effect in take_effects(leader):
            if isinstance(effect, effects.DISK_EFFECTS):
                leader.disk.carry_out(effect)
            else:
                simulated_node.EFFECTS[type(effect)](leader, effect)
        leader.set_wake_up()

    def change_every(self, pause: datetime.timedelta) -> None:
        """Commit a change after each `pause` until `stop_changing`."""
        self.change_pause = pause
        self.commit_periodically()

    def commit_periodically(self) -> None:
        """Commit a change now, and schedule the next one unless changes were stopped."""
        if self.change_pause is not None:
            self.commit_change()
            self.world.after(self.change_pause, self.commit_periodically)

    def stop_changing(self) -> None:
        """Stop committing changes."""
        self.change_pause = None

    def commit_changes(self, count: int) -> None:
        """Commit a number of changes, each as a separate version."""
        for _ in range(count):
            self.commit_change()
            self.world.run(MISSED_CHANGE_PAUSE)

    # -- observations ------------------------------------------------------

    def has_caught_up(self, node: Node) -> bool:
        """Return whether a process lacks at most MAX_VERSIONS_IN_FLIGHT of the versions committed for its role."""
        leader = self.leader()
        if leader is None or not node.up:
            return False
        if node.machine.role == 'core':
            latest = leader.machine.replica.committed
        else:
            latest = tuple(leader.machine.replica.get('meta', 'routes'))
        term, number = node.machine.replica.committed
        return term == latest[0] and latest[1] - number <= MAX_VERSIONS_IN_FLIGHT

    def longest_gap_ms(self, name: str, since: datetime.timedelta) -> int:
        """Return the longest time without a heartbeat of a process since a given time."""
        times = [since, *(at for at in self.heartbeats.get(name, []) if at > since), self.world.now]
        return max(durations.to_ms(later - earlier) for earlier, later in zip(times, times[1:], strict=False))

    def has_leaders_state(self, node: Node) -> bool:
        """Return whether a process holds exactly the rows of the leader."""
        return canonical_text(node.machine.replica.full_state()) == canonical_text(
            self.leader().machine.replica.full_state()
        )

    def count_removals(self, node: Node, since: datetime.timedelta) -> int:
        """Return how often a log line reports that a process was removed as a member."""
        lost = f'Member {node.machine.node}'
        return sum(lost in text and 'removed:' in text for at, text in self.world.lines if at > since)

    def counts(self) -> dict[str, int]:
        """Return the counters of the leader."""
        return self.leader().machine.counts


def take_effects(node: Node) -> list:
    """Remove and return the effects that a state machine has put out."""
    taken, node.machine.out = node.machine.out, []
    return taken


def canonical_text(tables: scale_state.Tables) -> str:
    """Return the rows as text that is equal for equal rows."""
    return json.dumps({table: rows for table, rows in tables.items() if rows}, sort_keys=True)


def peak_memory_mb() -> float:
    """Return the peak memory of this process, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


class Baseline(typing.NamedTuple):
    """The counters at the restart of a voter."""

    at: datetime.timedelta
    real_s: float
    counts: dict[str, int]
    bytes_by_kind: dict[str, int]
    rss_mb: float


def measure(size: sizes.Size, mbit: float, missed: int, limit_s: int, may_compress: bool = True) -> dict:
    """Measure how one voter catches up.

    :param mbit: the bandwidth of its links, in Mbit/s.
    :param missed: the number of changes that it missed; if 0, it returns with an empty disk instead.
    :param may_compress: whether bytes on the link are counted after compression.
    """
    rig = CatchUp(size)
    rig.world.compresses = may_compress
    assert rig.start(), 'no voter became the leader'
    node = rig.last_follower()
    snapshot_s = 0.0
    if missed:
        snapshot_s = rig.power_down(node)
        rig.commit_changes(missed)
    else:
        rig.wipe(node)
    rig.world.run(DOWN_TIME)
    rig.slow_link(node.name, mbit)
    baseline = begin_catch_up(rig, node)
    done = rig.world.run(ms(limit_s * 1000), until=lambda: rig.has_caught_up(node))
    return {'caught_up': done, **report(rig, node, baseline, snapshot_s)}


def begin_catch_up(rig: CatchUp, node: Node) -> Baseline:
    """Restart a voter while changes continue; returns the counters before."""
    bytes_by_kind, counts, rss_mb = dict(rig.world.bytes), dict(rig.counts()), peak_memory_mb()
    for other in rig.nodes:
        other.longest_s = {}
    rig.change_every(CHANGE_PAUSE)
    baseline = Baseline(rig.world.now, time.perf_counter(), counts, bytes_by_kind, rss_mb)
    node.start()
    return baseline


def report(rig: CatchUp, node: Node, baseline: Baseline, snapshot_s: float) -> dict:
    """Return the figures of a finished catch-up."""
    world = rig.world
    took = world.now - baseline.at
    gap_from = baseline.at + FIRST_HEARTBEAT_TIME if took > 2 * FIRST_HEARTBEAT_TIME else baseline.at
    changed_counts = {
        name: count - baseline.counts.get(name, 0)
        for name, count in rig.counts().items()
        if count != baseline.counts.get(name, 0)
    }
    return {
        'seconds': round(took.total_seconds(), 1),
        'link_bytes': dict(world.link_bytes),
        'raw_piece_bytes': world.bytes.get('piece', 0) - baseline.bytes_by_kind.get('piece', 0),
        'checkpoint_s': round(snapshot_s, 2),
        'longest_gap_ms': rig.longest_gap_ms(node.name, gap_from),
        'largest_frame': rig.largest_frame,
        'counts': changed_counts,
        'dropped': rig.count_removals(node, baseline.at),
        'rss_mb': [round(baseline.rss_mb), round(peak_memory_mb())],
        'longest_loop_ms': {each.name: longest_inputs_ms(each) for each in rig.nodes},
        'real_s': round(time.perf_counter() - baseline.real_s, 1),
    }


def longest_inputs_ms(node: Node) -> dict[str, int]:
    """Return the kinds of inputs with the longest processing times at a process, with these times."""
    by_time = sorted(node.longest_s.items(), key=lambda item: -item[1])
    return {name: round(1000 * seconds) for name, seconds in by_time[:MAX_LISTED_KINDS]}


def main() -> None:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--routes', type=int, default=5000)
    parser.add_argument('--tenants', type=int, default=0)
    parser.add_argument('--endpoints', type=int, default=0)
    parser.add_argument('--mbit', type=float, default=2.0)
    parser.add_argument('--missed', type=int, default=0)
    parser.add_argument('--limit-s', type=int, default=600)
    parser.add_argument('--unpacked', action='store_true', help='count bytes before compression on the slow link')
    options = parser.parse_args()
    size = sizes.Size(routes=options.routes, tenants=options.tenants, endpoints=options.endpoints, services=SERVICES)
    found = measure(size, options.mbit, options.missed, options.limit_s, not options.unpacked)
    print(json.dumps(found, indent=1))


if __name__ == '__main__':
    main()
