"""Steps of doubts.feature: which endpoints are suspected, checked and ejected."""

import types

import behave
import twisted.internet.defer as defer
import twisted.internet.task as task

import features.support.leading_control_node as leading_control_node
import zinctrail.control.outlier_detection as outlier_detection
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.transport.dialect as dialect
import zinctrail.transport.endpoint_client as endpoint_client
import zinctrail.transport.host as host

ms = durations.ms
PROXY_LEVEL = 2
ROW = {
    'addr': '10.0.9.1:80',
    'service': 's',
    'cell': 'r0/c0',
    'labels': {},
    'slots': 4,
    'state': 'ready',
    'cold': 0,
    'plain': True,
    'chill': False,
}
LEADER = {'id': 'a', 'addr': '10.0.0.1:1', 'http': ''}


def endpoint_row(index: int) -> dict:
    """Return the row of an endpoint with an address of its own."""
    return dict(ROW, addr=f'10.0.9.{index}:80')


def put_endpoints(leader, rows: dict[str, dict]):
    """Commit rows of endpoints."""

    def put(transaction):
        for incarnation, row in rows.items():
            transaction.put('endpoints', incarnation, row)
        return {'status': 200}

    leader.machine.submit(put, lambda result: None)
    leader.run_with_proxies(500)


def frame_of_proxy(leader, number: int, kind: str, **fields) -> dict:
    """Return a frame of a proxy to the leader."""
    envelope = {
        't': kind,
        'v': PROXY_LEVEL,
        'c': leader.machine.cluster,
        'f': f'p{number}',
        'a': leading_control_node.proxy_address(number),
    }
    return {**envelope, **fields}


# -- an endpoint that one proxy suspects ------------------------------------------------


@behave.given('a leader with an endpoint whose last heartbeat was {age_ms:d} ms ago')
def leader_with_endpoint(context, age_ms: int):
    leader = context.leader = leading_control_node.LeadingControlNode(1)
    leader.run_with_proxies(1000)
    put_endpoints(leader, {'e1': dict(ROW)})
    assert leader.machine.replica.get('endpoints', 'e1')
    leader.machine.endpoint_registry.last_heartbeats['e1'] = leader.now - ms(age_ms)


def probe_result(finds: str) -> effects.HttpResult:
    """Return the result of a health check, by its description in the scenario."""
    if 'answered' in finds:
        incarnation = {'itself': 'e1', 'another': 'e2'}.get(finds.rsplit(' by ')[1], '')
        return effects.HttpResult(int(finds.split()[2]), {'zt-inc': incarnation})
    if finds == 'is refused':
        return effects.HttpResult(sent=False, fault='ConnectionRefusedError')
    return effects.HttpResult(sent=True, fault='CancelledError')


@behave.when('a proxy suspects it, and the probe {finds}')
def endpoint_is_suspected(context, finds: str):
    leader = context.leader
    leader.feed('recv', frame_of_proxy(leader, 1, 'suspect', inc='e1'))
    fetch = next(effect for effect in leader.effects if isinstance(effect, effects.HttpFetch))
    leader.feed('fetched', fetch.fetch_id, probe_result(finds))
    # A short time only, because the scenario is about the verdict of this one health check.
    leader.run_with_proxies(200)


@behave.then('the endpoint is {verdict}')
def endpoint_verdict_is(context, verdict: str):
    assert (context.leader.machine.replica.get('endpoints', 'e1') is not None) == (verdict == 'registered')


# -- the responder to a health check ------------------------------------------------------


class OwnHeaderDialect(dialect.NativeDialect):
    """A dialect whose responses to health checks, and only those, name the endpoint in a header of their own."""

    def health_response_in(self, headers):
        """Return a health response's headers, with the endpoint's name in the header that the machine reads."""
        return dict(headers, **{'zt-inc': headers.get('own-name', '')})


@behave.given("a control node's host whose dialect names the responder to a probe in a header of its own")
def host_with_own_header(context):
    context.fed = []
    machine = leading_control_node.LeadingControlNode(0).machine
    context.host = host.Host(machine, task.Clock(), None, OwnHeaderDialect())
    context.host.feed = lambda kind, *arguments: context.fed.append((kind, arguments))


def fetch_by_plain_connection(incarnation, address, method, path, headers, body, timeout, once, is_ours, limit_bytes):
    """Return an endpoint's response to a health check; long ones, and responses to requests, must not be accepted."""
    assert limit_bytes == endpoint_client.HEALTH_LIMIT_BYTES
    assert is_ours({}) and not is_ours({'zt-id': 'of a request'})
    return defer.succeed(effects.HttpResult(503, {'own-name': 'e1'}))


@behave.when('it probes an endpoint over a connection')
def endpoint_is_probed(context):
    context.host.endpoint_client = types.SimpleNamespace(fetch=fetch_by_plain_connection)
    context.host.fetch(
        effects.HttpFetch(1, '10.0.9.1:80', 'e1', 'GET', '/health', {'host': 'x'}, b'', ms(600), plain=True)
    )


@behave.then("the machine gets the responder's name")
def machine_gets_responder(context):
    ((kind, (_, result)),) = context.fed
    assert kind == 'fetched' and result.headers['zt-inc'] == 'e1', result


# -- what many proxies report -----------------------------------------------------------


