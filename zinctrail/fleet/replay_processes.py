"""Replays a recorded day against real processes: a new fleet, or one that is already running."""

import dataclasses
import datetime
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
import typing

import twisted.internet.defer as defer
import twisted.internet.reactor
import twisted.internet.threads as threads
import twisted.python.failure as failure

import zinctrail.client.coordination as coordination
import zinctrail.client.request_client as request_client
import zinctrail.errors as errors
import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.histogram as histogram
import zinctrail.fleet.processes as processes
import zinctrail.fleet.recorded_day as recorded_day
import zinctrail.fleet.replay_events as replay_events
import zinctrail.runtime.durations as durations
import zinctrail.transport.blocking_client as blocking_client

ms = durations.ms
# Twisted replaces this module with a reactor object.
reactor: typing.Any = twisted.internet.reactor
DEFAULT_TIMEOUT_MS = 5000
DEFAULT_FAULT_MS = 3000
# The timeouts of reading and of changing the configuration.
READ_TIMEOUT_S = 5
CHANGE_TIMEOUT_S = 15
# The minimum delay until the next event, and the interval of checks for outstanding calls after the last event.
MIN_STEP_S = 0.001
DRAIN_POLL_S = 0.05
# The events that clients and applications cause, which may be replayed from separate processes.
LOAD_EVENTS = ('request', 'call')
# The events that need a fleet that was started for the replay.
OWN_FLEET_EVENTS = ('fault', 'beat')


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a replay."""

    # How many times as fast as recorded.
    speed: float = 1.0
    # The seed of the test endpoints.
    seed: int = 1
    # Whether endpoints return the id of a request, so that it can be checked.
    echo: bool = False
    # Whether the report contains the complete histogram, so that reports can be added up.
    raw: bool = False
    # The number of separate processes that replay requests and calls; 0 for this process alone.
    parts: int = 0
    # The file that the sent events are written to, as a day; empty for none.
    record: str = ''
    # Where data and logs go; empty for a new temporary folder.
    folder: str = ''


class ProcessReplay:
    """Replays events against the directories of a fleet.

    Faults and endpoints' events are only replayed if `fleet` is given, a fleet that was started for the replay.
    """

    def __init__(self, header: dict, directories: list[str], options: Options, fleet: processes.Fleet | None = None):
        self.header = header
        self.directories = directories
        self.options = options
        self.fleet = fleet
        self.rng = random.Random(header.get('seed', 1))
        # {(zone, home regions): client}.
        self.request_clients: dict[tuple[str, tuple[str, ...]], request_client.RequestClient] = {}
        self.outcomes: dict[str, int] = {}
        self.calls: dict[str, int] = {}
        self.waits: list[datetime.timedelta] = []
        # The largest delay of an event behind its offset.
        self.max_delay_ms = 0.0
        self.outstanding = 0
        self.coordination_client = coordination.CoordinationClient(reactor, directories)
        self.sent: list[dict] = []
        # The ids of requests that were reported as not run.
        self.not_run: list[str] = []
        self.checks_echo = options.echo or fleet is not None

    def run(self, events: list[dict]) -> defer.Deferred:
        """Replay all events; the Deferred fires after the last of their results."""
        self.events = events
        self.done: defer.Deferred = defer.Deferred()
        self.began = time.monotonic()
        self.position = 0
        self.step()
        return self.done

    def now_ms(self) -> float:
        """Return the current offset within the day."""
        return (time.monotonic() - self.began) * 1000 * self.options.speed

    def step(self) -> None:
        """Replay the events that are due, and schedule the next step."""
        now = self.now_ms()
        while self.position < len(self.events) and self.events[self.position]['at_ms'] <= now:
            event = self.events[self.position]
            self.position += 1
            # Reported, so that a replay that can't keep up is visible.
            self.max_delay_ms = max(self.max_delay_ms, now - event['at_ms'])
            self.sent.append(dict(event, at_ms=round(now, 1)))
            getattr(self, 'do_' + event['do'])(event)
        if self.position < len(self.events):
            until_next_s = (self.events[self.position]['at_ms'] - self.now_ms()) / 1000 / self.options.speed
            reactor.callLater(max(MIN_STEP_S, until_next_s), self.step)
        elif self.outstanding:
            reactor.callLater(DRAIN_POLL_S, self.step)
        else:
            self.done.callback(None)

    def track(self, result: defer.Deferred) -> defer.Deferred:
        """Count a result as outstanding until its Deferred fires."""
        self.outstanding += 1

        def ended(value: typing.Any) -> typing.Any:
            self.outstanding -= 1
            return value

        return result.addBoth(ended)

    def request_client(self, event: dict) -> request_client.RequestClient:
        """Return the client of an event's zone and home regions; each has the directories in another random order."""
        key = (event.get('cell', ''), tuple(event.get('home', ())))
        if key not in self.request_clients:
            directories = self.directories[:]
            self.rng.shuffle(directories)
            self.request_clients[key] = request_client.RequestClient(reactor, directories, key[0], key[1])
        return self.request_clients[key]

    def do_request(self, event: dict) -> None:
        """Send a request, and record its outcome and its latency."""
        client = self.request_client(event)
        began = time.monotonic()
        timeout = ms(event.get('left_ms', DEFAULT_TIMEOUT_MS))
        response = self.track(client.send(event['service'], event.get('path', '/'), body=b'{}', timeout=timeout))

        def record_response(response: request_client.Response) -> None:
            outcome = response.outcome
            if outcome == 'not-run' and response.id:
                self.not_run.append(response.id)
            # Test endpoints return the id of the request; others need not.
            is_checked = self.checks_echo and outcome == 'ran' and response.status == 200
            if is_checked and json.loads(response.body)['id'] != response.id:
                outcome = 'wrong'
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            self.waits.append(ms(1000 * (time.monotonic() - began)))

        response.addCallback(record_response)

    def do_call(self, event: dict) -> None:
        """Make a coordination call."""
        self.track(replay_events.make_call(self.coordination_client, event, self.calls))

    def do_operator(self, event: dict) -> None:
        """Change the configuration, in a thread."""

        def count(ending: str) -> None:
            name = f'operator {ending}'
            self.calls[name] = self.calls.get(name, 0) + 1

        self.track(threads.deferToThread(self.change_configuration, event)).addCallback(count)

    def change_configuration(self, event: dict) -> str:
        """Read the configuration, change it and write it back, at the first directory that accepts it."""
        change = replay_events.configuration_change(event['verb'], event['args'])
        for directory in self.directories:
            status, document = blocking_client.try_call(directory, 'GET', '/v1/config', timeout_s=READ_TIMEOUT_S)
            if status != 200:
                continue
            change(document['config'])
            body = {'config': document['config'], 'base': document['generation']}
            status, _ = blocking_client.try_call(directory, 'PUT', '/v1/config', body, timeout_s=CHANGE_TIMEOUT_S)
            if status == 200:
                return 'accepted'
        return 'failed'

    def do_beat(self, event: dict) -> None:
        """Change the state of an endpoint of the replay's own fleet."""
        if self.fleet:
            endpoints = list(self.fleet.endpoints.values())
            endpoint = endpoints[event['end'] % len(endpoints)]
            endpoint.set_cold(event.get('cold', 0.0))
            endpoint.set_state(event.get('state', 'ready'))

    def do_fault(self, event: dict) -> None:
        """Inject a fault into the replay's own fleet."""
        if self.fleet:
            duration_s = event.get('last_ms', DEFAULT_FAULT_MS) / 1000
            self.track(threads.deferToThread(self.fleet.inject_fault, event['name'], duration_s))

    def add(self, report: dict) -> None:
        """Add the raw report of a process that replayed a part of the events."""
        for mine, theirs in ((self.outcomes, report['outcomes']), (self.calls, report['calls'])):
            for name, count in theirs.items():
                mine[name] = mine.get(name, 0) + count
        self.waits += [ms(int(wait)) for wait, count in report['hist'].items() for _ in range(count)]
        self.max_delay_ms = max(self.max_delay_ms, report['latest_ms'])
        self.not_run += report['not_run']

    def report(self) -> replay_events.Report:
        """Return the figures that were measured, and the violations that were found."""
        waits = histogram.latency_histogram(self.waits)
        figures = {
            'outcomes': self.outcomes,
            'calls': self.calls,
            'waits_ms': histogram.spread(waits),
            'latest_ms': round(self.max_delay_ms),
        }
        if self.options.raw:
            return replay_events.Report({**figures, 'hist': waits, 'not_run': self.not_run}, [])
        return replay_events.Report(figures, self.violations())

    def violations(self) -> list[str]:
        """Return the violations of guarantees that are visible to clients and test endpoints."""
        found = []
        if self.fleet:
            twice = sum(1 for count in self.fleet.ran_once.values() if count > 1)
            false = sum(1 for request_id in self.not_run if self.fleet.ran[request_id])
            found += [
                f'{name}: {count} ids' for name, count in (('run-twice', twice), ('false-not-run', false)) if count
            ]
        if self.outcomes.get('wrong'):
            found.append(f'wrong-outcome: {self.outcomes["wrong"]}')
        return found

    def record(self) -> None:
        """Write the sent events as a day, if a file for it was named."""
        if self.options.record:
            with open(self.options.record, 'w', encoding='utf-8') as file:
                file.writelines(line + '\n' for line in recorded_day.write(self.header, self.sent))


