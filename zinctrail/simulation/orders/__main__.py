"""Operators send competing commands under the same version, lose acknowledgements and retry, while control nodes fail.

  python -m zinctrail.simulation.orders --seeds=8 --first=1

Eight commands are in progress at a time. Each is resent unchanged, to any node,
until it has a conclusive response; some are sent to two nodes at the same time,
and acknowledged ones are sent again later. Meanwhile leaders are killed or lose
power, nodes are paused, disks are wiped (so that full snapshots are sent), and
all control nodes lose power at once.
"""

import argparse
import sys

import zinctrail.simulation.orders.run as orders_run


def main(arguments: list[str]) -> int:
    """Run the command; return exit status 1 if a run found a violation."""
    parser = argparse.ArgumentParser(prog='orders.py', description=__doc__.splitlines()[0])
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=4)
    options = parser.parse_args(arguments)
    failed_runs = 0
    for seed in range(options.first, options.first + options.seeds):
        run = orders_run.Run(seed).run()
        print(run.summary(), flush=True)
        for violation in run.violations:
            print(f'  {violation}')
        failed_runs += bool(run.violations)
    return int(failed_runs > 0)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
