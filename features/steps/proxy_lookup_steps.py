"""Steps of proxy_lookup.feature: which proxies a directory names to clients of open traffic."""

import json
import random

import behave

import features.support.lookup_directory as lookup_directory
import zinctrail.errors as errors

LARGE = 'r0'
ORDERS = 50
ANSWERS = 100


@behave.given('a directory with three regions of three proxies')
def directory_of_three_regions(context):
    context.directory = lookup_directory.LookupDirectory(lookup_directory.three_regions())


def names_in(text: str) -> list[str]:
    """The names in a text; 'none' has none."""
    return [] if text == 'none' else text.split()


@behave.when('proxies {away} leave, and clients in {zone} ask for {host}')
def proxies_leave(context, away: str, zone: str, host: str):
    context.directory.leave(names_in(away))
    context.answers = context.directory.answers(zone, host)


@behave.when("proxies {away} leave, and a library's client in {zone} asks for {most:d} proxies")
def library_client_asks(context, away: str, zone: str, most: int):
    context.directory.leave(names_in(away))
    context.answers = [
        [
            address.partition(':')[0]
            for address in context.directory.proxy_lookup.find_proxies([], zone, most)['proxies']
        ]
        for _ in range(ANSWERS)
    ]


@behave.then('each answer names {near}, and {spares:d} of {regions}')
def answers_name(context, near: str, spares: int, regions: str):
    own = sorted(names_in(near))
    named_regions = set()
    for answer in context.answers:
        others = [front for front in answer if front not in own]
        assert sorted(front for front in answer if front in own) == own, answer
        assert len(set(others)) == len(others) == spares, answer
        named_regions |= {front[:2] for front in others}
    # Each region that may help does so in some answer.
    assert named_regions == set(names_in(regions)), named_regions


@behave.given('a directory with three regions of {count:d} proxies')
def large_directory(context, count: int):
    proxies = {
        f'r{region}-{number}': lookup_directory.proxy_row(f'r{region}-{number}', f'r{region}/{number % 3}')
        for region in range(3)
        for number in range(count)
    }
    context.directory = lookup_directory.LookupDirectory(proxies)


@behave.when('{count:d} of one region leave, and clients there ask for {host}')
def many_leave(context, count: int, host: str):
    names = [name for name in context.directory.replica.get('members') if name.startswith(LARGE)]
    context.directory.leave(names[:count])
    context.answers = context.directory.answers(f'{LARGE}/0', host)


@behave.then('the {left:d} that are left and {spares:d} of other regions are in each answer')
def answers_name_left_and_spares(context, left: int, spares: int):
    for answer in context.answers:
        own = [front for front in answer if front.startswith(LARGE)]
        assert (len(own), len(answer) - len(own)) == (left, spares), answer


@behave.given('a directory that knows no proxy yet')
def empty_directory(context):
    context.proxies = lookup_directory.three_regions()


@behave.when('the proxies of three regions become known one after another, in 50 orders')
def proxies_become_known(context):
    rng = random.Random(1)
    # (proxies that were known, the fronts of an answer).
    context.answers = []
    for _ in range(ORDERS):
        directory = lookup_directory.LookupDirectory({})
        known: list[str] = []
        for name in rng.sample(sorted(context.proxies), len(context.proxies)):
            directory.commit(rows=[['members', name, context.proxies[name]]])
            known.append(name)
            for zone in ('r0/a', 'r0/b', 'r1/a', 'r1/b'):
                context.answers += [(list(known), answer) for answer in directory.answers(zone, 'h01', 3)]


@behave.then('no answer for h01 in r0 or r1 names r2 once any of r0 or r1 is known')
def nobody_is_led_away(context):
    judged = [answer for known, answer in context.answers if any(name[:2] in ('r0', 'r1') for name in known)]
    led_away = [answer for answer in judged if any(front.startswith('r2') for front in answer)]
    assert len(judged) > 1000 and not led_away, led_away[:3]


@behave.then('a lookup with {body} is refused with 400')
def lookup_is_refused(context, body: str):
    try:
        context.directory.proxy_lookup.serve(json.loads(body), lambda result: None)
    except errors.BadRequestError as refusal:
        assert refusal.to_result()['status'] == 400
        return
    raise AssertionError('not refused')