@behave.given('a service of {count:d} endpoints behind {proxies:d} proxies')
def service_with_endpoints(context, count: int, proxies: int):
    context.now, context.proxies = ms(100000), proxies
    context.endpoints = {f'e{index}': endpoint_row(index) for index in range(count)}
    context.detector = outlier_detection.OutlierDetector()


def evaluate(context):
    """Return the endpoints that the detector ejects now."""
    return context.detector.evaluate(context.now, context.endpoints, context.proxies)


@behave.when('{count:d} proxies report {failed:d} failures and {served:d} successes')
def proxies_report_one(context, count: int, failed: int, served: int):
    for index in range(count):
        # Spread evenly over the proxies, because the scenario is about the sums.
        failures = failed // count + (index < failed % count)
        context.detector.record(context.now, f'p{index}', {'e0': [served // count, failures]})
    evaluate(context)


@behave.when('{count:d} proxies report {failed:d} failures of every endpoint')
def proxies_report_all(context, count: int, failed: int):
    for index in range(count):
        reports = {incarnation: [0, failed // count] for incarnation in context.endpoints}
        context.detector.record(context.now, f'p{index}', reports)
    evaluate(context)


@behave.when('{duration:d} ms pass for the detector')
def time_passes_for_detector(context, duration: int):
    context.now += ms(duration)


@behave.then('{count:d} of its endpoints are ejected')
def endpoints_are_ejected(context, count: int):
    ejected = evaluate(context)
    assert len(ejected) == count, ejected


@behave.given('a leader with 9 proxies and a service of 12 endpoints')
def leader_with_proxies(context):
    context.leader = leading_control_node.LeadingControlNode(9)
    context.leader.run_with_proxies(1000)
    put_endpoints(context.leader, {f'e{index}': endpoint_row(index) for index in range(12)})


@behave.when('two proxies report to it that an endpoint failed 4 times')
def two_proxies_report(context):
    for number in (1, 2):
        context.leader.feed('recv', frame_of_proxy(context.leader, number, 'ill', ends={'e3': [1, 2]}))


@behave.then('the leader ejects that endpoint within {duration:d} ms')
def endpoint_is_ejected(context, duration: int):
    context.leader.run_with_proxies(duration)
    assert set(context.leader.machine.replica.get('doubts')) == {'e3'}


@behave.then('{duration:d} ms later it is no longer ejected')
def endpoint_is_back(context, duration: int):
    context.leader.run_with_proxies(duration)
    assert not context.leader.machine.replica.get('doubts')


# -- a proxy and endpoints that fail ------------------------------------------------------


def reports_to_leader(proxy) -> list[dict]:
    """Return the proxy's reports to the leader: the counts of served and failed requests by endpoint."""
    sent = [effect.frame for effect in proxy.effects if isinstance(effect, effects.Send)]
    return [frame['ends'] for frame in sent if frame['t'] == 'ill']


@behave.when('one of them responds 500 to every request for {seconds:d} s')
def one_endpoint_fails(context, seconds: int):
    proxy = context.proxy
    proxy.machine.leader = dict(LEADER)
    context.tally = {'e0': 0, 'e1': 0}
    for _ in range(20 * seconds):
        proxy.effects = [effect for effect in proxy.effects if isinstance(effect, effects.Send)]
        proxy.request()
        for fetch in proxy.fetches():
            context.tally[fetch.incarnation] += 1
            proxy.reply(fetch, 500 if fetch.incarnation == 'e0' else 200)
        proxy.run(50)


@behave.then('it got less than a fifth of the requests')
def failing_endpoint_got_few(context):
    failing, total = context.tally['e0'], sum(context.tally.values())
    assert 1 < failing < total / 5, context.tally


@behave.then('its failures were reported to the leader')
def failures_are_reported(context):
    reports = reports_to_leader(context.proxy)
    assert reports and all(set(report) == {'e0'} for report in reports), reports
    assert sum(report['e0'][1] for report in reports) == context.tally['e0']


@behave.when('the leader ejects {which}')
def endpoints_ejected_by_leader(context, which: str):
    context.proxy.put_rows([['doubts', f'e{index}', 1] for index in range(2 if which == 'both' else 1)])


@behave.then('the next {count:d} requests, completed at once, go to {where}')
def next_requests_go_to(context, count: int, where: str):
    proxy, sent_to = context.proxy, set()
    for _ in range(count):
        proxy.effects.clear()
        proxy.request()
        (fetch,) = proxy.fetches()
        sent_to.add(fetch.incarnation)
        proxy.reply(fetch)
        proxy.run(5)
    assert sent_to == ({'e1'} if where == 'the other' else {'e0', 'e1'}), sent_to


@behave.when('an endpoint responds to a request with {outcome}')
def endpoint_responds(context, outcome: str):
    proxy = context.proxy
    proxy.machine.leader = dict(LEADER)
    proxy.request(left=200 if 'silence' in outcome else 2000)
    fetch = proxy.fetches()[0]
    if 'silence' in outcome:
        proxy.run(220)
        proxy.reply(fetch, 0, fault='CancelledError')
    elif 'not run' in outcome:
        proxy.reply(fetch, int(outcome.split()[0]), zt_not_run='1')
    else:
        proxy.reply(fetch, int(outcome))
    proxy.run(100)


@behave.then('no failure of it is reported')
def no_failure_is_reported(context):
    assert not reports_to_leader(context.proxy)
