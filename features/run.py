"""Runs the features, several at a time (those of `ALONE` by themselves), and prints the counts of their scenarios.

  python features/run.py [FEATURE ...]

The exit status is 0 only if a scenario ran and none failed. Scenarios listed in
KNOWN-RED.txt are printed and do not count as failed, but only while their failure
contains the words given there. A line of that file is
FEATURE | SCENARIO | WORDS OF ITS FAILURE | CAUSE, ISSUE.
"""

import concurrent.futures
import glob
import json
import os
import subprocess
import sys
import tempfile
import typing

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
KNOWN_RED_FILE = os.path.join(ROOT, 'KNOWN-RED.txt')
# Features that run after all others, with no other feature beside them.
ALONE = ('misbehaving_clients.feature',)


class KnownRed(typing.NamedTuple):
    """A scenario that fails for a known cause: its feature file, its name, and words of its failure."""

    feature: str
    scenario: str
    words: str


class FeatureResult(typing.NamedTuple):
    """The counts of passed and failed scenarios of a feature, the names of known red ones, and behave's output."""

    feature: str
    passed: int
    failed: int
    known_red: list[str]
    output: str


def read_known_red() -> list[KnownRed]:
    """Return the entries of KNOWN-RED.txt; none without the file."""
    if not os.path.exists(KNOWN_RED_FILE):
        return []
    with open(KNOWN_RED_FILE, encoding='utf-8') as lines:
        rows = [line.split(' | ') for line in lines if line.strip() and not line.startswith('#')]
    return [KnownRed(row[0].strip(), row[1].strip(), row[2].strip()) for row in rows]


def failure_text(scenario: dict[str, typing.Any]) -> str:
    """Return the messages of all failed steps of a scenario."""
    messages = [step.get('result', {}).get('error_message', '') for step in scenario.get('steps', ())]
    return ' '.join(' '.join(message) if isinstance(message, list) else message for message in messages)


def is_known_red(feature: str, scenario: dict[str, typing.Any], known: list[KnownRed]) -> bool:
    """Return True if the failure of a scenario contains the words listed for it."""
    text = failure_text(scenario)
    name = os.path.basename(feature)
    return any(name == red.feature and scenario['name'].strip() == red.scenario and red.words in text for red in known)


def run_behave(feature: str) -> tuple[subprocess.CompletedProcess, list[dict[str, typing.Any]]]:
    """Run behave on a feature; return (its process, the scenarios that it reports)."""
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        command = [sys.executable, '-m', 'behave', '--no-capture', '--no-summary']
        command += ['--format', 'plain', '--format', 'json', '--outfile', '/dev/stdout', '--outfile', report.name]
        done = subprocess.run(
            [*command, feature], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
        )
        try:
            with open(report.name) as text:
                documents = json.load(text)
        except ValueError:
            documents = []
    elements = [element for document in documents for element in document.get('elements', ())]
    return done, [element for element in elements if element['type'] != 'background']


def run_feature(feature: str) -> FeatureResult:
    """Run a feature, and count its scenarios by result."""
    done, scenarios = run_behave(feature)
    passed = sum(1 for scenario in scenarios if scenario['status'] == 'passed')
    unsuccessful = [scenario for scenario in scenarios if scenario['status'] not in ('passed', 'skipped')]
    known = read_known_red()
    known_red = [scenario['name'] for scenario in unsuccessful if is_known_red(feature, scenario, known)]
    failed = len(unsuccessful) - len(known_red)
    # A feature that failed before its first scenario must not count as an empty one.
    if done.returncode and not unsuccessful:
        failed = 1
    return FeatureResult(feature, passed, failed, known_red, done.stdout)


def results_of(features: list[str]) -> typing.Iterator[FeatureResult]:
    """Run features, several at a time and then those of `ALONE`, and yield their results."""
    beside = [feature for feature in features if os.path.basename(feature) not in ALONE]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count() or 2) as pool:
        yield from pool.map(run_feature, beside)
    for feature in features:
        if feature not in beside:
            yield run_feature(feature)


def main(arguments: list[str]) -> int:
    """Run the named features, or all; return the exit status."""
    features = arguments or sorted(glob.glob(os.path.join(HERE, '*.feature')))
    passed = failed = 0
    for result in results_of(features):
        passed, failed = passed + result.passed, failed + result.failed
        name = os.path.basename(result.feature)
        for scenario in result.known_red:
            print(f'{name}: known red, passed over: {scenario}', flush=True)
        print(f'{name}: {result.passed} passed, {result.failed} failed, of its scenarios', flush=True)
        if result.failed:
            print(result.output, flush=True)
    print(f'{passed} passed, {failed} failed')
    return 0 if passed and not failed else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
