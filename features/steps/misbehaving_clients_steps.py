"""Steps of misbehaving_clients.feature: crowds at real processes with lowered limits."""

import behave

import features.support.deployment as deployment
import features.support.http_calls as http_calls
import features.support.misbehaving_clients.crowds as crowds
import features.support.misbehaving_clients.site as sites

LARGEST_BYTES = 64 << 20
KEY = 'a'


def running_site() -> sites.Site:
    """Return the site of this feature, started by its first scenario."""
    if not deployment.RUNNING:
        sites.Site().start()
    site = deployment.RUNNING[-1]
    assert isinstance(site, sites.Site)
    return site


@behave.given('a process with the listener {listener} and {memory_mb:d} MB')
def process_with_memory(context, listener: str, memory_mb: int):
    context.site = running_site()
    context.site.begin(listener, memory_mb=memory_mb)


@behave.given('a process with {count:d} descriptors and the listener {listener}')
def process_with_more_descriptors(context, count: int, listener: str):
    context.site = running_site()
    context.site.begin(listener, file_descriptors=count)


@behave.given('a process with the listener {listener} and {count:d} descriptors, and a watch that stays')
def process_with_descriptors(context, listener: str, count: int):
    context.site = running_site()
    context.site.begin(listener, file_descriptors=count)
    context.site.put_key(f'{crowds.GROUP}.{KEY}')
    context.first_watch = crowds.first_watch(context.site)
    context.site.settle()
    assert not context.first_watch.has_answer_or_end()


@behave.given('a process with the listener {listener}')
def process_with_listener(context, listener: str):
    context.site = running_site()
    context.site.begin(listener)


@behave.when('a crowd comes with {crowd}')
def crowd_comes(context, crowd: str):
    crowds.ALL[crowd](context.site)


@behave.then('an ordinary request is answered, and the process has kept within its limits')
def ordinary_request_is_answered(context):
    context.site.wait_for_ordinary_answer()
    context.site.check_usage()


@behave.then('an ordinary request is answered while the first one waits, and the process has kept within its limits')
def ordinary_request_is_answered_beside_watches(context):
    context.site.wait_for_ordinary_answer()
    assert not context.first_watch.has_answer_or_end(), 'a call was served only after the first watch had ended'
    context.site.check_usage()


@behave.then('an ordinary request is answered before any of the crowd, and the process has kept within its limits')
def ordinary_request_is_answered_first(context):
    context.site.wait_for_ordinary_answer()
    first = context.site.crowd.connections[0]
    assert not first.has_answer_or_end(), 'a request was served only after the first of the crowd had ended'
    context.site.check_usage()


@behave.then('a watch is let in while the first one still waits, and the process has kept within its limits')
def watch_is_let_in(context):
    path = crowds.watch_path(context.site, wait_ms=100)
    context.site.wait_for_success(lambda: context.site.request(path))
    assert not context.first_watch.has_answer_or_end(), 'a watch was let in only after the first one had ended'
    context.site.check_usage()


@behave.when('a client asks for an answer of 64 MiB')
def client_asks_for_largest_answer(context):
    path = f'/{sites.LONG_ROUTE}/answer/{LARGEST_BYTES}'
    context.response = context.site.wait_for_success(lambda: context.site.request(path))


@behave.when('a client sends a request of 64 MiB and asks for an answer of 64 MiB')
def client_sends_and_asks_for_largest(context):
    path = f'/{sites.LONG_ROUTE}/answer/{LARGEST_BYTES}'
    context.response = context.site.wait_for_success(lambda: context.site.request(path, 'POST', b'b' * LARGEST_BYTES))


@behave.then('it gets the whole answer, and the process has kept within its limits')
def client_gets_whole_answer(context):
    assert len(context.response.body) == LARGEST_BYTES, len(context.response.body)
    assert context.response.body.count(b'z') == LARGEST_BYTES
    context.site.check_usage()


@behave.when('a client sends a request of 64 MiB')
def client_sends_largest_request(context):
    body = b'b' * LARGEST_BYTES

    def send() -> http_calls.Response:
        return context.site.request(f'/{sites.LONG_ROUTE}/x', 'POST', body)

    context.response = context.site.wait_for_success(send)


@behave.then('the endpoint gets the whole request, and the process has kept within its limits')
def endpoint_gets_whole_request(context):
    assert context.response.document['got'] == LARGEST_BYTES, context.response
    context.site.check_usage()
