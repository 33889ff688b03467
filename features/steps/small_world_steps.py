"""Steps that several features share: the small world with traffic, and the share of its requests that fail."""

import behave

import features.support.small_world as small_world


@behave.given('a small world with traffic')
def small_world_with_traffic(context):
    small_world.start(context)


@behave.then('no more than {percent:d} percent of requests fail')
def few_requests_fail(context, percent: int):
    small_world.assert_failures(context, percent)
