"""Recorded days: a recorded or generated workload as JSON lines. Each error names its line.

The first line is a header, the others are events in the order of their offsets:

  {"day": 1, "shape": "accra", "seed": 7}
  {"at_ms": 12, "do": "request", "service": "loans", "cell": "r0/c0", "path": "/x", "left_ms": 5000, "home": ["r0"]}
  {"at_ms": 15, "do": "call", "op": "number.next", "args": {"name": "orders"}}
  {"at_ms": 20, "do": "beat", "end": 3, "state": "draining", "cold": 0.0}
  {"at_ms": 25, "do": "operator", "verb": "evacuate", "args": ["r0/c0"]}
  {"at_ms": 30, "do": "fault", "name": "kill_master", "last_ms": 5000}

EVENTS is the registry of the kinds of events.
"""

import json
import random
import typing

import zinctrail.errors as errors
import zinctrail.fleet.deployments as deployments

# {operator's command: the number of its arguments}.
VERBS = {'evacuate': 1, 'return': 1, 'label': 2, 'move': 2}
CALLS = ('number.next', 'key.put', 'key.get', 'lock.take', 'lock.free')
ENDPOINT_STATES = ('ready', 'draining', 'leaving')
MAX_STRING_LENGTH = 500
MAX_ENDPOINT = 100000
MAX_DURATION_MS = 600000
MAX_OFFSET_MS = 10**9
REQUEST_TIMEOUT_MS = 5000
# The share of requests that must stay in their home region.
HOME_SHARE = 0.1
# How long before the end the closing fault begins, so that recovery can be observed.
RECOVERY_S = 20
# Faults that can be injected into a real fleet, by signals to its processes or at its endpoints; the simulator has more.
REAL_FAULTS = (
    'kill_master',
    'kill_one_each',
    'kill_all',
    'freeze_master',
    'freeze_proxy',
    'graceful_proxy',
    'graceful_keeper',
    'end_crashes',
    'end_drains',
)


class RecordedDayError(errors.ZinctrailError):
    """Raised for a malformed line; `line_number` counts from 1."""

    def __init__(self, line_number: int, text: str):
        super().__init__(f'line {line_number}: {text}')
        self.line_number = line_number


class RecordedDay(typing.NamedTuple):
    """A recorded day that was read from a file."""

    header: dict
    events: list[dict]
    # (line number, reason) of each line that was skipped.
    skipped: list[tuple[int, str]]


def check_string(event: dict, field: str, is_required: bool = True) -> None:
    """Raise ValueError unless a field is a non-empty string of at most `MAX_STRING_LENGTH`."""
    value = event.get(field)
    if value is None and not is_required:
        return
    if not isinstance(value, str) or not value or len(value) > MAX_STRING_LENGTH:
        raise ValueError(f'{field} must be a string of 1 to {MAX_STRING_LENGTH} characters')


def check_number(event: dict, field: str, low: float, high: float, is_required: bool = True) -> None:
    """Raise ValueError unless a field is a number within a range."""
    value = event.get(field)
    if value is None and not is_required:
        return
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise ValueError(f'{field} must be a number from {low} to {high}')


def check_string_list(event: dict, field: str) -> None:
    """Raise ValueError unless a field is a list of strings."""
    value = event.get(field, [])
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ValueError(f'{field} must be a list of strings')


def check_request(event: dict) -> None:
    """Check a client's request."""
    check_string(event, 'service')
    check_string(event, 'cell', False)
    check_string(event, 'path', False)
    check_number(event, 'left_ms', 1, MAX_DURATION_MS, False)
    check_string_list(event, 'home')


def check_call(event: dict) -> None:
    """Check an application's coordination call."""
    if event.get('op') not in CALLS:
        raise ValueError(f'op must be one of {", ".join(CALLS)}')
    if not isinstance(event.get('args', {}), dict):
        raise ValueError('args must be an object')


def check_heartbeat(event: dict) -> None:
    """Check an endpoint's change of state."""
    check_number(event, 'end', 0, MAX_ENDPOINT)
    if event.get('state', 'ready') not in ENDPOINT_STATES:
        raise ValueError('state must be ready, draining or leaving')
    check_number(event, 'cold', 0, 1, False)


def check_operator(event: dict) -> None:
    """Check an operator's change of the configuration."""
    if event.get('verb') not in VERBS:
        raise ValueError(f'verb must be one of {", ".join(VERBS)}')
    check_string_list(event, 'args')
    if len(event.get('args', [])) != VERBS[event['verb']]:
        raise ValueError(f'{event["verb"]} takes {VERBS[event["verb"]]} arguments')


def check_fault(event: dict) -> None:
    """Check the beginning of a fault."""
    check_string(event, 'name')
    check_number(event, 'last_ms', 0, MAX_DURATION_MS, False)


# {kind of event: (the check of such an event, the fields that it may have)}.
EVENTS = {
    'request': (check_request, ('service', 'cell', 'path', 'left_ms', 'home')),
    'call': (check_call, ('op', 'args')),
    'beat': (check_heartbeat, ('end', 'state', 'cold')),
    'operator': (check_operator, ('verb', 'args')),
    'fault': (check_fault, ('name', 'last_ms')),
}
COMMON_FIELDS = ('at_ms', 'do')


