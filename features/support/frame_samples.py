"""Records one frame of each form that a simulated fleet sends, as features/data/frames.json keeps them.

    python -m features.support.frame_samples > features/data/frames.json

Frames are of one form if they are of one kind and have the same fields. The
shortest of each form is kept, and none that is longer than LENGTH_MOST. What
no such day sends is made here: the end of a cluster that an operator gave up, a
heartbeat that grants a lease, as large fleets send it, and the refusal of one.
The file is written once for a release; what it holds must be read by every
later one.
"""

import json
import sys
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.days as days
import zinctrail.simulation.open_days as open_days
import zinctrail.simulation.search as search

# (kind of days, seeds)
PLAN = ((days, range(9000, 9012)), (open_days, range(9100, 9106)))
DAY = durations.ms(20000)
LENGTH_MOST = 4000
# Chunks of a transfer are longer: they are kept with their first rows only.
CHUNK_ROWS = 2
SENDER = {'v': 2, 'c': 'c2', 'f': 'b', 'a': '10.0.0.2:1000'}
MADE = (
    {'of': ['c1'], 't': 'retired', **SENDER},
    {'term': 3, 'to': 'p', 'round': 9, 'http': '', 'pace_ms': 600, 'ack': 8, 't': 'chk', **SENDER},
    {'term': 3, 'round': 9, 'no': True, 't': 'chk_re', **SENDER},
)

# {kind and fields of a frame: its text}
Samples = dict[str, str]


def wire_text(frame: dict[str, typing.Any]) -> str:
    """A frame as it is written to a connection."""
    return json.dumps(frame, separators=(',', ':'))


def form_of(frame: dict[str, typing.Any]) -> str:
    """The kind of a frame, and the names of its fields in their order."""
    return ' '.join([frame['t'], *frame])


def record(kind_of_day, seed: int, samples: Samples) -> None:
    """Play a day, and keep the shortest frame of each form."""

    def note(source, target, text):
        frame = json.loads(text)
        if frame['t'] == 'piece':
            frame['rows'] = frame['rows'][:CHUNK_ROWS]
        form, line = form_of(frame), wire_text(frame)
        if len(line) <= LENGTH_MOST and len(line) < len(samples.get(form, line + ' ')):
            samples[form] = line

    scenario = kind_of_day.Scenario(seed, search.plan(seed, kind_of_day), 'small', DAY)
    scenario.world.on_deliver = note
    scenario.run()


def main() -> None:
    """Write the samples of all days of the plan, a line each."""
    samples: Samples = {form_of(frame): wire_text(frame) for frame in MADE}
    for kind_of_day, seeds in PLAN:
        for seed in seeds:
            record(kind_of_day, seed, samples)
    json.dump([samples[form] for form in sorted(samples)], sys.stdout, indent=0)
    print()


if __name__ == '__main__':
    main()
