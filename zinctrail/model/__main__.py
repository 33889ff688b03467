"""Explores the agreement's own state machines in every order, within the limits of a scope.

python -m zinctrail.model [--scope=NAME,...] [--guard=NAME] [--trace=FILE]
python -m zinctrail.model --replay=FILE

Each scope's line tells the distinct states, the depth, the states a second and what its limits cut off.
Exit 1 if an invariant broke.
"""

import dataclasses
import json
import sys

import absl.app
import absl.flags

import zinctrail.model.explorer as explorer
import zinctrail.model.guards as guards
import zinctrail.model.scopes as scopes

FLAGS = absl.flags.FLAGS


def define():
    absl.flags.DEFINE_list('scope', [], f'Scopes to explore, all by default: {", ".join(scopes.SCOPES)}.')
    absl.flags.DEFINE_enum('guard', None, list(guards.GUARDS), 'A guard to switch off, to see the invariant speak.')
    absl.flags.DEFINE_string('trace', None, 'File to write a finding to, as steps that --replay plays again.')
    absl.flags.DEFINE_string('replay', None, 'File of a finding to play again.')
    absl.flags.DEFINE_integer('states', None, "Most distinct states, in place of the scope's own limit.", lower_bound=1)
    absl.flags.DEFINE_integer('depth', None, "Most steps, in place of the scope's own limit.", lower_bound=1)
    absl.flags.DEFINE_integer('timers', None, "Most timer steps, in place of the scope's own limit.", lower_bound=0)
    absl.flags.DEFINE_integer('crashes', None, "Most crashes, in place of the scope's own limit.", lower_bound=0)
    absl.flags.DEFINE_integer('doubles', None, "Most frames that come twice, in place of the scope's own limit.")
    absl.flags.DEFINE_bool(
        'remember', True, 'Whether to remember what an input makes of a node; off: only to compare speeds.'
    )


def limited(scope):
    """A scope with the limits that were given."""
    names = ('states', 'depth', 'timers', 'crashes', 'doubles')
    given = {name: getattr(FLAGS, name) for name in names if getattr(FLAGS, name) is not None}
    return dataclasses.replace(scope, limits=dataclasses.replace(scope.limits, **given))


def explore(name):
    report = explorer.Explorer(limited(scopes.SCOPES[name]), FLAGS.remember, progress=print).run()
    print(report.text(), flush=True)
    if report.finding:
        print(report.finding.page(name), flush=True)
        if FLAGS.trace:
            with open(FLAGS.trace, 'w', encoding='utf-8') as out:
                json.dump(report.finding.document(name, FLAGS.guard), out, indent=1)
    return report.finding


def replay(file):
    with open(file, encoding='utf-8') as lines:
        document = json.load(lines)
    with guards.off(document['guard']):
        finding = explorer.replay(document)
    print(finding.page(document['scope']) if finding else 'nothing is found any more')
    return finding


def main(argv):
    if FLAGS.replay:
        return 1 if replay(FLAGS.replay) else 0
    found = []
    for name in FLAGS.scope or scopes.SCOPES:
        with guards.off(FLAGS.guard):
            found.append(explore(name))
    return 1 if any(found) else 0


if __name__ == '__main__':
    define()
    sys.exit(absl.app.run(main))
