"""Fingerprints of simulated scenarios, which show whether a change of the code changed the system's behaviour.

    python -m zinctrail.simulation.fingerprints [--write] [--jobs=N] [--every=N]

Compares with docs/fingerprints.json, or writes it; --every=N runs only every
Nth scenario.

A fingerprint is a digest over every frame, disk write, HTTP response and HTTP
call of all processes, with its virtual time. Log lines are not part of it.
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
# (scenario module, seeds, virtual seconds)
PLAN = (('days', range(9000, 9040), 20), ('open_days', range(9100, 9120), 20))
KINDS = {'days': days, 'open_days': open_days}


def serialize(effect) -> str | None:
    """Return an effect as text, or None if it is not part of the fingerprint."""
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
    """Return an observer of effects that adds them to a digest."""

    def observe(node, effect):
        text = serialize(effect)
        if text is not None:
            digest.update(f'{node.world.now.total_seconds()} {node.name} {text}\n'.encode())

    return observe


def fingerprint(job: tuple[str, int, int]) -> tuple[str, str]:
    """Run a scenario; returns its name, and its digest with the counts of frames and verdicts."""
    kind, seed, seconds = job
    module = KINDS[kind]
    digest = hashlib.sha256()
    simulated_node.Node.observer = staticmethod(recorder(digest))
    scenario = module.Scenario(seed, search.plan(seed, module), 'small', durations.ms(1000 * seconds)).run()
    verdicts = sorted(scenario.verdicts())
    return f'{kind} {seed}', f'{digest.hexdigest()[:32]} {scenario.world.frames} {len(verdicts)}'


def main(argv: list[str]) -> int:
    """Run the command: compare the fingerprints with the file, or write it; returns the exit status."""
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
        print(f'{name}: expected {wanted.get(name)}, got {found[name]}')
    print(f'{len(found) - len(differ)} of {len(found)} scenarios are unchanged')
    return 1 if differ else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
