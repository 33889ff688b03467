"""Fingerprints of simulated days: whether a change of the code changed what the system does.

    python -m zinctrail.simulation.fingerprints [--write] [--jobs=N] [--every=N]

Compares with docs/fingerprints.json, or writes it; --every=N plays only every
Nth day.

A fingerprint is a digest over every frame, disk write, HTTP answer and HTTP
call that any process made, with its virtual time. Log lines are left out.
"""

import hashlib
import json
import multiprocessing
import os
import sys
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.simulation.days as days
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_days as open_days
import zinctrail.simulation.search as search

FILE = 'docs/fingerprints.json'
# (kind of days, seeds, virtual seconds)
PLAN = (('days', range(9000, 9040), 20), ('open_days', range(9100, 9120), 20))
KINDS = {'days': days, 'open_days': open_days}


def serialize(effect) -> str | None:
    """What one effect carries, as text; None where it leaves nothing outside the process."""
    if isinstance(effect, effects.Send):
        return json.dumps(['send', effect.address, effect.frame, effect.may_compress])
    if isinstance(effect, effects.Write):
        return json.dumps(['write', effect.name, effect.text, effect.obsolete_files, effect.may_be_read])
    if isinstance(effect, effects.WriteChunk):
        return json.dumps(['part', effect.name, effect.text, effect.first])
    if isinstance(effect, effects.CommitChunks):
        return json.dumps(['end', effect.name, effect.head, effect.obsolete_files])
    if isinstance(effect, effects.HttpResponse):
        return json.dumps(['answer', effect.status, effect.headers, effect.body.decode('latin-1')])
    if isinstance(effect, effects.HttpFetch):
        call = [
            effect.address,
            effect.incarnation,
            effect.method,
            effect.path,
            effect.headers,
            effect.body.decode('latin-1'),
        ]
        return json.dumps(['call', *call, effect.wait.total_seconds(), effect.plain, effect.at_most_once])
    return None


def recorder(digest) -> typing.Callable:
    """An observer of a node's effects that feeds them to a digest."""

    def observe(node, effect):
        text = serialize(effect)
        if text is not None:
            digest.update(f'{node.world.now.total_seconds()} {node.name} {text}\n'.encode())

    return observe


def fingerprint(job: tuple[str, int, int]) -> tuple[str, str]:
    """The name of a day, and its digest with its counts of frames and verdicts."""
    kind, seed, seconds = job
    module = KINDS[kind]
    digest = hashlib.sha256()
    simulated_node.Node.observer = staticmethod(recorder(digest))
    scenario = module.Scenario(seed, search.plan(seed, module), 'small', durations.ms(1000 * seconds)).run()
    verdicts = sorted(scenario.verdicts())
    return f'{kind} {seed}', f'{digest.hexdigest()[:32]} {scenario.world.frames} {len(verdicts)}'


def main(argv: list[str]) -> int:
    """Compare with the file, or write it; returns the exit status."""
    if os.environ.get('PYTHONHASHSEED') != '0':
        os.environ['PYTHONHASHSEED'] = '0'
        os.execv(sys.executable, [sys.executable, '-m', 'zinctrail.simulation.fingerprints', *argv])
    options = dict(argument.lstrip('-').partition('=')[::2] for argument in argv)
    jobs = int(options.get('jobs') or os.cpu_count() or 1)
    plan = [(kind, seed, seconds) for kind, seeds, seconds in PLAN for seed in seeds][:: int(options.get('every') or 1)]
    with multiprocessing.Pool(jobs) as pool:
        found = dict(pool.map(fingerprint, plan, chunksize=1))
    if 'write' in options:
        with open(FILE, 'w', encoding='utf-8') as file:
            json.dump(found, file, indent=1)
            file.write('\n')
        return 0
    with open(FILE, encoding='utf-8') as file:
        wanted = json.load(file)
    differ = [name for name in found if found[name] != wanted.get(name)]
    for name in differ:
        print(f'{name}: {wanted.get(name)} became {found[name]}')
    print(f'{len(found) - len(differ)} of {len(found)} days are as they were')
    return 1 if differ else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
