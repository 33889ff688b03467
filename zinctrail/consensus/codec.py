"""Declares messages, and converts them to frames and back.

A frame is a JSON object. Its first keys are the fields of the message, in the
order of their declaration. The last keys are the same in every frame: ``t`` is
the kind of message; the others describe the sender: ``v`` its wire level, ``c``
its cluster, ``f`` its node id, ``a`` its address.
"""

import dataclasses
import re
import typing

import zinctrail.consensus.field_checks as field_checks
import zinctrail.errors as errors

METADATA = 'wire'

Frame = dict[str, typing.Any]
Version = tuple[int, int]


class WireField(typing.NamedTuple):
    """A field of a message on the wire."""

    wire_name: str
    check: field_checks.Check
    # Converts a value that passed the check to the type of the attribute; None leaves the value unchanged.
    convert: typing.Callable | None
    is_required: bool


@dataclasses.dataclass(slots=True)
class Sender:
    """The sender of a frame: its node id, its address, its cluster and the wire level that it writes."""

    node: str
    address: str
    cluster: str
    level: int


def required(wire_name: str, check: field_checks.Check, convert: typing.Callable | None = None) -> typing.Any:
    """Declare a field that every frame of its kind contains; it is sent even if its value is None."""
    return dataclasses.field(metadata={METADATA: WireField(wire_name, check, convert, True)})


def optional(
    wire_name: str,
    check: field_checks.Check,
    convert: typing.Callable | None = None,
    default: typing.Any = None,
) -> typing.Any:
    """Declare a field that may be missing from a frame; it then has the value `default`. None is not sent."""
    return dataclasses.field(default=default, metadata={METADATA: WireField(wire_name, check, convert, False)})


def required_version(wire_name: str) -> typing.Any:
    """Declare a required (term, generation) pair."""
    return required(wire_name, field_checks.is_version, tuple)


def optional_version(wire_name: str) -> typing.Any:
    """Declare an optional (term, generation) pair."""
    return optional(wire_name, field_checks.is_version, tuple)


def version_or_none(value: list[int] | None) -> Version | None:
    """Convert a received version to a tuple; null becomes None."""
    return None if value is None else (value[0], value[1])


def versions(value: list[list[int]]) -> list[Version]:
    """Convert a received list of versions to a list of tuples."""
    return [(term, generation) for term, generation in value]


@dataclasses.dataclass(slots=True, kw_only=True)
class Message:
    """Base class of all messages; `sender` is set only in received ones."""

    # The kind of frame, as `register` sets it.
    kind: typing.ClassVar[str] = ''
    # The name of the state machine's method that handles this type of message.
    handler: typing.ClassVar[str] = ''
    # (attribute, wire name, check, convert, is_required) of each field, in the order of the frame's keys.
    layout: typing.ClassVar[tuple] = ()

    sender: Sender | None = None

    def contradiction(self) -> str:
        """Describe why fields that are valid one by one are invalid together; '' if they are consistent."""
        return ''


def sender_of(message: Message) -> Sender:
    """Return the sender of a received message."""
    # Only messages that have not been sent yet lack a sender.
    assert message.sender is not None
    return message.sender


# {kind: type of message}
MESSAGES: dict[str, type[Message]] = {}


def register(kind: str) -> typing.Callable[[type[Message]], type[Message]]:
    """Return a class decorator: frames of `kind` are decoded to the class, and handled by ``on_`` + its name."""

    def add(message_type: type[Message]) -> type[Message]:
        if kind in MESSAGES:
            raise ValueError(f'frame kind {kind!r} is registered twice')
        message_type.kind = kind
        message_type.handler = 'on' + re.sub('([A-Z])', lambda match: '_' + match[0].lower(), message_type.__name__)
        message_type.layout = tuple(
            (field.name, *field.metadata[METADATA])
            for field in dataclasses.fields(message_type)
            if METADATA in field.metadata
        )
        MESSAGES[kind] = message_type
        return message_type

    return add


def decode(frame: Frame) -> Message:
    """Decode a frame to its message.

    Raises errors.FrameError if the kind is unknown, the sender is missing, or a
    field is missing or fails its check.
    """
    kind: typing.Any = frame.get('t')
    message_type = MESSAGES.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise errors.FrameError(f'unknown frame kind {kind!r:.40}')
    values = {'sender': decode_sender(kind, frame)}
    for name, wire_name, check, convert, is_required in message_type.layout:
        if wire_name in frame:
            value = frame[wire_name]
            if not check(value):
                raise errors.FrameError(f'{kind}: field {wire_name!r} is invalid', kind, wire_name)
            values[name] = value if convert is None else convert(value)
        elif is_required:
            raise errors.FrameError(f'{kind}: field {wire_name!r} is missing', kind, wire_name)
    message = message_type(**values)
    contradiction = message.contradiction()
    if contradiction:
        raise errors.FrameError(f'{kind}: {contradiction}', kind)
    return message


def decode_sender(kind: str, frame: Frame) -> Sender:
    """Decode the sender of a frame; raises errors.FrameError if a field of it is missing or invalid."""
    node: typing.Any = frame.get('f')
    address: typing.Any = frame.get('a')
    cluster: typing.Any = frame.get('c', '')
    level: typing.Any = frame.get('v', 0)
    if (
        not isinstance(node, str)
        or not field_checks.is_address(address)
        or not isinstance(cluster, str)
        or not field_checks.is_integer(level)
    ):
        raise errors.FrameError(f'{kind}: a field of the sender is missing or invalid', kind)
    return Sender(node, address, cluster, level)


def encode(message: Message, sender: Sender) -> Frame:
    """Encode a message from `sender` as a frame."""
    frame = {}
    for name, wire_name, _, _, is_required in message.layout:
        value = getattr(message, name)
        if value is not None or is_required:
            frame[wire_name] = value
    frame['t'] = message.kind
    frame['v'] = sender.level
    frame['c'] = sender.cluster
    frame['f'] = sender.node
    frame['a'] = sender.address
    return frame
