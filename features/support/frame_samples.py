"""Records one frame of each form that a simulated fleet sends; features/data/frames.json is such a recording.

    python -m features.support.frame_samples > features/data/frames.json

Frames have the same form if they are of one kind and have the same fields. The
shortest of each form is stored, unless it is longer than MAX_LENGTH. Forms that
no simulated scenario sends are added by hand: the notice that an operator has
retired a cluster, a heartbeat that grants a lease, as in large fleets, and the
refusal of a heartbeat. The file is written once for a release; every later
release must read its frames.
"""

import json
import sys
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.days as days
import zinctrail.simulation.open_days as open_days
import zinctrail.simulation.search as search

# (module of the scenarios, seeds)
PLAN = ((days, range(9000, 9012)), (open_days, range(9100, 9106)))
DURATION = durations.ms(20000)
MAX_LENGTH = 4000
# Chunks of a transfer are longer: only their first rows are stored.
CHUNK_ROWS = 2
SENDER = {'v': 2, 'c': 'c2', 'f': 'b', 'a': '10.0.0.2:1000'}
HAND_MADE_FRAMES = (
    {'of': ['c1'], 't': 'retired', **SENDER},
    {'term': 3, 'to': 'p', 'round': 9, 'http': '', 'pace_ms': 600, 'ack': 8, 't': 'chk', **SENDER},
    {'term': 3, 'round': 9, 'no': True, 't': 'chk_re', **SENDER},
)

# {kind and fields of a frame: its text}
Samples = dict[str, str]


def wire_text(frame: dict[str, typing.Any]) -> str:
    """Return a frame as it is written to a connection."""
    return json.dumps(frame, separators=(',', ':'))


def form_of(frame: dict[str, typing.Any]) -> str:
    """Return the kind of a frame and the names of its fields, in order."""
    return ' '.join([frame['t'], *frame])


def record_scenario(scenario_module, seed: int, samples: Samples) -> None:
    """Run a scenario, and store the shortest frame of each form."""

    def record_frame(source, target, text):
        frame = json.loads(text)
        if frame['t'] == 'piece':
            frame['rows'] = frame['rows'][:CHUNK_ROWS]
        form, line = form_of(frame), wire_text(frame)
        if len(line) <= MAX_LENGTH and len(line) < len(samples.get(form, line + ' ')):
            samples[form] = line

    scenario = scenario_module.Scenario(seed, search.plan(seed, scenario_module), 'small', DURATION)
    scenario.world.on_deliver = record_frame
    scenario.run()


def main() -> None:
    """Write the samples of all scenarios of the plan, one per line."""
    samples: Samples = {form_of(frame): wire_text(frame) for frame in HAND_MADE_FRAMES}
    for scenario_module, seeds in PLAN:
        for seed in seeds:
            record_scenario(scenario_module, seed, samples)
    json.dump([samples[form] for form in sorted(samples)], sys.stdout, indent=0)
    print()


if __name__ == '__main__':
    main()