def check(event: typing.Any, previous_ms: float) -> None:
    """Raise ValueError unless an event is well-formed and not before the previous one."""
    if not isinstance(event, dict):
        raise ValueError('must be an object')
    if event.get('do') not in EVENTS:
        raise ValueError(f'do must be one of {", ".join(EVENTS)}')
    check_number(event, 'at_ms', 0, MAX_OFFSET_MS)
    if event['at_ms'] < previous_ms:
        raise ValueError(f'at_ms {event["at_ms"]} is before the line above ({previous_ms})')
    check_fields, known = EVENTS[event['do']]
    for field in event:
        if field not in known + COMMON_FIELDS:
            raise ValueError(f'{field} is not a known field')
    check_fields(event)


def check_header(line_number: int, header: typing.Any) -> None:
    """Raise RecordedDayError unless the first line is a header."""
    if not isinstance(header, dict) or header.get('day') != 1:
        raise RecordedDayError(line_number, 'must be the header {"day": 1, ...}')
    if header.get('shape') not in deployments.PRESETS:
        raise RecordedDayError(line_number, f'shape must be one of {", ".join(deployments.PRESETS)}')


def read(lines: typing.Iterable[str], skip: bool = False) -> RecordedDay:
    """Read a day.

    :param skip: skip malformed events; a malformed header is never skipped, since the events depend on it.
    :raises RecordedDayError: at the first malformed line.
    """
    header: dict | None = None
    events: list[dict] = []
    skipped: list[tuple[int, str]] = []
    previous_ms = 0.0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            event = json.loads(line)
            if header is None:
                check_header(number, event)
                header = event
                continue
            check(event, previous_ms)
            previous_ms = event['at_ms']
            events.append(event)
        except (ValueError, RecursionError) as error:
            if not skip or header is None:
                raise RecordedDayError(number, str(error)) from error
            skipped.append((number, str(error)))
    if header is None:
        raise RecordedDayError(1, 'must be the header {"day": 1, ...}')
    return RecordedDay(header, events, skipped)


def write(header: dict, events: list[dict]) -> typing.Iterator[str]:
    """Yield the lines of a day."""
    yield json.dumps(header)
    for event in events:
        yield json.dumps(event)


class Generator:
    """Generates the random events of a deployment's day."""

    def __init__(self, shape_name: str, seed: int, seconds: float):
        self.shape = deployments.PRESETS[shape_name]
        self.rng = random.Random(f'{shape_name}/{seed}')
        self.zones, self.services = deployments.zones_of(self.shape), sorted(self.shape['services'])
        self.seconds = seconds
        self.end_ms = 1000.0 * seconds
        self.events: list[dict] = []

    def add_poisson_events(self, rate: float, make_event: typing.Callable[[], dict]) -> None:
        """Add events at random times, a Poisson process with `rate` events per second."""
        at_ms = self.rng.expovariate(rate / 1000)
        while at_ms < self.end_ms:
            self.events.append({'at_ms': round(at_ms, 1), **make_event()})
            at_ms += self.rng.expovariate(rate / 1000)

    def request(self) -> dict:
        """Return a request to a random service, from a random zone."""
        zone = self.rng.choice(self.zones)
        service = self.rng.choice(self.services)
        event = {'do': 'request', 'service': service, 'cell': zone, 'path': '/work', 'left_ms': REQUEST_TIMEOUT_MS}
        # Some clients' data must stay in their region.
        if self.rng.random() < HOME_SHARE:
            event['home'] = [zone.split('/')[0]]
        return event

    def call(self) -> dict:
        """Return a coordination call of a random kind."""
        operation = self.rng.choice(CALLS)
        if operation.startswith('key'):
            args = {'key': f'k{self.rng.randrange(20)}'}
            if operation == 'key.put':
                args['value'] = str(self.rng.randrange(10**6))
        elif operation.startswith('lock'):
            args = {'name': f'l{self.rng.randrange(5)}', 'holder': f'h{self.rng.randrange(10)}'}
        else:
            args = {'name': 'orders'}
        return {'do': 'call', 'op': operation, 'args': args}

    def add_scheduled_events(self, closing: str) -> None:
        """Add operators' commands, some faults, and a closing fault early enough that recovery can be observed."""
        last_zone = self.zones[-1]
        scheduled: list[tuple[float, str, dict]] = [
            (0.10, 'operator', {'verb': 'evacuate', 'args': [last_zone]}),
            (0.20, 'operator', {'verb': 'return', 'args': [last_zone]}),
            (0.25, 'fault', {'name': 'kill_master', 'last_ms': 5000}),
            (0.35, 'beat', {'end': 0, 'state': 'draining'}),
            (0.45, 'beat', {'end': 0, 'state': 'ready'}),
            (max(0.5, 1 - RECOVERY_S / self.seconds), 'fault', {'name': closing, 'last_ms': 3000}),
        ]
        self.events += [{'at_ms': round(self.end_ms * part, 1), 'do': do, **more} for part, do, more in scheduled]


def generate(
    shape_name: str, seed: int, seconds: float, closing: str = 'kill_all', rate: float | None = None
) -> tuple[dict, list[dict]]:
    """Return the header and the events of a day: requests, coordination calls, operators' commands, faults."""
    generator = Generator(shape_name, seed, seconds)
    shape = generator.shape
    scale = (rate or shape['rate']) / shape['rate']
    generator.add_poisson_events(shape['rate'] * scale, generator.request)
    generator.add_poisson_events(shape['calls'] * scale, generator.call)
    generator.add_scheduled_events(closing)
    events = sorted(generator.events, key=lambda event: event['at_ms'])
    return {'day': 1, 'shape': shape_name, 'seed': seed, 'seconds': seconds}, events