def run_on_loop(start: typing.Callable[[], defer.Deferred]) -> replay_events.Report:
    """Run the reactor for one replay; `start()` returns a Deferred of its report."""
    results: list[typing.Any] = []

    def stop() -> None:
        if reactor.running:
            reactor.stop()

    def end(result: typing.Any) -> None:
        results.append(result)
        stop()

    reactor.callWhenRunning(lambda: start().addBoth(end))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(stop))
    reactor.run(installSignalHandlers=False)
    if not results:
        raise errors.SettingsError('interrupted')
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]


def replay_part(header: dict, events: list[dict], directories: list[str], speed: float) -> dict:
    """Replay some of the events from a separate process; blocks until it has returned its raw report."""
    command = [sys.executable, '-m', 'zinctrail.cli.replay', 'at', '-']
    command += [f'--dirs={",".join(directories)}', '--raw', '--echo', f'--speed={speed}']
    finished = subprocess.run(
        command, input='\n'.join(recorded_day.write(header, events)), stdout=subprocess.PIPE, text=True
    )
    if finished.returncode:
        raise errors.SettingsError(f'a process that replays a part exited with code {finished.returncode}')
    return json.loads(finished.stdout)


def replay_in_own_fleet(header: dict, events: list[dict], options: Options) -> replay_events.Report:
    """Replay a day against a fleet that is started before and stopped after the replay."""
    unknown = [
        event['name'] for event in events if event['do'] == 'fault' and event['name'] not in recorded_day.REAL_FAULTS
    ]
    if unknown:
        raise errors.SettingsError(f'faults only available in the simulator: {", ".join(sorted(set(unknown)))}')
    folder = options.folder or tempfile.mkdtemp(prefix='replay-')
    fleet = processes.Fleet(deployments.PRESETS[header['shape']], folder, reactor)
    fleet.start()
    try:
        return run_on_loop(lambda: replay_with_fleet(fleet, header, events, options))
    finally:
        fleet.stop()


