"""Steps of proxy_lookup.feature: which proxies a directory names to clients of open traffic."""

import json
import random

import behave

import features.support.lookup_directory as lookup_directory
import zinctrail.errors as errors

LARGE = 'r0'
ORDERS = 50
RESPONSES = 100


@behave.given('a directory with three regions of three proxies')
def directory_of_three_regions(context):
    context.directory = lookup_directory.LookupDirectory(lookup_directory.three_regions())


def names_in(text: str) -> list[str]:
    """Return the names in a text; the text 'none' has no names."""
    return [] if text == 'none' else text.split()


@behave.when('proxies {away} leave, and clients in {zone} look up {host}')
def proxies_leave(context, away: str, zone: str, host: str):
    context.directory.leave(names_in(away))
    context.responses = context.directory.lookup_responses(zone, host)


@behave.when('proxies {away} leave, and a client that uses the zinctrail library in {zone} requests {most:d} proxies')
def library_client_requests_proxies(context, away: str, zone: str, most: int):
    context.directory.leave(names_in(away))
    context.responses = [
        [
            address.partition(':')[0]
            for address in context.directory.proxy_lookup.find_proxies([], zone, most)['proxies']
        ]
        for _ in range(RESPONSES)
    ]


@behave.then('each response names {near}, and {spares:d} of {regions}')
def responses_name(context, near: str, spares: int, regions: str):
    own = sorted(names_in(near))
    named_regions = set()
    for response in context.responses:
        others = [ingress for ingress in response if ingress not in own]
        assert sorted(ingress for ingress in response if ingress in own) == own, response
        assert len(set(others)) == len(others) == spares, response
        named_regions |= {ingress[:2] for ingress in others}
    # Each region that may provide spare proxies does so in some response.
    assert named_regions == set(names_in(regions)), named_regions


@behave.given('a directory with three regions of {count:d} proxies')
def large_directory(context, count: int):
    proxies = {
        f'r{region}-{number}': lookup_directory.proxy_row(f'r{region}-{number}', f'r{region}/{number % 3}')
        for region in range(3)
        for number in range(count)
    }
    context.directory = lookup_directory.LookupDirectory(proxies)


@behave.when('{count:d} of one region leave, and clients there look up {host}')
def many_leave(context, count: int, host: str):
    names = [name for name in context.directory.replica.get('members') if name.startswith(LARGE)]
    context.directory.leave(names[:count])
    context.responses = context.directory.lookup_responses(f'{LARGE}/0', host)


@behave.then('each response names the {remaining:d} that remain and {spares:d} of other regions')
def responses_name_remaining_and_spares(context, remaining: int, spares: int):
    for response in context.responses:
        own = [ingress for ingress in response if ingress.startswith(LARGE)]
        assert (len(own), len(response) - len(own)) == (remaining, spares), response


@behave.given('a directory that knows no proxy yet')
def empty_directory(context):
    context.proxies = lookup_directory.three_regions()


@behave.when('the proxies of three regions become known one after another, in 50 orders')
def proxies_become_known(context):
    rng = random.Random(1)
    # (proxies that were known, the ingresses of a response).
    context.responses = []
    for _ in range(ORDERS):
        directory = lookup_directory.LookupDirectory({})
        known: list[str] = []
        for name in rng.sample(sorted(context.proxies), len(context.proxies)):
            directory.commit(rows=[['members', name, context.proxies[name]]])
            known.append(name)
            for zone in ('r0/a', 'r0/b', 'r1/a', 'r1/b'):
                context.responses += [
                    (list(known), response) for response in directory.lookup_responses(zone, 'h01', 3)
                ]


@behave.then('no response for h01 in r0 or r1 names r2 once any of r0 or r1 is known')
def no_client_is_misdirected(context):
    checked = [response for known, response in context.responses if any(name[:2] in ('r0', 'r1') for name in known)]
    misdirected = [response for response in checked if any(ingress.startswith('r2') for ingress in response)]
    assert len(checked) > 1000 and not misdirected, misdirected[:3]


@behave.then('a lookup with {body} is refused with 400')
def lookup_is_refused(context, body: str):
    try:
        context.directory.proxy_lookup.serve(json.loads(body), lambda result: None)
    except errors.BadRequestError as refusal:
        assert refusal.to_result()['status'] == 400
        return
    raise AssertionError('not refused')
