"""Steps of ops.feature: requests that a proxy samples, logs and counts in its metrics."""

import random

import behave
import prometheus_client.exposition as exposition

import features.support.metrics_text as metrics_text
import features.support.open_traffic_proxy as open_traffic_proxy
import zinctrail.runtime.effects as effects
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.transport.metrics_page as metrics_page


@behave.given('a proxy that samples a share of {share:g} of all requests')
def proxy_that_samples_requests(context, share: float):
    context.proxy = open_traffic_proxy.OpenTrafficProxy(2, rule={'attempts': 1})
    context.proxy.machine.request_sampler = request_sampling.RequestSampler(share)


def request_lines(context):
    """Return the log records of requests."""
    records = [effect for effect in context.proxy.effects if isinstance(effect, effects.Log)]
    return [record for record in records if record.fields.get('event') == 'request']


@behave.when('a request is forwarded and gets a response after {delay_ms:d} ms')
def request_gets_response_after(context, delay_ms: int):
    context.proxy.request()
    fetch = context.proxy.fetches()[-1]
    context.proxy.run(delay_ms)
    context.proxy.reply(fetch)


@behave.when('a request is forwarded and gets no response in time')
def request_gets_no_response(context):
    context.proxy.request(left=2000)
    context.proxy.run(2000)


@behave.when('{count:d} requests are forwarded and get no response in time')
def requests_get_no_response(context, count: int):
    proxy = context.proxy
    for incarnation in ('e0', 'e1'):
        row = proxy.machine.replica.get('endpoints', incarnation)
        proxy.put_rows([['endpoints', incarnation, dict(row, slots=100)]])
    for _ in range(count):
        proxy.request(left=2000)
    assert len(proxy.fetches()) == count
    proxy.run(2000)


@behave.when('a request arrives with no time remaining')
def request_comes_too_late(context):
    context.proxy.request(left=0)


@behave.when('requests end for {count:d} causes')
def requests_end_for_causes(context, count: int):
    context.proxy.request()
    (request,) = context.proxy.machine.runner.requests.values()
    for number in range(count):
        context.proxy.machine.request_metrics.observe_end(request, 404, 'not-run', f'cause {number}: {number}')


@behave.then('at most {most:d} causes are stored, and all {count:d} are counted')
def causes_are_bounded(context, most: int, count: int):
    causes = context.proxy.machine.request_metrics.causes
    assert len(causes) <= most and sum(causes.values()) == count, (len(causes), sum(causes.values()))


@behave.then('no log line has the request')
def no_line_is_logged(context):
    assert request_lines(context) == []


@behave.then(
    'one log line has the request: outcome {outcome}, tries {attempts:d}, {there_ms:d} ms there, {here_ms:d} ms here'
)
def request_line_is_logged(context, outcome: str, attempts: int, there_ms: int, here_ms: int):
    (line,) = request_lines(context)
    fields = line.fields
    expected = {'outcome': outcome, 'tries': attempts, 'there_ms': there_ms, 'here_ms': here_ms}
    assert {name: fields[name] for name in expected} == expected, fields
    assert fields['id'] == 'id1' and fields['id'] in line.text, line
    assert fields['service'] == 's' and fields['inc'] in ('e0', 'e1'), fields


@behave.then('{count:d} log lines have these requests, and {suppressed:d} are counted as suppressed')
def request_lines_are_limited(context, count: int, suppressed: int):
    assert len(request_lines(context)) == count, len(request_lines(context))
    sampler = context.proxy.machine.request_sampler
    assert sampler.suppressed == suppressed, sampler.suppressed


@behave.then(
    'of {count:d} ids two samplers with a share of {share:g} pick the same ones, between {least:d} and {most:d}'
)
def samplers_agree(context, count: int, share: float, least: int, most: int):
    rng = random.Random(1)
    first, second = request_sampling.RequestSampler(share), request_sampling.RequestSampler(share)
    ids = [f'{rng.getrandbits(64):x}' for _ in range(count)]
    sampled = [request_id for request_id in ids if first.is_sampled(request_id)]
    assert sampled == [request_id for request_id in ids if second.is_sampled(request_id)]
    assert least <= len(sampled) <= most, len(sampled)


def scrape(rows):
    """Return the values of metric rows, after writing and parsing them in the text format."""
    text = exposition.generate_latest(metrics_page.RowCollector(rows)).decode()
    return metrics_text.parse(text)


@behave.then('the metrics of the proxy are')
def proxy_has_metrics(context):
    values = scrape(context.proxy.machine.measures())
    for row in context.table:
        name = row['name']
        assert name in values and abs(values[name] - float(row['value'])) < 1e-6, (name, values)
