"""Steps of soak.feature: short soaks of real processes, and the findings of each verdict."""

import collections.abc
import signal
import types

import behave

import features.support.soak.keepers as keepers
import features.support.soak.records as soak_records
import features.support.soak.run as soak_run
import features.support.soak.verdicts as verdicts

MIN_ATTEMPTS = 300
INGRESS, HOME_INGRESS, FOREIGN_INGRESS = 'f:1', 'f:2', 'f:3'
REGIONS = {'z1': 'north', INGRESS: 'north', HOME_INGRESS: 'south', FOREIGN_INGRESS: 'west'}
HOMES = {'h': {'north', 'south'}}
NOW = 100.0


@behave.when('a soak of {cores:d} control nodes and {edges:d} proxies runs for {seconds:d} s under seed {seed:d}')
def soak_runs(context, cores: int, edges: int, seconds: int, seed: int):
    context.result = soak_run.play(seed, seconds, cores, edges)


@behave.then('it has no findings, and enough attempts and signals')
def soak_has_no_findings(context):
    findings, records, folder, _ = context.result
    assert not findings, (findings[:5], folder)
    served = sum(attempt.status == 200 for attempt in records.attempts.values())
    assert served > MIN_ATTEMPTS and records.ends and records.signals, (served, len(records.ends))


# -- findings of the verdicts -------------------------------------------------------


def add_attempt(
    records: soak_records.Records, runs_once: bool = False, took_s: float = 0.1, **fields
) -> soak_records.Attempt:
    """Record an attempt that got a correct response, apart from these fields."""
    attempt = soak_records.Attempt(
        records.new_attempt_id(), 'r', runs_once, INGRESS, 1, NOW, NOW + took_s, 200, is_sealed=True
    )
    for name, value in fields.items():
        setattr(attempt, name, value)
    records.attempts[attempt.id] = attempt
    return attempt


def add_run(
    records: soak_records.Records, attempt_id: str, ended_at: float = NOW + 0.05, how: str = 'answered'
) -> None:
    """Record an execution of an attempt."""
    records.runs.append(soak_records.Run(attempt_id, 'i', NOW, ended_at, how))


def add_served(records: soak_records.Records, runs: int = 1, **fields) -> None:
    """Record an attempt that was executed `runs` times."""
    attempt = add_attempt(records, **fields)
    for _ in range(runs):
        add_run(records, attempt.id)


def add_broken(records: soak_records.Records, how: str = 'dropped', has_run: bool = True, took_s: float = 0.1) -> None:
    """Record an attempt whose connection ended without a response."""
    attempt = add_attempt(records, took_s=took_s, status=0, fault='IncompleteReadError')
    if has_run:
        add_run(records, attempt.id, how=how)


def add_disconnected(records: soak_records.Records, count: int, worked_s: float) -> None:
    """Record attempts whose clients disconnected, and which were executed for `worked_s` seconds after that."""
    for _ in range(count):
        attempt = add_attempt(records, status=0, fault='left', disconnected_at=NOW + 0.1)
        add_run(records, attempt.id, NOW + 0.1 + worked_s, 'dropped')


def add_killed_and_broken(records: soak_records.Records) -> None:
    """Record a killed process, and an attempt whose connection ended with it."""
    records.signals.append(soak_records.Signal('edge', INGRESS, signal.SIGKILL, NOW + 0.05))
    add_broken(records)


def add_lookup(records: soak_records.Records, *addresses: str) -> None:
    """Record a lookup of a host with home regions."""
    records.lookups.append(soak_records.Lookup('z1', 'h', list(addresses), NOW))


def add_end(records: soak_records.Records, code: int, by_signal: int | None) -> None:
    """Record the exit of a process that had run for a long time."""
    records.ends.append(soak_records.End('edge', code, NOW, by_signal, NOW - 1))


CASES: dict[str, collections.abc.Callable[[soak_records.Records], None]] = {
    'all is well': add_served,
    'a successful response has no seal': lambda records: add_served(records, is_sealed=False),
    'a non-idempotent request was executed twice': lambda records: add_served(records, runs=2, runs_once=True),
    'a non-idempotent request was refused and executed': lambda records: add_served(
        records, runs_once=True, status=503
    ),
    'a request was executed that no client sent': lambda records: add_run(records, 'nobody'),
    'a request was forwarded and its connection ended': add_broken,
    'a request was forwarded and its connection ended, as its process was killed': add_killed_and_broken,
    'a request was forwarded and its connection ended, as its endpoint crashed': lambda records: add_broken(
        records, how='crashed'
    ),
    'a request crossed the close of its connection': lambda records: add_broken(records, has_run=False, took_s=0.01),
    'a request was read for a second and its connection ended': lambda records: add_broken(
        records, has_run=False, took_s=1.0
    ),
    'four requests ran on for a second after their clients had disconnected': lambda records: add_disconnected(
        records, 4, 1.0
    ),
    'three requests ran on for a second after their clients had disconnected': lambda records: add_disconnected(
        records, 3, 1.0
    ),
    'four requests were cancelled as their clients disconnected': lambda records: add_disconnected(records, 4, 0.01),
    'a lookup named a foreign region beside a home': lambda records: add_lookup(records, HOME_INGRESS, FOREIGN_INGRESS),
    'a lookup named a foreign region alone': lambda records: add_lookup(records, FOREIGN_INGRESS),
    'a process exited by itself': lambda records: add_end(records, 0, None),
    'a process exited with 1 after SIGTERM': lambda records: add_end(records, 1, signal.SIGTERM),
    'a process exited with 0 after SIGTERM': lambda records: add_end(records, 0, signal.SIGTERM),
    'a process was killed': lambda records: add_end(records, -signal.SIGKILL, signal.SIGKILL),
    'a proxy did not exit within its grace period': lambda records: records.faults.append(
        'edge did not exit within its grace period'
    ),
}


@behave.given('the records of a soak in which {what}')
def records_of_soak(context, what: str):
    records = soak_records.Records()
    add_served(records)
    CASES[what](records)
    context.checker = verdicts.RecordChecker(records, HOMES, REGIONS, {'edge': [0.0]}, contention=1.0)


@behave.then('its findings are {verdict}')
def findings_are(context, verdict: str):
    names = {finding.partition(':')[0] for finding in context.checker.findings()}
    assert names == (set() if verdict == 'none' else {verdict}), context.checker.findings()


# -- processes ----------------------------------------------------------------------


@behave.given('a process of a soak that takes a while to exit')
def slow_process(context):
    context.records = soak_records.Records()
    soak = types.SimpleNamespace(seed=1, records=context.records)
    still_running = types.SimpleNamespace(poll=lambda: None)
    process = types.SimpleNamespace(name='edge', ingress=INGRESS, process=still_running, signal=lambda number: None)
    context.keeper = keepers.Keeper(soak, process)


@behave.when('the process gets {names}')
def process_gets_signals(context, names: str):
    for name in names.split():
        context.keeper.signal(signal.Signals[name])


@behave.then('it counts as stopped by {name} from its {time} signal on')
def counts_as_stopped_by(context, name: str, time: str):
    assert context.keeper.ended_by == signal.Signals[name], context.keeper.ended_by
    sent_at = [0.0, *(sent.at for sent in context.records.signals)]
    position = ('first', 'second').index(time)
    # The time is taken right before the signal is recorded.
    assert sent_at[position] < context.keeper.signalled_at <= sent_at[position + 1], (
        sent_at,
        context.keeper.signalled_at,
    )
