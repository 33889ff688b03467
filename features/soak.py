"""Runs soaks by hand: real processes, clients with long-lived connections, disturbances that overlap.

  python features/soak.py --seeds=1-50 --seconds=25 --cores=3 --edges=3

Each soak prints its findings and the counts of its records. The exit status is 0 only without findings; the logs of a
soak with findings are kept.
"""

import argparse
import collections
import json
import os
import sys
import time

sys.path.append(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import features.support.soak.disturbances as disturbances
import features.support.soak.run as run

MAX_FINDINGS_SHOWN = 12


def summary(result: run.Result) -> dict[str, int]:
    """Return the counts of the records of a soak."""
    attempts = result.records.attempts.values()
    counts: collections.Counter[str] = collections.Counter()
    for attempt in attempts:
        counts['left' if attempt.disconnected_at is not None else attempt.fault or str(attempt.status)] += 1
    runs = collections.Counter(f'run {each.how or "open"}' for each in result.records.runs)
    return {
        'attempts': len(attempts),
        **dict(sorted(counts.items())),
        **dict(sorted(runs.items())),
        'signals': len(result.records.signals),
        'ends': len(result.records.ends),
        'disturbances': len(result.records.events),
        'lookups': len(result.records.lookups),
    }


def main() -> int:
    """Run the soaks that the command line names, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--seeds', default='1', help='a seed, or FIRST-LAST')
    parser.add_argument('--seconds', type=float, default=25, help='how long disturbances are started')
    parser.add_argument('--cores', type=int, default=3, help='control nodes')
    parser.add_argument('--edges', type=int, default=3, help='proxies')
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    has_findings = False
    for seed in range(int(first), int(last or first) + 1):
        began = time.monotonic()
        result = run.play(seed, options.seconds, options.cores, options.edges)
        took_s = round(time.monotonic() - began, 1)
        print(f'seed {seed}: {len(result.findings)} findings, {took_s} s, {json.dumps(summary(result))}', flush=True)
        for finding in result.findings[:MAX_FINDINGS_SHOWN]:
            print(f'  {finding}', flush=True)
        if result.findings:
            has_findings = True
            print(f'  logs in {result.folder}', flush=True)
            print(f'  {disturbances.describe(result.records.events, result.began)}', flush=True)
    return 1 if has_findings else 0


if __name__ == '__main__':
    sys.exit(main())
