"""Steps of platform_chain.feature: operators use zinctrailctl on a real deployment."""

import json
import os
import typing

import behave

import features.support.command_line as command_line
import features.support.deployment_client as deployment_client

RULE = 'by-hand'
NO_ITEM_TAKEN = (0, 'took 0: all of it is there, or overtaken\n')
WRONG_ARGUMENTS = (
    ('items',),
    ('items', 'nonsense'),
    ('items', 'drop', 'rules', 'x'),
    ('items', 'drop', 'x', 'y', '1'),
    ('items', 'drop', 'rules', 'y', 'one'),
    ('items', 'apply'),
    ('empty',),
)


def run_command(*arguments: str, stdin: str | None = None) -> command_line.CommandResult:
    """Run zinctrailctl with the addresses of all control nodes."""
    addresses = [process.internal for process in deployment_client.running().cores]
    return command_line.run(addresses, *arguments, stdin=stdin)


def rule_items(version: int, **more) -> dict[str, typing.Any]:
    """Return an items document that sets one rule."""
    rule = {
        'name': RULE,
        'version': version,
        'host': deployment_client.HOST,
        'prefix': f'/{RULE}/',
        'once': True,
        'timeout_ms': 9000,
        'pool': 'sa',
        **more,
    }
    return {'set': {'rules': [rule]}}


def items_file() -> str:
    """Return the name of the items file that the operator applies."""
    return os.path.join(deployment_client.running().folder, 'items.json')


@behave.when('an operator applies items from a file by zinctrailctl')
def items_applied(context):
    with open(items_file(), 'w') as output:
        json.dump(rule_items(7), output)
    assert run_command('items', 'apply', items_file())[:2] == (0, 'took 1\n')


@behave.then('the items are in the table of versions and in the items that zinctrailctl gets')
def items_are_shown(context):
    versions = run_command('items', 'versions')
    assert versions.code == 0, versions
    assert ['rules', RULE, '7'] in [line.split() for line in versions.output.splitlines()], versions
    items = run_command('items', 'get')
    assert items.code == 0 and rule_items(7)['set']['rules'][0] in json.loads(items.output)['rules'], items


@behave.then("the platform's operator reads them under the platform's names")
def items_are_read_by_platform(context):
    deployment = deployment_client.running()
    rows = deployment.call_control('GET', '/v1/configuration').document['route_list']
    wanted = {
        'name': RULE,
        'version_number': 7,
        'host_name': deployment_client.HOST,
        'path_prefix': f'/{RULE}/',
        'timeout_ms': 9000,
        'kind': 'non_idempotent',
        'service_name': 'sa',
    }
    assert wanted in rows, rows
    ingress = deployment.edges[0].ingress
    deployment.wait_until(
        lambda: deployment_client.send_request(ingress, RULE).status == 200, 'the route to be in force'
    )


@behave.when('the file is applied again, and then an older version of it')
def old_items_applied(context):
    context.results = [
        run_command('items', 'apply', items_file()),
        run_command('items', 'apply', '-', stdin=json.dumps(rule_items(3))),
    ]


@behave.then('zinctrailctl reports that it took no item')
def no_item_was_taken(context):
    assert [result[:2] for result in context.results] == [NO_ITEM_TAKEN] * 2, context.results


def apply_invalid_items(context, items: dict[str, typing.Any]):
    """Apply items that are refused; store the items of before in the context."""
    context.items_before = run_command('items', 'get')
    context.result = run_command('items', 'apply', '-', stdin=json.dumps(items))


@behave.when('a file with different content under the same version is applied')
def conflicting_items_applied(context):
    apply_invalid_items(context, rule_items(7, timeout_ms=8999))


@behave.then('zinctrailctl exits with 3 and names the item, and the items are unchanged')
def conflict_is_reported(context):
    result = context.result
    assert result.code == 3 and 'rules/by-hand: version 7 is held by another content' in result.errors, result
    assert run_command('items', 'get') == context.items_before


@behave.when('a file with three errors is applied')
def invalid_items_applied(context):
    apply_invalid_items(context, rule_items(9, pool='nobody', timeout_ms=0, home='x'))


@behave.then('zinctrailctl exits with 1 and reports each error with its path, and the items are unchanged')
def errors_are_reported(context):
    result = context.result
    paths = [f'$.set.rules[0].{field}: ' for field in ('pool', 'timeout_ms', 'home')]
    assert result.code == 1 and all(path in result.errors for path in paths), result
    assert run_command('items', 'get') == context.items_before


@behave.when('the item is dropped by zinctrailctl')
def item_dropped(context):
    assert run_command('items', 'drop', 'rules', RULE, '8')[:2] == (0, 'took 1\n')


@behave.then('the item is removed from both')
def item_is_removed(context):
    assert RULE not in run_command('items', 'versions').output
    response = deployment_client.running().call_control('GET', '/v1/configuration')
    deployment_client.assert_configuration_in_force(response)


@behave.when('an operator by zinctrailctl empties the zone {zone}')
def zone_evacuated(context, zone: str):
    result = run_command('empty', zone)
    assert result[:2] == (0, f'{zone} emptied\n'), result


@behave.when('an operator by zinctrailctl refills the zone {zone}')
def zone_refilled(context, zone: str):
    result = run_command('refill', zone)
    assert result[:2] == (0, f'{zone} refilled\n'), result


@behave.then('requests in that zone are refused before execution, and zinctrailctl status shows the evacuation')
def evacuated_zone_refuses(context):
    deployment = deployment_client.running()
    ingress = deployment.edges[0].ingress

    def refusal():
        response = deployment_client.send_request(ingress)
        return response if response.status == 503 else None

    response = deployment.wait_until(refusal, 'a refusal')
    assert 'retry-after' in response.headers, response
    assert not deployment_client.executions(response.attempt_id), response
    assert ['north/z1', 'YES'] in [line.split() for line in run_command('status').output.splitlines()]


@behave.then('wrong arguments of the items command exit with 2')
def wrong_arguments_are_refused(context):
    for arguments in WRONG_ARGUMENTS:
        assert run_command(*arguments).code == 2, arguments
