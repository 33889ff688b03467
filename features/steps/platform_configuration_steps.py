"""Steps of platform.feature: configuration changes through the adapter, and versions of configuration items."""

import json

import behave

import features.support.platform_calls as platform_calls
import features.support.platform_documents as platform_documents
import features.support.simulated_platform as simulated_platform


def parse_value(text: str):
    """Return the value of a JSON text, or MISSING for `gone`."""
    return platform_documents.MISSING if text == 'gone' else json.loads(text)


@behave.given('a simulated platform')
def platform(context):
    context.platform = simulated_platform.SimulatedPlatform()


@behave.given('a simulated platform with the first configuration')
def configured_platform(context):
    context.platform = simulated_platform.SimulatedPlatform()
    platform_calls.send_configuration(context, platform_documents.first_configuration())
    assert context.response.status == 200, context.response
    context.first = context.sent


@behave.when('the first configuration is sent')
def first_configuration_sent(context):
    platform_calls.send_configuration(context, platform_documents.first_configuration())


@behave.then('the response status is {status:d}')
def response_status_is(context, status: int):
    assert context.response.status == status, context.response


def assert_reads_back(context, document):
    """Assert that the configuration read back is the one that a change has set."""
    configuration = platform_calls.read_configuration(context.platform)
    assert configuration == platform_documents.by_name(document['upserts']), configuration


@behave.then('the configuration read back is what was sent')
def configuration_is_as_sent(context):
    assert_reads_back(context, context.sent)


@behave.then('the configuration read back is what was sent first')
def configuration_is_as_first_sent(context):
    assert_reads_back(context, context.first)


@behave.when('the first configuration is sent under higher versions with {path} set to {value}')
def one_field_changed(context, path: str, value: str):
    document = platform_documents.with_higher_versions(platform_documents.first_configuration())
    platform_calls.send_configuration(context, platform_documents.with_value(document, path, parse_value(value)))


@behave.then('the configuration in force is {result}')
def configuration_in_force_is(context, result: str):
    if result == 'as before':
        assert context.platform.state() == context.state_before
        assert_reads_back(context, context.first)
        # A refused change must not block the next valid one.
        document = platform_documents.with_higher_versions(platform_documents.first_configuration(), 50)
        platform_calls.send_configuration(context, document)
        assert context.response.status == 200, context.response
    assert_reads_back(context, context.sent)


# -- versions of items ---------------------------------------------------------------


def route_change(verb: str, version: int, name: str = 'r1'):
    """Return a change that sets or removes one route at a version."""
    if verb == 'set':
        row = platform_documents.route(name, version, timeout_ms=1000 + version)
        return {'upserts': {'route_list': [row]}, 'removals': {}}
    return {'upserts': {}, 'removals': {'route_list': [{'name': name, 'version_number': version}]}}


@behave.when('these route changes are sent: {calls}')
def route_changes_sent(context, calls: str):
    context.responses = []
    for number, words in enumerate(calls.split(', ')):
        verb, version = words.split()
        # Each change goes to the next control node, because operators may call any of them.
        node = platform_calls.control_node(context.platform, number)
        change = route_change(verb, int(version))
        context.responses.append(context.platform.call('PATCH', '/v1/configuration', change, node=node))


@behave.then('their response statuses are, in order: {statuses}')
def response_statuses_are(context, statuses: str):
    wanted = [int(status) for status in statuses.split(', ')]
    assert platform_calls.statuses(context.responses) == wanted, context.responses


@behave.then(
    'the refusal names {name} of {list_name} at version {version:d}, with version {in_force:d} in force, and has no Retry-After'
)
def refusal_names_item(context, name: str, list_name: str, version: int, in_force: int):
    (response,) = context.responses
    conflict = {'list': list_name, 'name': name, 'version_number': version, 'standing_version_number': in_force}
    assert response.status == 409 and response.document['conflicts'] == [conflict], response
    assert 'retry-after' not in {header.lower() for header in response.headers}, response


@behave.then('the version of r1 in force is {version}')
def route_version_in_force_is(context, version: str):
    routes = platform_calls.read_configuration(context.platform)['route_list']
    rows = [row for row in routes if row['name'] == 'r1']
    if version == 'none':
        assert rows == [], rows
        return
    if version == '7':
        wanted = platform_documents.first_configuration()['upserts']['route_list'][0]
    else:
        wanted = route_change('set', int(version))['upserts']['route_list'][0]
    assert rows == [wanted], rows


@behave.when('{name} is {verb} at version {version:d}')
def route_changed_at_version(context, name: str, verb: str, version: int):
    change = route_change({'set': 'set', 'dropped': 'drop'}[verb], version, name)
    context.response = context.platform.call('PATCH', '/v1/configuration', change)


# -- changes of several items --------------------------------------------------------


@behave.when('a call sets r1 at 9, drops r2 at 9, and sets a route to an unknown service')
def partly_invalid_change_sent(context):
    routes = [
        platform_documents.route('r1', 9),
        platform_documents.route('r9', 9, service_name='nobody'),
    ]
    removals = {'route_list': [{'name': 'r2', 'version_number': 9}]}
    platform_calls.send_configuration(context, {'upserts': {'route_list': routes}, 'removals': removals})


@behave.when('a call sets service sd and a route to it')
def service_with_route_sent(context):
    upserts = {
        'route_list': [platform_documents.route('r5', 1, service_name='sd')],
        'service_list': [platform_documents.service('sd', 1)],
    }
    platform_calls.send_configuration(context, {'upserts': upserts})


def send_routes(context, routes):
    """Send a change that only sets routes."""
    platform_calls.send_configuration(context, {'upserts': {'route_list': routes}, 'removals': {}})


@behave.when('a call sets another route to sd alone')
def route_alone_sent(context):
    send_routes(context, [platform_documents.route('r6', 1, service_name='sd')])


@behave.when('a call sets {count:d} more routes')
def many_routes_sent(context, count: int):
    send_routes(context, [platform_documents.route(f'm{index}', 3) for index in range(count)])


@behave.then('all of them are read back')
def all_routes_are_read_back(context):
    routes = context.sent['upserts']['route_list'] + context.first['upserts']['route_list']
    read_back = platform_calls.read_configuration(context.platform)['route_list']
    assert {row['name']: row for row in read_back} == {row['name']: row for row in routes}
