"""Steps of replay.feature: recorded days, read, generated and replayed by zinctrail-replay."""

import json
import subprocess
import sys

import behave

import zinctrail.fleet.recorded_day as recorded_day

HEADER = '{"day": 1, "shape": "small"}'
REQUEST = '{"at_ms": 1, "do": "request", "service": "loans"}'


def run_replay(*arguments, stdin=None):
    """Run zinctrail-replay; return (exit status, standard output, standard error)."""
    process = subprocess.run(
        [sys.executable, '-m', 'zinctrail.cli.replay', *arguments],
        input=stdin,
        capture_output=True,
        text=True,
    )
    return process.returncode, process.stdout, process.stderr


@behave.given('a recorded day whose third line is {line}')
def day_with_line(context, line: str):
    context.lines = [HEADER, REQUEST, line, REQUEST]


@behave.given('a recorded day without its header')
def day_without_header(context):
    context.lines = [REQUEST, REQUEST]


@behave.when('the recorded day is read')
def read_day(context):
    context.error = None
    try:
        recorded_day.read(context.lines)
    except recorded_day.RecordedDayError as error:
        context.error = error


@behave.then('the error names line {number:d}, and says {reason}')
def error_names_line(context, number: int, reason: str):
    assert context.error is not None and context.error.line_number == number, context.error
    assert reason in str(context.error), context.error


@behave.when('the recorded day is read, skipping invalid lines')
def read_day_skipping(context):
    _, context.events, context.skipped = recorded_day.read(context.lines, skip=True)


@behave.then('{count:d} line was skipped and the other events are read')
def lines_skipped(context, count: int):
    assert len(context.skipped) == count and context.skipped[0][0] == 3 and len(context.events) == 2


@behave.then('reading it fails at line 1, even when skipping invalid lines')
def reading_fails_at_first_line(context):
    for skip in (False, True):
        try:
            recorded_day.read(context.lines, skip)
        except recorded_day.RecordedDayError as error:
            assert error.line_number == 1
        else:
            raise AssertionError(f'the recorded day was read, with skip={skip}')


@behave.given('generated days of small, accra and ukks')
def generate_days(context):
    context.days = [(shape, recorded_day.generate(shape, 3, 20)) for shape in ('small', 'accra', 'ukks')]


@behave.then('each is read back unchanged, and the same seed generates the same day')
def days_are_reproducible(context):
    for shape, (header, events) in context.days:
        assert recorded_day.read(list(recorded_day.write(header, events))) == (header, events, [])
        assert recorded_day.generate(shape, 3, 20) == (header, events)
        assert recorded_day.generate(shape, 4, 20) != (header, events)
        assert events[-1]['at_ms'] <= 20000 and {event['do'] for event in events} == set(recorded_day.EVENTS)


@behave.when('zinctrail-replay makes a day of small and replays it in the simulator')
def make_and_replay(context):
    status, day, errors = run_replay('make', 'small', '--seconds=50', '--seed=2')
    assert status == 0, errors
    assert run_replay('check', '-', stdin=day)[0] == 0
    context.result = run_replay('sim', '-', '--seed=2', stdin=day)


@behave.then('it exits with code 0 and prints outcomes, waits and no verdicts')
def replay_is_clean(context):
    status, output, errors = context.result
    report = json.loads(output)
    assert status == 0 and report['verdicts'] == [] and report['waits_ms']['p99'] >= 0, (status, output, errors)
    assert report['outcomes']['ran'] >= 0.8 * sum(report['outcomes'].values()), output


@behave.when('zinctrail-replay replays a malformed file')
def replay_malformed(context):
    context.result = run_replay('sim', '-', stdin=HEADER + '\n{"at_ms": 1}\n')


@behave.then('it exits with code 2 and names the line')
def replay_names_line(context):
    status, output, errors = context.result
    assert status == 2 and 'line 2' in errors and not output, context.result
