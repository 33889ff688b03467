"""Steps of soak.feature: short soaks of real processes, and what their verdicts speak of."""

import collections.abc
import signal
import types

import behave

import features.support.soak.keepers as keepers
import features.support.soak.notes as soak_notes
import features.support.soak.run as soak_run
import features.support.soak.verdicts as verdicts

ATTEMPTS_LEAST = 300
FRONT, HOME_FRONT, FOREIGN_FRONT = 'f:1', 'f:2', 'f:3'
REGIONS = {'z1': 'north', FRONT: 'north', HOME_FRONT: 'south', FOREIGN_FRONT: 'west'}
HOMES = {'h': {'north', 'south'}}
NOW = 100.0


@behave.when('a soak of {cores:d} control nodes and {edges:d} proxies is played for {seconds:d} s under seed {seed:d}')
def soak_is_played(context, cores: int, edges: int, seconds: int, seed: int):
    context.result = soak_run.play(seed, seconds, cores, edges)


@behave.then('it finds nothing, and saw enough')
def soak_finds_nothing(context):
    findings, notes, folder, _ = context.result
    assert not findings, (findings[:5], folder)
    served = sum(attempt.status == 200 for attempt in notes.attempts.values())
    assert served > ATTEMPTS_LEAST and notes.ends and notes.signals, (served, len(notes.ends))


# -- what the verdicts speak of ----------------------------------------------------


def add_attempt(notes: soak_notes.Notes, runs_once: bool = False, took_s: float = 0.1, **fields) -> soak_notes.Attempt:
    """An attempt that was answered well, but for these fields."""
    attempt = soak_notes.Attempt(
        notes.new_attempt_id(), 'r', runs_once, FRONT, 1, NOW, NOW + took_s, 200, is_sealed=True
    )
    for name, value in fields.items():
        setattr(attempt, name, value)
    notes.attempts[attempt.id] = attempt
    return attempt


def add_run(notes: soak_notes.Notes, attempt_id: str, ended_at: float = NOW + 0.05, how: str = 'answered') -> None:
    """A run of an attempt."""
    notes.runs.append(soak_notes.Run(attempt_id, 'i', NOW, ended_at, how))


def add_served(notes: soak_notes.Notes, runs: int = 1, **fields) -> None:
    """An attempt that ran so many times."""
    attempt = add_attempt(notes, **fields)
    for _ in range(runs):
        add_run(notes, attempt.id)


def add_broken(notes: soak_notes.Notes, how: str = 'dropped', has_run: bool = True, took_s: float = 0.1) -> None:
    """An attempt whose connection ended without an answer."""
    attempt = add_attempt(notes, took_s=took_s, status=0, fault='IncompleteReadError')
    if has_run:
        add_run(notes, attempt.id, how=how)


def add_left(notes: soak_notes.Notes, count: int, worked_s: float) -> None:
    """Attempts whose clients left, and which were worked on for so long after that."""
    for _ in range(count):
        attempt = add_attempt(notes, status=0, fault='left', left_at=NOW + 0.1)
        add_run(notes, attempt.id, NOW + 0.1 + worked_s, 'dropped')


def add_killed_and_broken(notes: soak_notes.Notes) -> None:
    """A killed process, and what broke with it."""
    notes.signals.append(soak_notes.Signal('edge', FRONT, signal.SIGKILL, NOW + 0.05))
    add_broken(notes)


def add_lookup(notes: soak_notes.Notes, *addresses: str) -> None:
    """A lookup of a host with homes."""
    notes.lookups.append(soak_notes.Lookup('z1', 'h', list(addresses), NOW))


def add_end(notes: soak_notes.Notes, code: int, by_signal: int | None) -> None:
    """The end of a process that had run for long."""
    notes.ends.append(soak_notes.End('edge', code, NOW, by_signal, NOW - 1))


CASES: dict[str, collections.abc.Callable[[soak_notes.Notes], None]] = {
    'all is well': add_served,
    'a success bears no seal': lambda notes: add_served(notes, is_sealed=False),
    'what may run once ran twice': lambda notes: add_served(notes, runs=2, runs_once=True),
    'what may run once was refused and ran': lambda notes: add_served(notes, runs_once=True, status=503),
    'something ran that nobody sent': lambda notes: add_run(notes, 'nobody'),
    'a request was passed on and its connection ended': add_broken,
    'a request was passed on and its connection ended, as its process was killed': add_killed_and_broken,
    'a request was passed on and its connection ended, as its endpoint crashed': lambda notes: add_broken(
        notes, how='crashed'
    ),
    'a request crossed the close of its connection': lambda notes: add_broken(notes, has_run=False, took_s=0.01),
    'a request was read for a second and its connection ended': lambda notes: add_broken(
        notes, has_run=False, took_s=1.0
    ),
    'four requests were worked on for a second after their clients had left': lambda notes: add_left(notes, 4, 1.0),
    'three requests were worked on for a second after their clients had left': lambda notes: add_left(notes, 3, 1.0),
    'four requests were dropped as their clients left': lambda notes: add_left(notes, 4, 0.01),
    'a lookup named a foreign region beside a home': lambda notes: add_lookup(notes, HOME_FRONT, FOREIGN_FRONT),
    'a lookup named a foreign region alone': lambda notes: add_lookup(notes, FOREIGN_FRONT),
    'a process ended by itself': lambda notes: add_end(notes, 0, None),
    'a process ended with 1 after SIGTERM': lambda notes: add_end(notes, 1, signal.SIGTERM),
    'a process ended with 0 after SIGTERM': lambda notes: add_end(notes, 0, signal.SIGTERM),
    'a process was killed': lambda notes: add_end(notes, -signal.SIGKILL, signal.SIGKILL),
    'a proxy did not end within its grace': lambda notes: notes.faults.append('edge did not end within its grace'),
}


@behave.given('the notes of a soak in which {what}')
def notes_of_soak(context, what: str):
    notes = soak_notes.Notes()
    add_served(notes)
    CASES[what](notes)
    context.judge = verdicts.Judge(notes, HOMES, REGIONS, {'edge': [0.0]}, contention=1.0)


@behave.then('its verdicts are {verdict}')
def verdicts_are(context, verdict: str):
    names = {finding.partition(':')[0] for finding in context.judge.verdicts()}
    assert names == (set() if verdict == 'none' else {verdict}), context.judge.verdicts()


# -- processes ----------------------------------------------------------------------


@behave.given('a process of a soak that takes a while to go')
def slow_process(context):
    context.notes = soak_notes.Notes()
    soak = types.SimpleNamespace(seed=1, notes=context.notes)
    still_there = types.SimpleNamespace(poll=lambda: None)
    process = types.SimpleNamespace(name='edge', ingress=FRONT, process=still_there, signal=lambda number: None)
    context.keeper = keepers.Keeper(soak, process)


@behave.when('it gets {names}')
def process_gets_signals(context, names: str):
    for name in names.split():
        context.keeper.signal(signal.Signals[name])


@behave.then('it counts as ended by {name} from its {time} signal on')
def counts_as_ended_by(context, name: str, time: str):
    assert context.keeper.ended_by == signal.Signals[name], context.keeper.ended_by
    sent_at = [0.0, *(sent.at for sent in context.notes.signals)]
    position = ('first', 'second').index(time)
    # It is told right before its signal is noted.
    assert sent_at[position] < context.keeper.told_at <= sent_at[position + 1], (sent_at, context.keeper.told_at)
