"""Steps of platform.feature: heartbeats of endpoints, evacuated zones, and resolutions of clients."""

import behave

import features.support.platform_calls as platform_calls
import features.support.platform_documents as platform_documents
import zinctrail.runtime.durations as durations

ms = durations.ms
# Within this time a change is in force at all members.
SETTLE = ms(500)
OWN_INGRESS, OTHER_INGRESS = '10.1.0.0:8641', '10.1.0.1:8641'


# -- endpoints ---------------------------------------------------------------------


def send_heartbeat(context, instance: str, sequence: int, **fields):
    """Send a heartbeat to the control node that its sequence number selects."""
    document = platform_documents.heartbeat(sequence=sequence, **fields)
    node = platform_calls.control_node(context.platform, sequence)
    context.response = context.platform.call('PUT', f'/v1/instances/{instance}', document, node=node)


@behave.when('endpoint {instance} sends heartbeat {sequence:d}')
def heartbeat_sent(context, instance: str, sequence: int):
    send_heartbeat(context, instance, sequence)


@behave.when('endpoint {instance} sends draining heartbeat {sequence:d}')
def draining_heartbeat_sent(context, instance: str, sequence: int):
    send_heartbeat(context, instance, sequence, state='draining')


@behave.when('endpoint {instance} sends heartbeat {sequence:d} with {warm_up_ms:d} ms of warm-up remaining')
def warming_up_heartbeat_sent(context, instance: str, sequence: int, warm_up_ms: int):
    send_heartbeat(context, instance, sequence, cold_remaining_ms=warm_up_ms)


@behave.when('endpoint {instance} of {service} sends a heartbeat from the same address')
def heartbeat_of_other_service_sent(context, instance: str, service: str):
    send_heartbeat(context, instance, 1, service_name=service)


@behave.when('endpoint {instance} deregisters')
def endpoint_deregisters(context, instance: str):
    context.response = context.platform.call('DELETE', f'/v1/instances/{instance}')


@behave.then('{instance} is listed as {state}')
def endpoint_is_listed(context, instance: str, state: str):
    context.platform.world.run(SETTLE)
    row = context.platform.endpoints()[instance]
    is_in_state = {
        'ready': row['state'] == 'ready',
        'draining': row['state'] == 'draining',
        'warming up': row['chill'],
        'warm': not row['chill'],
    }
    assert is_in_state[state], row


@behave.then('{instance} is not listed')
def endpoint_is_not_listed(context, instance: str):
    context.platform.world.run(SETTLE)
    assert instance not in context.platform.endpoints()


@behave.then('the response body is no larger than {size:d} bytes')
def response_is_small(context, size: int):
    assert len(context.response.body) <= size


def usable_by_proxies(context, instance: str) -> set[bool]:
    """Return the set of the proxies' decisions whether an endpoint is usable: one element if they agree."""
    context.platform.world.run(SETTLE)
    return {node.machine.routes.is_usable(instance) for node in context.platform.world.of('prox')}


@behave.then('the proxies do not use {instance}')
def endpoint_is_not_usable(context, instance: str):
    assert usable_by_proxies(context, instance) == {False}


@behave.then('the proxies use {instance}')
def endpoint_is_usable(context, instance: str):
    assert usable_by_proxies(context, instance) == {True}


# -- clients -------------------------------------------------------------------------


def resolve(context, zone: str):
    """Return the resolution for a client of a zone."""
    path = f'/v1/resolution?name=hulo.example&region=north&zone={zone}'
    response = context.platform.call('GET', path)
    assert response.status == 200, response
    return response.document


@behave.then(
    'the resolution for a client of {zone} names the ingress of {own} and one other, for {seconds:g} s at most'
)
def resolution_names_ingresses(context, zone: str, own: str, seconds: float):
    resolution = resolve(context, zone)
    assert resolution['addresses'] == [OWN_INGRESS, OTHER_INGRESS], resolution
    assert 0 < resolution['ttl_s'] <= seconds, resolution


@behave.then('the resolution for a client of an unknown zone names ingresses too')
def resolution_for_unknown_zone_names_ingresses(context):
    assert resolve(context, 'nowhere')['addresses']


def assert_readiness(context, status: int):
    """Assert the status that each proxy returns for its readiness."""
    for node in context.platform.world.of('prox'):
        assert context.platform.call('GET', '/v1/readiness', node=node).status == status


@behave.then('readiness is 200 at each proxy, and without control nodes it is 503')
def readiness_follows_control_nodes(context):
    assert_readiness(context, 200)
    for node in context.platform.world.of('core'):
        node.kill()
    context.platform.world.run(ms(4000))
    assert_readiness(context, 503)
