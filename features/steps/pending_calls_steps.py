"""Steps of pending_calls.feature: callbacks request, cancel and end what is gone through."""

import collections
import types
import unittest.mock

import behave

import features.support.following_proxy as following_proxy
import zinctrail.control.configuration_changes as configuration_changes
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

ms = durations.ms
LONG_WAIT = ms(60000)
SHORT_WAIT = ms(200)


class WaitingOperations:
    """Operations of a proxy, and how often each has ended."""

    def __init__(self, proxy: following_proxy.FollowingProxy):
        self.machine = proxy.machine
        self.ended: collections.Counter = collections.Counter()
        self.callbacks: dict[str, object] = {}

    def request(self, name: str, wait, when_ended=lambda: None) -> None:
        """Request an operation that calls `when_ended` when it ends."""

        def callback(result):
            self.ended[name] += 1
            when_ended()

        self.callbacks[name] = callback
        self.machine.request_operation('status', {}, callback, wait)


def wait_with(context, ends: str, when_first_ends) -> None:
    """Let three operations wait at a proxy without a leader, and end."""
    waiting = context.waiting = WaitingOperations(context.proxy)
    waiting.machine.lose_leader('test')
    wait = LONG_WAIT if 'refused' in ends else SHORT_WAIT
    waiting.request('first', wait, lambda: when_first_ends(waiting, wait))
    waiting.request('second', wait)
    waiting.request('third', wait)
    assert not waiting.ended, waiting.ended
    context.proxy.run(5000)


@behave.when('three operations wait there, the first of which requests another when it ends, and they {ends}')
def first_requests_another(context, ends: str):
    wait_with(context, ends, lambda waiting, wait: waiting.request('fourth', wait))


@behave.when('three operations wait there, the first of which cancels the second when it ends, and they {ends}')
def first_cancels_second(context, ends: str):
    wait_with(context, ends, lambda waiting, wait: waiting.machine.cancel_operation(waiting.callbacks['second']))


@behave.then('each of the four has ended once')
def each_has_ended_once(context):
    assert context.waiting.ended == {'first': 1, 'second': 1, 'third': 1, 'fourth': 1}, context.waiting.ended


@behave.then('the first and the third have ended once, and the second never')
def second_has_not_ended(context):
    assert context.waiting.ended == {'first': 1, 'third': 1}, context.waiting.ended


# -- changes of the configuration -------------------------------------------------


@behave.given('three changes of the configuration that every member has applied')
def applied_changes(context):
    member = types.SimpleNamespace(role='prox', node='p', committed=(1, 3))
    controller = types.SimpleNamespace(
        peers={'p': member}, now=durations.ZERO, settings=settings.Settings(), set_timer=lambda *_: None
    )
    context.changes = configuration_changes.ConfigurationChanges(controller)
    context.responses = collections.Counter()


def add_change(context, name: str, version: tuple[int, int], when_ended=lambda: None) -> None:
    """Add a change that waits until every member has applied its version."""

    def callback(result):
        context.responses[name] += 1
        when_ended()

    change = configuration_changes.PendingChange(version, durations.ZERO, {'status': 200}, callback)
    context.changes.pending.append(change)


@behave.when('the response to the first brings a fourth, of which not every member has applied the change')
def response_brings_another(context):
    def bring_fourth():
        add_change(context, 'fourth', (1, 4))
        context.changes.respond_to_applied()

    add_change(context, 'first', (1, 1), bring_fourth)
    add_change(context, 'second', (1, 2))
    add_change(context, 'third', (1, 3))
    context.changes.respond_to_applied()


@behave.then('the first three have got one response each, and the fourth still waits')
def fourth_waits(context):
    assert context.responses == {'first': 1, 'second': 1, 'third': 1}, context.responses
    assert [change.version for change in context.changes.pending] == [(1, 4)], context.changes.pending


# -- queues for credit ----------------------------------------------------------


@behave.given('a proxy with a lease, and two requests that wait for credit')
def requests_wait_for_credit(context):
    context.proxy = following_proxy.FollowingProxy(runs_once=False)
    for number in range(2):
        context.proxy.request(f'20.x{number}')
    context.credit = context.proxy.machine.credit
    context.pool = context.credit.pool_credit(following_proxy.POOL)
    assert len(context.pool.queue) == 2, context.pool.queue


@behave.when('the queue is gone through, and the first request takes the second out of it')
def first_takes_second_out(context):
    second = context.pool.queue[1]
    runner = context.proxy.machine.runner
    with (
        unittest.mock.patch.object(type(context.pool), 'has_credit', lambda pool: True),
        unittest.mock.patch.object(context.credit, 'choose_endpoint', lambda request: following_proxy.INCARNATION),
        unittest.mock.patch.object(runner, 'run_stages', lambda request: context.credit.leave_queue(second)),
    ):
        context.credit.retry_queued(following_proxy.POOL)


@behave.then('the queue is empty, and nothing has failed')
def queue_is_empty(context):
    assert not context.pool.queue, context.pool.queue
    assert not context.proxy.machine.counts['internal_errors']


@behave.when('the demand is reported, and a request goes on in a pool that is new')
def request_goes_on_in_new_pool(context):
    with unittest.mock.patch.object(context.credit, 'retry_queued', lambda name: context.credit.pool_credit('new')):
        context.credit.report_demand()


@behave.then('the new pool is there, and nothing has failed')
def new_pool_is_there(context):
    assert 'new' in context.credit.pools
    assert not context.proxy.machine.counts['internal_errors']