@defer.inlineCallbacks
def replay_with_fleet(fleet: processes.Fleet, header: dict, events: list[dict], options: Options):
    """Replay a day once the fleet is configured and has all endpoints; the Deferred fires with the report."""
    yield threads.deferToThread(fleet.configure)
    fleet.start_endpoints(random.Random(options.seed))
    wanted = sum(fleet.shape['services'].values())

    def has_all_endpoints() -> bool:
        return len(fleet.call('GET', '/v1/status')[1].get('state', {}).get('endpoints', ())) >= wanted

    yield threads.deferToThread(fleet.until, has_all_endpoints, 'all endpoints')
    directories = [process.http for process in fleet.of('dir')]
    replay = ProcessReplay(header, directories, options, fleet)
    if options.parts:
        yield replay_in_parts(replay, fleet, events)
    else:
        yield replay.run(events)
    replay.record()
    return replay.report()


@defer.inlineCallbacks
def replay_in_parts(replay: ProcessReplay, fleet: processes.Fleet, events: list[dict]):
    """Replay requests and calls from separate processes, all other events from this process.

    One process can't send hundreds of requests per second and run the test endpoints as well.
    """
    options = replay.options
    load = [event for event in events if event['do'] in LOAD_EVENTS]
    yield threads.deferToThread(fleet.until, lambda: fleet.call('GET', '/v1/epoch', role='dir')[0] == 200, 'an epoch')
    own = replay.run([event for event in events if event['do'] not in LOAD_EVENTS])
    parts = [
        threads.deferToThread(
            replay_part, replay.header, load[first :: options.parts], replay.directories, options.speed
        )
        for first in range(options.parts)
    ]
    for part in parts:
        replay.add((yield part))
    yield own


def replay_at(header: dict, events: list[dict], directories: list[str], options: Options) -> replay_events.Report:
    """Replay a day's requests, calls and operators' commands against a fleet that is already running."""
    if not directories:
        raise errors.SettingsError('--dirs: is missing')
    if any(event['do'] in OWN_FLEET_EVENTS for event in events):
        print(
            'zinctrail-replay: skipping faults and heartbeats: they need a fleet started for the replay',
            file=sys.stderr,
        )
    events = [event for event in events if event['do'] not in OWN_FLEET_EVENTS]
    replay = ProcessReplay(header, list(directories), options)

    def finish(_: typing.Any) -> replay_events.Report:
        replay.record()
        return replay.report()

    return run_on_loop(lambda: replay.run(events).addCallback(finish))
