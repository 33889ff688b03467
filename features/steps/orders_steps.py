"""Steps of orders.feature: changes of configuration items that are retried, late or in conflict."""

import json

import behave

import features.support.item_store as item_store
import features.support.open_core as open_core
import zinctrail.control.version_contents as version_contents
import zinctrail.runtime.durations as durations
import zinctrail.simulation.orders.run as orders_run

ms = durations.ms


def held_versions(result):
    """Return the versions with which a refused change conflicts, as NAME:VERSION; `nothing` if there are none."""
    rows = result.get('held', ())
    return ', '.join(f'{row["name"] or row["part"]}:{row["version"]}' for row in rows) or 'nothing'


@behave.given('a store of items whose first change sets p:1 and r1:3=a>p')
def store_with_first_change(context):
    context.store = item_store.ItemStore()
    context.store.apply_event('p:1 + r1:3=a>p')


@behave.when('the changes {changes} are made')
def changes_are_made(context, changes: str):
    for text in changes.split(', '):
        context.store.apply_event(text)


@behave.when('the change {text} is requested')
def change_is_requested(context, text: str):
    context.before = context.store.replica.full_state()
    context.result = context.store.change(text)


@behave.then('it gets {status:d}, and r1 is {rule}, also when read back')
def rule_has_version_and_content(context, status: int, rule: str):
    assert context.result['status'] == status, context.result
    item = context.store.item('rules/r1')
    read = [row for row in context.store.read()['rules'] if row['name'] == 'r1']
    expected = item_store.parse_change(f'r1:{rule}')
    assert read == expected['set']['rules'], read
    assert item['v'] == (read or expected['drop']['rules'])[0]['version'], item


@behave.then('a refusal names {names}, and no part of the change was applied')
def refusal_names_items(context, names: str):
    assert held_versions(context.result) == names, context.result
    if context.result['status'] != 200:
        assert context.store.replica.full_state() == context.before


@behave.then('the changes {changes} are each acknowledged and change nothing')
def changes_are_repeated_without_effect(context, changes: str):
    before = context.store.replica.get('items')
    for text in changes.split(', '):
        result = context.store.change(text)
        assert result['status'] == 200 and not result['took'], (text, result)
    assert context.store.replica.get('items') == before


@behave.then('the changes {changes} are each refused with 409')
def changes_are_refused(context, changes: str):
    before = context.store.replica.full_state()
    for text in changes.split(', '):
        result = context.store.change(text)
        assert result['status'] == 409, (text, result)
    assert context.store.replica.full_state() == before


@behave.given('room for {most:d} digests')
def digests_are_limited(context, most: int):
    context.add_cleanup(setattr, version_contents, 'MAX_DIGESTS', version_contents.MAX_DIGESTS)
    version_contents.MAX_DIGESTS = most


@behave.when('the changes {changes} are made, with room for {most:d} digests')
def changes_are_made_with_few_digests(context, changes: str, most: int):
    context.execute_steps(f'Given room for {most} digests')
    for text in changes.split(', '):
        context.store.apply_event(text)


@behave.when('an epoch later r1 is changed to 6, 7 and 8, and another epoch passes')
def epochs_pass_between_changes(context):
    context.store.begin_epoch()
    for version in (6, 7, 8):
        context.store.apply_event(f'r1:{version}=a>p')
    context.store.begin_epoch()


@behave.then('{count:d} digests are retained, those of 6 and 7')
def digests_are_retained(context, count: int):
    retained = sorted(
        key for key in context.store.replica.get(version_contents.TABLE) if key != version_contents.COMPLETE
    )
    assert retained == ['6/rules/r1', '7/rules/r1'] and len(retained) == count, retained


@behave.then('contents of a rule with x of {one} and of {other} are {expected}')
def contents_are_the_same(context, one: str, other: str, expected: str):
    rows = [{'name': 'r', 'x': json.loads(text)} for text in (one, other)]
    assert len({version_contents.digest(row) for row in rows}) == (1 if expected == 'one' else 2), rows
    assert version_contents.is_same(*rows) == (expected == 'one'), rows


# -- in a simulated deployment ---------------------------------------------------


@behave.given('a small core of open traffic')
def small_core_of_open_traffic(context):
    open_core.start(context)


def change_rule(context, name):
    """Apply a new version of a rule with the same content."""
    statuses = []
    row = dict(context.deployment.rules[name], version=context.deployment.next_version())
    context.deployment.set_rules([row], callback=statuses.append)
    open_core.run_until(context, lambda: bool(statuses))
    assert statuses == [200], statuses


@behave.when('r-search is changed three times')
def rule_is_changed_three_times(context):
    for _ in range(3):
        change_rule(context, 'r-search')
    context.world.run(ms(2000))


@behave.then('every voter holds digests, every proxy holds none, and a read-back shows none')
def only_voters_hold_digests(context):
    tables = {node.name: node.machine.replica.get(version_contents.TABLE) for node in context.world.nodes.values()}
    digests = {row[0] for row in tables['core0'].values() if isinstance(row, list)}
    assert len(digests) == 3, digests
    assert all(bool(rows) == name.startswith('core') for name, rows in tables.items()), tables
    documents = []
    context.deployment.operator.read(documents.append)
    open_core.run_until(context, lambda: bool(documents))
    assert documents[0]['items']['rules'], documents
    assert not any(digest in json.dumps(documents) for digest in digests), documents


@behave.given('concurrent operators while control nodes fail, seed {seed:d}')
def concurrent_operators_under_failures(context, seed: int):
    context.run = orders_run.Run(seed).run()


@behave.then(
    'no version was acknowledged with two contents, no accepted change was refused, and all of them are read back'
)
def run_has_no_violations(context):
    assert context.run.violations == [], context.run.violations


@behave.then('there were refusals by 409, and {most:d} or more concurrent changes')
def run_has_refusals_and_overlap(context, most: int):
    statuses = [response.status for order in context.run.commands for response in order.responses]
    assert 409 in statuses and 200 in statuses, statuses
    assert context.run.max_in_progress >= most, context.run.max_in_progress


@behave.then('digests were discarded, and the only violations are that superseded versions could be used again')
def run_violates_only_discarded_digests(context):
    leader = context.run.world.leader().machine
    assert leader.replica.get(version_contents.TABLE, version_contents.COMPLETE) is False
    expected = ('contents were acknowledged', 'was refused for its version, and acknowledged')
    others = [text for text in context.run.violations if not text.endswith(expected)]
    assert not others, others
