import json

import behave

import zinctrail.model.explorer as explorer
import zinctrail.model.guards as guards
import zinctrail.model.roles as roles
import zinctrail.model.scopes as scopes


@behave.when('the model explores the scope "{name}"')
def _(context, name):
    context.model_report = explorer.Explorer(scopes.SCOPES[name]).run()
    print(context.model_report.text())


@behave.then('no invariant breaks in the model')
def _(context):
    finding = context.model_report.finding
    assert finding is None, finding.page(context.model_report.scope)


@behave.then('the model saw at least {states:d} distinct states and "{reached}" in some')
def _(context, states, reached):
    report = context.model_report
    assert report.states >= states and report.reached[reached], report.text()


@behave.when('the model looks for "{invariant}" with the guard "{name}" off')
def _(context, invariant, name):
    context.model_guard = name
    context.model_scope = guards.GUARDS[name][0]
    with guards.off(name):
        context.model_report = explorer.Explorer(scopes.SCOPES[context.model_scope], only=invariant).run()
    print(context.model_report.text())


@behave.then('the model finds that "{invariant}" breaks within {steps:d} steps')
def _(context, invariant, steps):
    finding = context.model_report.finding
    assert finding is not None, context.model_report.text()
    assert finding.invariant == invariant and len(finding.steps) <= steps, finding.page(context.model_scope)


@behave.then("the model's trace, written as JSON and read again, breaks the same")
def _(context):
    finding = context.model_report.finding
    context.model_document = json.loads(json.dumps(finding.document(context.model_scope, context.model_guard)))
    with guards.off(context.model_guard):
        again = explorer.replay(context.model_document)
    assert again is not None and again.invariant == finding.invariant, again


@behave.then("the model's trace breaks nothing with the guard on")
def _(context):
    try:
        again = explorer.replay(context.model_document)
    except explorer.NotEnabled:
        # With the guard on, a step of the trace can't be taken at all.
        again = None
    assert again is None, again.page(context.model_scope)


@behave.given('a leader of the model\'s "{name}"')
def _(context, name):
    context.model = explorer.Explorer(scopes.SCOPES[name])
    state = context.model.start()
    context.leader = max(state.nodes, key=lambda node: (node.view.mode == 'leader', node.view.term))


@behave.when('it gets a refusal that names its own term and nothing accepted')
def _(context):
    view = context.leader.view
    source = 2 if context.leader.index != 2 else 1
    frame = {
        't': 'pub_re',
        'v': 2,
        'c': roles.CLUSTER,
        'f': roles.name_of(source),
        'a': roles.addr_of(source),
        'term': view.term,
        'at': [view.term - 1, view.accepted[1]],
        'ok': False,
    }
    context.after = context.model.nodes.feed(context.leader, 'recv', (json.dumps(frame),))


@behave.then('it leads on, and believes no less of the member that refused')
def _(context):
    assert context.after.state.view.mode == 'leader'
    assert not context.after.sent, [frame.text for frame in context.after.sent]
