"""Explores the consensus state machines in every order of their steps, within the limits of a scope.

python -m zinctrail.model [--scope=NAME,...] [--guard=NAME] [--trace=FILE]
python -m zinctrail.model --replay=FILE

Prints a line for each scope: distinct states, depth, states per second, and how often each limit stopped a step.
The exit status is 1 if an invariant was violated.
"""

import dataclasses
import json
import sys

import absl.app
import absl.flags

import zinctrail.model.explorer as explorer
import zinctrail.model.guards as guards
import zinctrail.model.reports as reports
import zinctrail.model.scopes as scopes

FLAGS = absl.flags.FLAGS
# {flag: the field of scopes.Limits that it replaces}
LIMIT_FLAGS = {
    'states': 'states',
    'depth': 'depth',
    'timers': 'timers',
    'crashes': 'crashes',
    'doubles': 'duplicates',
}


def define_flags() -> None:
    """Define the command's flags."""
    absl.flags.DEFINE_list('scope', [], f'Scopes to explore, all by default: {", ".join(scopes.SCOPES)}.')
    absl.flags.DEFINE_enum('guard', None, list(guards.GUARDS), 'A guard to switch off, to see its invariant violated.')
    absl.flags.DEFINE_string('trace', None, 'File to write a finding to, for --replay.')
    absl.flags.DEFINE_string('replay', None, 'File of a finding to replay.')
    absl.flags.DEFINE_integer('states', None, "Most distinct states, in place of the scope's own limit.", lower_bound=1)
    absl.flags.DEFINE_integer('depth', None, "Most steps, in place of the scope's own limit.", lower_bound=1)
    absl.flags.DEFINE_integer('timers', None, "Most timer steps, in place of the scope's own limit.", lower_bound=0)
    absl.flags.DEFINE_integer('crashes', None, "Most crashes, in place of the scope's own limit.", lower_bound=0)
    absl.flags.DEFINE_integer('doubles', None, "Most frames that arrive twice, in place of the scope's own limit.")
    absl.flags.DEFINE_bool(
        'remember', True, 'Whether to cache the result of each input of a node; off only to compare speeds.'
    )


def with_given_limits(scope: scopes.Scope) -> scopes.Scope:
    """Return the scope with its limits replaced by those given as flags."""
    given = {field: getattr(FLAGS, flag) for flag, field in LIMIT_FLAGS.items() if getattr(FLAGS, flag) is not None}
    return dataclasses.replace(scope, limits=dataclasses.replace(scope.limits, **given))


def explore(name: str) -> reports.Finding | None:
    """Explore one scope, print its report, and write a finding to the file given as --trace."""
    report = explorer.Explorer(with_given_limits(scopes.SCOPES[name]), FLAGS.remember, progress=print).run()
    print(report.text(), flush=True)
    if report.finding:
        print(report.finding.page(name), flush=True)
        if FLAGS.trace:
            with open(FLAGS.trace, 'w', encoding='utf-8') as out:
                json.dump(report.finding.document(name, FLAGS.guard), out, indent=1)
    return report.finding


def replay(file: str) -> reports.Finding | None:
    """Replay the finding in a file and print the violation that its steps lead to."""
    with open(file, encoding='utf-8') as source:
        document = json.load(source)
    with guards.switched_off(document['guard']):
        finding = explorer.replay(document)
    print(finding.page(document['scope']) if finding else 'the finding no longer occurs')
    return finding


def main(argv: list[str]) -> int:
    """Run the command; returns its exit status."""
    if FLAGS.replay:
        return 1 if replay(FLAGS.replay) else 0
    found = []
    for name in FLAGS.scope or scopes.SCOPES:
        with guards.switched_off(FLAGS.guard):
            found.append(explore(name))
    return 1 if any(found) else 0


if __name__ == '__main__':
    define_flags()
    sys.exit(absl.app.run(main))
