"""Digests by which the explorer recognises states that it has already visited.

Two machines have the same digest if, as far as the model can tell, they will behave
alike: absolute times become relative ones in coarse steps, and attributes
without influence on behaviour are excluded. A digest that is too coarse can
hide a finding but can not produce a false one, because each finding is replayed.
"""

import collections
import datetime
import functools
import hashlib
import types
import typing

import zinctrail.consensus.bootstrap as bootstrap
import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.member_updates as member_updates
import zinctrail.consensus.voter as voter
import zinctrail.model.attributes as attributes

DIGEST_BYTES = 16
# Relative times are distinguished in steps of this size, and not beyond this number of steps.
TIME_STEP = datetime.timedelta(milliseconds=400)
TIME_STEPS_LIMIT = 8
# Attributes without influence on a machine's behaviour: its environment, counters for status pages, caches.
EXCLUDED_BY_OWNER = {
    voter.Voter: (
        'rng',
        'request_sampler',
        'location',
        'settings',
        'counts',
        'guard',
        'discovery_rounds',
        'bad_frames',
        'out',
        'now',
        'leader_loss_reason',
    ),
    bootstrap.Bootstrap: ('probe_views', 'named_seeds'),
    member_updates.MemberUpdates: ('shared_frames',),
    # The content of a transfer follows from its versions, and its progress from its chunks.
    chunked_transfer.Content: ('_rows', '_sum'),
}
EXCLUDED = frozenset(name for names in EXCLUDED_BY_OWNER.values() for name in names)
PLAIN_TYPES = frozenset((str, int, float, bool, bytes, type(None)))
MAPPING_TYPES = frozenset((dict, collections.OrderedDict, collections.Counter, collections.defaultdict))
SEQUENCE_TYPES = frozenset((list, tuple, collections.deque))
SET_TYPES = frozenset((set, frozenset))

for _owner, _names in EXCLUDED_BY_OWNER.items():
    attributes.require_assigned(_owner, _names)


def of_text(text: str) -> bytes:
    """Return the digest of a text."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def of_parts(*parts: bytes) -> bytes:
    """Return the digest of several byte strings, concatenated."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(part)
    return digest.digest()


def of_machine(machine) -> bytes:
    """Return the digest of a state machine, with times relative to its own clock."""
    return of_text(CanonicalText(machine.now).of(machine))


class CanonicalText:
    """Writes values as text, the same text for values that differ only in the clock's absolute time."""

    def __init__(self, now: datetime.timedelta):
        self.now = now
        # Ids of the values that are being written, to stop at references back to one of them.
        self.being_written: set[int] = set()

    def of(self, value: typing.Any) -> str:
        """Return the text of any value that a machine holds; raises TypeError for a type without a digest."""
        kind = type(value)
        if kind in PLAIN_TYPES:
            return repr(value)
        if kind is datetime.timedelta:
            steps = round((value - self.now) / TIME_STEP)
            return f't{max(-TIME_STEPS_LIMIT, min(TIME_STEPS_LIMIT, steps))}'
        if id(value) in self.being_written:
            return '<above>'
        self.being_written.add(id(value))
        text = self.of_nested(kind, value)
        self.being_written.discard(id(value))
        return text

    def of_nested(self, kind: type, value: typing.Any) -> str:
        """Return the text of a value that holds other values."""
        if kind in MAPPING_TYPES:
            return self.of_mapping(value)
        if kind in SEQUENCE_TYPES:
            return '[' + ','.join([repr(item) if type(item) in PLAIN_TYPES else self.of(item) for item in value]) + ']'
        if kind in SET_TYPES:
            return '{' + ','.join(sorted([self.of(item) for item in value])) + '}'
        if kind is types.MethodType:
            return f'method {value.__func__.__qualname__}'
        if kind is types.FunctionType:
            cells = [self.of(cell.cell_contents) for cell in value.__closure__ or ()]
            defaults = [self.of(default) for default in value.__defaults__ or ()]
            return f'function {value.__qualname__} {cells} {defaults}'
        return kind.__name__ + self.of_mapping(fields_of(value))

    def of_mapping(self, mapping: dict) -> str:
        """Return the text of a mapping, independent of the order of its keys."""
        # Most values are of plain types, so checking that here saves most calls of `of`.
        pairs = [
            f'{repr(key) if type(key) is str else self.of(key)}:{repr(item) if type(item) in PLAIN_TYPES else self.of(item)}'
            for key, item in mapping.items()
        ]
        return '{' + ','.join(sorted(pairs)) + '}'


def fields_of(value: typing.Any) -> dict[str, typing.Any]:
    """Return the attributes of an object that influence its behaviour."""
    if isinstance(value, tuple):
        # A named tuple has neither a __dict__ nor slots that hold its fields.
        return value._asdict()
    if isinstance(value, functools.partial):
        return {'func': value.func, 'args': value.args, 'keywords': value.keywords}
    if hasattr(value, '__dict__'):
        return {name: item for name, item in vars(value).items() if name not in EXCLUDED}
    if hasattr(value, '__slots__'):
        owners = type(value).__mro__
        return {name: getattr(value, name, None) for owner in owners for name in getattr(owner, '__slots__', ())}
    raise TypeError(f'{type(value).__name__} has no digest')
