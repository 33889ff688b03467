"""Hollow nodes for docs/CAPACITY.md: control-plane overhead of each role by cluster size.

  python -m zinctrail.simulation.scale run [SWEEP ...]     measure sweeps (default: all) into docs/capacity/points.json;
                                                    --seeds=3, --large=1 (seeds for slow sizes), --jobs=3,
                                                    --keep=1 (measure only points that are not recorded yet)
  python -m zinctrail.simulation.scale small               measure one small point, as the test does

One process holds all nodes of a point. The real state machines run on simulated
links and virtual time, with no traffic. Every message is encoded as transport.peer_connections
encodes it, and counted with its netstring framing; TCP overhead is not
counted. Control nodes, one proxy and one directory are complete: they have their
own copy of the state and decode received frames, and their processor time is measured.
The other proxies and directories are hollow: they share one copy of the state
and derive nothing from it, but respond to every message with the same state machine.
"""

import json
import sys

import zinctrail.simulation.scale.point as scale_point
import zinctrail.simulation.scale.records as records
import zinctrail.simulation.scale.runner as runner
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as state
import zinctrail.simulation.scale.sweeps as sweeps

# The size and seed of the point that `small` measures.
SMALL = sizes.Size(nodes=10, killed=1, restarted=1, parted=1, answers=5)
SMALL_SEED = 1


def write_state(size_text: str, path: str) -> None:
    """Write the state of a size, given as JSON, to a file; `memory` runs this in a separate process."""
    size = sizes.Size(**json.loads(size_text))
    with open(path, 'w', encoding='utf-8') as file:
        json.dump(state.state_tables(size), file, separators=(',', ':'))


def is_option(argument: str) -> bool:
    """True if an argument is `--name=value`."""
    return argument.startswith('--') and '=' in argument


def main(arguments: list[str]) -> int:
    """Run one of the commands and return the exit status."""
    if arguments[:1] == ['state']:
        write_state(*arguments[1:3])
        return 0
    options = dict(argument[2:].split('=', 1) for argument in arguments if is_option(argument))
    words = [argument for argument in arguments if not is_option(argument)]
    if words[:1] == ['run'] and all(word in sweeps.ALL for word in words[1:]):
        runner.run(words[1:], runner.Options(**{name: int(value) for name, value in options.items()}))
    elif words == ['small']:
        print(json.dumps(records.rounded(scale_point.measure_point(SMALL, SMALL_SEED)), indent=1))
    else:
        print(__doc__.strip())
        return 0 if words[:1] == ['--help'] else 2
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
