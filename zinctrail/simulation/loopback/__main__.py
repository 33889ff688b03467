"""Load on one real process over loopback: processor time per request and added latency.

  python -m zinctrail.simulation.loopback [WHAT ...]       measure (default: all) into docs/capacity/loopback.json

WHAT is open (open traffic through a proxy, by rate), open_large (the same with
the state of docs/CAPACITY.md's size), open_pool (the same, by the endpoints of the
pool), beat and answer (heartbeats and lookups at a control node, by the nodes it
knows). The process under load runs the real host and state machine, with sockets;
its lease and its state are set at the start. Requests are sent at random times. Of
open traffic, half of the requests go directly to the endpoint, for comparison.
"""

import json
import sys

import twisted.internet.defer as defer
import twisted.internet.reactor as reactor

import zinctrail.simulation.loopback.children as children
import zinctrail.simulation.loopback.measurements as measurements
import zinctrail.simulation.scale.records as records

SEEDS = (1, 2, 3)


@defer.inlineCallbacks
def run(names: list[str]):
    """Run measurements (all, if none is named) and save them into docs/capacity/loopback.json."""
    document = records.load(records.LOOPBACK)
    try:
        for name in names or measurements.RUNS:
            document[name] = []
            for measure in measurements.RUNS[name]:
                for seed in SEEDS:
                    found = yield measure(seed)
                    document[name].append(found)
                    records.save(document, records.LOOPBACK)
                    report(name, found)
    finally:
        if reactor.running:
            reactor.stop()


def report(name: str, found: dict) -> None:
    """Print a measurement on one line."""
    figures = {key: value for key, value in found.items() if key != 'size'}
    print(json.dumps(records.rounded({'run': name, **figures})), flush=True)


def main(arguments: list[str]) -> int:
    """Run the command and return the exit status."""
    if arguments[:1] == ['child']:
        children.serve(arguments[1:])
        return 0
    if any(argument not in measurements.RUNS for argument in arguments):
        print(__doc__.strip())
        return 0 if arguments[:1] == ['--help'] else 2
    failures: list[str] = []
    reactor.callWhenRunning(lambda: run(arguments).addErrback(lambda reason: failures.append(reason.getTraceback())))
    reactor.run()
    for text in failures:
        print(text, file=sys.stderr)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
