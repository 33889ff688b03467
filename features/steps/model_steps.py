"""Steps of the features that explore the consensus in every order (model*.feature)."""

import dataclasses
import functools
import json
import typing

import behave

import zinctrail.consensus.voter as voter
import zinctrail.model.attributes as attributes
import zinctrail.model.digest as digest
import zinctrail.model.explorer as explorer
import zinctrail.model.guards as guards
import zinctrail.model.roles as roles
import zinctrail.model.scopes as scopes
import zinctrail.model.steps as steps
import zinctrail.runtime.durations as durations

MISSING_ATTRIBUTE = 'no_such_attribute'


# -- exploring a scope ------------------------------------------------------------


@behave.when('the model explores the scope "{name}"')
def explore_scope(context, name: str):
    context.report = explorer.Explorer(scopes.SCOPES[name]).run()
    print(context.report.text())


@behave.then('no invariant breaks in the model')
def no_invariant_breaks(context):
    finding = context.report.finding
    assert finding is None, finding.page(context.report.scope)


@behave.then('the model saw at least {states:d} distinct states and "{reached}" in some')
def enough_states_seen(context, states: int, reached: str):
    report = context.report
    assert report.states >= states and report.reached[reached], report.text()


# -- guards switched off ------------------------------------------------------------


@behave.when('the model looks for "{invariant}" with the guard "{name}" off')
def explore_without_guard(context, invariant: str, name: str):
    context.guard = name
    context.scope = guards.GUARDS[name].scope
    with guards.switched_off(name):
        context.report = explorer.Explorer(scopes.SCOPES[context.scope], only=invariant).run()
    print(context.report.text())


@behave.then('the model finds that "{invariant}" breaks within {count:d} steps')
def invariant_breaks(context, invariant: str, count: int):
    finding = context.report.finding
    assert finding is not None, context.report.text()
    assert finding.invariant == invariant and len(finding.steps) <= count, finding.page(context.scope)


@behave.then("the model's trace, written as JSON and read again, breaks the same")
def replay_without_guard(context):
    finding = context.report.finding
    context.document = json.loads(json.dumps(finding.document(context.scope, context.guard)))
    with guards.switched_off(context.guard):
        replayed = explorer.replay(context.document)
    assert replayed is not None and replayed.invariant == finding.invariant, replayed


@behave.then("the model's trace breaks nothing with the guard on")
def replay_with_guard(context):
    try:
        replayed = explorer.replay(context.document)
    except steps.StepNotEnabledError:
        # With the guard on, a step of the trace can not be taken at all.
        replayed = None
    assert replayed is None, replayed.page(context.scope)


@behave.when('a guard of the model replaces an attribute that the product does not have')
def define_guard_of_missing_attribute(context):
    context.refusal = refusal_of(lambda: guards.Patch(voter.Voter, MISSING_ATTRIBUTE, None))


@behave.when('the digests of the model leave out an attribute that the product does not have')
def leave_out_missing_attribute(context):
    context.refusal = refusal_of(lambda: attributes.require_assigned(voter.Voter, [MISSING_ATTRIBUTE]))


@behave.when('a guard of the model replaces a function by one with other parameters')
def define_guard_with_other_parameters(context):
    context.refusal = refusal_of(lambda: guards.Patch(voter.Voter, 'raise_term', lambda: None))


@behave.then('the model refuses it, and names "{attribute}"')
def refused_by_name(context, attribute: str):
    assert context.refusal is not None and context.refusal.attribute == attribute, context.refusal
    assert f'Voter.{attribute}: ' in str(context.refusal), context.refusal


def refusal_of(define):
    """The UnknownAttributeError that a definition raises; None if it raises none."""
    try:
        define()
    except attributes.UnknownAttributeError as refusal:
        return refusal
    return None


# -- single frames ------------------------------------------------------------------


@behave.given('a leader of the model\'s "{name}"')
def start_with_leader(context, name: str):
    context.explorer = explorer.Explorer(scopes.SCOPES[name])
    state = context.explorer.start()
    context.leader = max(state.nodes, key=lambda node: (node.view.mode == 'leader', node.view.term))


@behave.when('it gets a refusal that names its own term and nothing accepted')
def deliver_refusal_of_own_term(context):
    view = context.leader.view
    source = 2 if context.leader.index != 2 else 1
    frame = {
        't': 'pub_re',
        'v': 2,
        'c': roles.CLUSTER,
        'f': roles.name_of(source),
        'a': roles.address_of(source),
        'term': view.term,
        'at': [view.term - 1, view.accepted[1]],
        'ok': False,
    }
    context.result = context.explorer.nodes.feed(context.leader, 'recv', (json.dumps(frame),))


@behave.then('it leads on, and believes no less of the member that refused')
def leads_on(context):
    assert context.result.state.view.mode == 'leader'
    assert not context.result.sent, [frame.text for frame in context.result.sent]


# -- digests ------------------------------------------------------------------------


@dataclasses.dataclass(slots=True)
class Reading:
    """A value with one field, as a dataclass."""

    number: int


class NamedReading(typing.NamedTuple):
    """The same as a named tuple."""

    number: int


def closure_over(number: int) -> typing.Callable[[], int]:
    """A function that holds a number."""
    return lambda: number


# {kind: what makes a value of it that holds a number}
MAKERS: dict[str, typing.Callable[[int], typing.Any]] = {
    'named tuple': NamedReading,
    'dataclass': Reading,
    'partial function': lambda number: functools.partial(closure_over, number),
    'closure': closure_over,
}


@behave.when('two values differ in one field alone, of the kind "{kind}"')
def make_differing_values(context, kind: str):
    context.values = [MAKERS[kind](number) for number in (1, 2)]
    context.equal_values = [MAKERS[kind](number) for number in (1, 1)]


@behave.then('the model has different digests of them')
def digests_differ(context):
    first, second = (digest.CanonicalText(durations.ZERO).of(value) for value in context.values)
    assert first != second, first
    same, again = (digest.CanonicalText(durations.ZERO).of(value) for value in context.equal_values)
    assert same == again == first, (same, again, first)
