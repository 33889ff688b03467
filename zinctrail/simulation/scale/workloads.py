"""Workloads of a measured cluster: endpoint heartbeats, rule changes, claims and lookups."""

import collections.abc
import functools
import json

import zinctrail.runtime.durations as durations
import zinctrail.simulation.scale.process as scale_process
import zinctrail.simulation.scale.rates as rates
import zinctrail.simulation.scale.rig as scale_rig
import zinctrail.simulation.scale.state as state

ms = durations.ms

# Interval between checks that a change is in force everywhere.
POLL_INTERVAL = ms(2)
# The versions of changed rules start here, above those of the initial state.
FIRST_CHANGED_VERSION = 100


class EndpointHeartbeats:
    """Sends the heartbeats of all endpoints, each to one receiver."""

    def __init__(self, rig: scale_rig.Rig):
        self.rig = rig
        self.interval = rig.settings.beat
        self.receivers = rig.with_role('dir' if rig.size.beats else 'core')
        rows = rig.require_leader().machine.replica.get('endpoints')
        self.bodies = [self.body(incarnation, row) for incarnation, row in rows.items()]

    def body(self, incarnation: str, row: state.Row) -> bytes:
        """Return the body of an endpoint's heartbeats."""
        reported = {field: row[field] for field in ('addr', 'service', 'cell', 'slots', 'state')}
        return json.dumps(dict(reported, inc=incarnation, cold=0, seq=1, cold_ms=0, pressure=0.0)).encode()

    def start(self) -> None:
        """Schedule the first heartbeat of each endpoint at a random time within the interval."""
        for number in range(len(self.bodies)):
            self.rig.at(self.rig.now + self.interval * self.rig.rng.random(), self.send, number)

    def send(self, number: int) -> None:
        """Send the heartbeat of one endpoint and schedule the next one."""
        receiver = self.receivers[number % len(self.receivers)]
        receiver.counts['beats'] += 1
        receiver.counts['http_in_bytes'] += len(self.bodies[number])
        self.rig.call(receiver, 'POST', '/v1/beat', self.bodies[number])
        self.rig.at(self.rig.now + self.interval, self.send, number)


def spread_over_window(rig: scale_rig.Rig, count: int, action: collections.abc.Callable[[int], object]) -> None:
    """Schedule action(0), action(1) and so on, evenly over a window."""
    for number in range(count):
        rig.at(rig.now + rates.WINDOW_FOR_ACTIONS * number / count, action, number)


class RuleChange:
    """A change of one rule, tracked until every proxy and directory has it in force."""

    def __init__(self, rig: scale_rig.Rig, number: int, in_force_ms: list[int]):
        self.rig, self.number, self.in_force_ms = rig, number, in_force_ms
        self.began = rig.now
        self.receiver = rig.with_role('core')[number % rig.size.cores]
        self.members = rig.members()
        # The id of the HTTP request, set by `send`.
        self.request_id = 0
        # The number of members, counted in order, that are known to have the change in force or to be down.
        self.current_count = 0

    def send(self) -> None:
        """Send the change; the time until it is in force everywhere is then appended to `in_force_ms`."""
        size = self.rig.size
        version = FIRST_CHANGED_VERSION + self.number
        row = state.rule_row(self.number % max(1, size.routes), max(1, size.services), version)
        body = json.dumps({'set': {'rules': [row]}}).encode()
        self.request_id = self.rig.call(self.receiver, 'PATCH', '/v1/items', body)
        self.poll()

    def poll(self) -> None:
        """Check that the change is in force, now and every POLL_INTERVAL until it is."""
        if self.is_in_force():
            self.in_force_ms.append(durations.to_ms(self.rig.now - self.began))
        else:
            self.rig.at(self.rig.now + POLL_INTERVAL, self.poll)

    def is_in_force(self) -> bool:
        """True if the change is acknowledged and every member that is up has it in force."""
        response = self.receiver.responses.get(self.request_id)
        if response is None:
            return False
        if response.status != 200:
            raise AssertionError(f'rule change {self.number} refused: {response.status} {response.body[:200]!r}')
        version = json.loads(response.body)['generation']
        while self.current_count < len(self.members) and has_in_force(self.members[self.current_count], version):
            self.current_count += 1
        return self.current_count == len(self.members)


def has_in_force(member: scale_process.Process, version: int) -> bool:
    """True if a member has a version in force or is down."""
    return not member.is_up or member.machine.replica.committed[1] >= version


def schedule_changes(rig: scale_rig.Rig, count: int, in_force_ms: list[int]) -> None:
    """Schedule rule changes over a window; appends to `in_force_ms` how long each took to be in force everywhere."""
    spread_over_window(rig, count, lambda number: RuleChange(rig, number, in_force_ms).send())


def schedule_claims(rig: scale_rig.Rig, count: int) -> None:
    """Schedule claims by all proxies in turn, over a window."""
    proxies = rig.with_role('prox')
    epoch = rig.require_leader().machine.replica.get('meta', 'epoch')
    spread_over_window(rig, count, functools.partial(claim, rig, proxies, epoch))


def claim(rig: scale_rig.Rig, proxies: list[scale_process.Process], epoch: int, number: int) -> None:
    """Let one proxy claim a request id."""
    proxy = proxies[number % len(proxies)]
    machine = proxy.machine
    machine.now = max(machine.now, rig.now)
    arguments = {
        'id': f'{epoch}.{number:020x}',
        'attempt': 1,
        'nonce': f'{number:016x}',
        'proxy': machine.node,
        'at': proxy.address,
    }
    machine.request_operation('claim', arguments, check_claimed)
    proxy.feed('wake')


def check_claimed(result: dict) -> None:
    """Raise AssertionError if a claim was refused."""
    if result['status'] != 200:
        raise AssertionError(f'claim refused: {result}')


def schedule_resolutions(rig: scale_rig.Rig, count: int) -> None:
    """Schedule lookups at the complete directory, over a window."""
    directory = rig.complete('dir')
    body = json.dumps({'cell': rig.zones[0], 'front': True}).encode()
    spread_over_window(rig, count, lambda number: rig.call(directory, 'POST', '/v1/answer', body))
