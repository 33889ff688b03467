"""The steps of a cluster, which the explorer takes and a finding lists."""

import dataclasses
import enum
import json
import typing

import zinctrail.errors as errors

# The kind of a pseudo-frame that notifies a node that the connection from another one was closed.
CONNECTION_CLOSED = 'closed'
# Fields that every frame carries and that are of no use to a reader of a finding.
ENVELOPE_FIELDS = frozenset(('a', 'c', 'f', 'v', 't', 'http'))
# The largest part of a frame's content that is shown in a finding, in characters.
SHOWN_CHARACTERS = 160
NO_POWER_LOSS = -1


class StepKind(enum.StrEnum):
    """The kind of a step; the values are stored in findings on disk."""

    DELIVER = 'deliver'
    # Delivers a frame and leaves a duplicate of it in flight.
    DUPLICATE = 'double'
    TIMER = 'timer'
    REQUEST = 'request'
    RESTART = 'crash'
    WIPE = 'wipe'
    LOSS = 'loss'
    SHUTDOWN = 'leave'


# Steps that end a machine without an input to it.
ENDINGS = frozenset((StepKind.RESTART, StepKind.WIPE, StepKind.LOSS))


class StepNotEnabledError(errors.ZinctrailError):
    """A step to be replayed can not be taken in the state that was reached."""

    def __init__(self, step: 'Step'):
        super().__init__(step.describe())
        self.step = step


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of the cluster.

    `node` and `source` are indexes of nodes; `frame` is the text of the delivered frame,
    `request` the name of the request that is sent. `power_loss_before_write` is the number
    of the write before which power is lost, or NO_POWER_LOSS.
    """

    kind: StepKind
    node: int
    source: int = -1
    frame: str = ''
    request: str = ''
    power_loss_before_write: int = NO_POWER_LOSS

    @classmethod
    def deliver(cls, frame, kind: StepKind = StepKind.DELIVER) -> 'Step':
        """Return the step that delivers a frame in flight."""
        return cls(kind, frame.target, frame.source, frame.text)

    @classmethod
    def from_json(cls, row: dict[str, typing.Any]) -> 'Step':
        """Return the step that `to_json` wrote."""
        return cls(StepKind(row['kind']), row['node'], row['source'], row['frame'], row['request'], row['cut'])

    def to_json(self) -> dict[str, typing.Any]:
        """Return the step as a row of a finding's document."""
        return {
            'kind': str(self.kind),
            'node': self.node,
            'source': self.source,
            'frame': self.frame,
            'request': self.request,
            'cut': self.power_loss_before_write,
        }

    def describe(self) -> str:
        """Describe the step in one line for a reader of a finding."""
        if self.kind in (StepKind.DELIVER, StepKind.DUPLICATE):
            text = self.describe_delivery()
        elif self.kind is StepKind.REQUEST:
            text = f'operator -> node {self.node}: {self.request}'
        else:
            text = f'node {self.node}: {self.kind}'
        if self.power_loss_before_write == NO_POWER_LOSS:
            return text
        return f'{text}; power lost before write {self.power_loss_before_write + 1}, restarted'

    def describe_delivery(self) -> str:
        """Describe the source, target, kind and content of the delivered frame."""
        frame = json.loads(self.frame) if self.frame else {}
        content = ', '.join(f'{name} {frame[name]}' for name in sorted(frame) if name not in ENVELOPE_FIELDS)
        duplicate = ' (a duplicate stays in flight)' if self.kind is StepKind.DUPLICATE else ''
        kind = frame.get('t', CONNECTION_CLOSED)
        return f'node {self.source} -> node {self.node}: {kind} {content[:SHOWN_CHARACTERS]}{duplicate}'
