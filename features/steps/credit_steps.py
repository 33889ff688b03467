"""Steps of credit.feature: a pool's credit ledger grants no more than the capacity of its endpoints."""

import behave

import features.support.credit_pool as credit_pool
import features.support.small_world as small_world
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

ms = durations.ms


def held_credit() -> dict[str, int]:
    """Return a proxy's report of held credit: six of the endpoint's eight slots."""
    return {'e0': 6}


@behave.given('a pool of endpoints {endpoints} whose ledger has a new owner that knows proxies {proxies}')
def pool_with_new_owner(context, endpoints: str, proxies: str):
    context.pool = credit_pool.CreditPool(endpoints)
    context.pool.ledger.start_collecting(context.pool.now, proxies.split(','))


@behave.given('a pool of endpoints {endpoints}')
def pool_of_endpoints(context, endpoints: str):
    context.pool = credit_pool.CreditPool(endpoints)


@behave.when('proxies request {needs}')
def proxies_request(context, needs: str):
    context.pool.requests(needs)


@behave.when('they request {needs} three more times')
def proxies_request_again(context, needs: str):
    for _ in range(3):
        context.pool.requests(needs)


@behave.then('they are granted {grants} in all')
def granted_in_all(context, grants: str):
    sums = [sum(grant.values()) for _, grant in sorted(context.pool.grants.items())]
    assert sums == [int(granted) for granted in grants.split(',')], context.pool.grants


@behave.then('no endpoint is granted more than its capacity')
def no_endpoint_is_overcommitted(context):
    pool = context.pool
    for incarnation in pool.routes.pool_endpoints(credit_pool.POOL):
        is_usable = pool.routes.is_usable(incarnation)
        capacity = pool.routes.capacity(incarnation, credit_pool.POOL) if is_usable else 0
        reserved = sum(allocation.reserved(incarnation) for allocation in pool.ledger.allocations.values())
        assert reserved <= capacity, (incarnation, reserved)


@behave.when('the first requests 1 and its grant is lost')
def grant_is_lost(context):
    context.pool.request('p0', 1, is_lost=True)


@behave.when('the first requests 1 and applies its grant')
def grant_is_applied(context):
    context.pool.request('p0', 1)


@behave.then('the second, requesting 8, gets no more than {most:d}')
def second_gets_at_most(context, most: int):
    granted = sum(context.pool.request('p1', 8).values())
    assert granted <= most and granted >= min(most, 1) - 1, granted
    assert most < 7 or granted >= 4, granted


# -- a new owner of the ledger ---------------------------------------------------


@behave.when('no proxy reports')
def nothing_is_reported(context):
    """Do nothing: no proxy reports the credit that it holds."""


@behave.when('p0 reports that it holds 6')
def one_proxy_reports(context):
    context.pool.ledger.record_report(context.pool.now, 'p0', held_credit(), held_credit())


@behave.when('p0 and p1 report that they hold 6, 0')
def both_proxies_report(context):
    context.pool.ledger.record_report(context.pool.now, 'p0', held_credit(), held_credit())
    context.pool.ledger.record_report(context.pool.now, 'p1', {}, {})


@behave.when('the former owner hands over its ledger')
def ledger_is_handed_over(context):
    context.pool.ledger.import_from(context.pool.now, {'p0': [held_credit(), held_credit()]})


@behave.when('a credit lease expires')
def credit_lease_expires(context):
    context.pool.now += settings.Settings().credit


@behave.then('it grants nothing')
def nothing_is_granted(context):
    assert context.pool.request('p1', 8) is None


@behave.then('it grants p1 at most {most:d}')
def granted_at_most(context, most: int):
    granted = sum(context.pool.request('p1', 8).values())
    assert 0 < granted <= most, granted


# -- proxies that are idle -------------------------------------------------------


@behave.when('an idle proxy asks for credit first, and one with {count:d} waiting requests asks after it')
def idle_proxy_asks_first(context, count: int):
    context.wanted = count
    assert context.pool.request('idle', 1, is_idle=True) == {'e0': 1}
    assert not sum(context.pool.request('busy', count).values())


@behave.then('once the idle one has asked again, the other is granted {count:d}')
def busy_proxy_is_granted(context, count: int):
    for _ in range(2):
        # Twice, because credit that it returned counts as held until its next request confirms the return.
        context.pool.request('idle', 1, is_idle=True)
    assert sum(context.pool.request('busy', context.wanted).values()) == count
    assert not sum(context.pool.request('idle', 1, is_idle=True).values())


# -- the ledger's owner in a small world -----------------------------------------


def ledger_role(simulated):
    """Return the row of the singleton role that owns the ledger of pool loans: its holder and fencing token."""
    return dict(simulated.leader().machine.replica.get('duties', 'keeper/loans'))


@behave.when("the owner of a pool's ledger is killed")
def ledger_owner_is_killed(context):
    context.role_before = ledger_role(context.world)
    small_world.node_by_id(context.world, context.role_before['holder']).kill()
    context.world.run(ms(8000))


@behave.when("the owner of a pool's ledger shuts down")
def ledger_owner_shuts_down(context):
    simulated = context.world
    context.role_before = ledger_role(simulated)
    holder = context.role_before['holder']
    small_world.node_by_id(simulated, holder).feed('stop')
    simulated.run(ms(3000), lambda: ledger_role(simulated)['holder'] != holder)
    context.named_successor = simulated.leader().machine.replica.get('members')[holder]['successors']['loans']
    # So short, because an owner that had to collect reports, or to wait for leases, would not be ready by then.
    simulated.run(ms(20))
    ledger = small_world.node_by_id(simulated, ledger_role(simulated)['holder']).machine.ledgers['loans']
    context.is_ready, context.allocation_count = ledger.is_ready(simulated.now), len(ledger.allocations)
    simulated.run(ms(5000))


def assert_role_moved(context):
    """Assert that another node holds the role, under a higher fencing token."""
    role = ledger_role(context.world)
    assert role['holder'] != context.role_before['holder'] and role['fence'] > context.role_before['fence'], role


@behave.then('another node owns it under a higher fence, and no more than {percent:d} percent of requests fail')
def another_owns_the_ledger(context, percent: int):
    assert_role_moved(context)
    small_world.assert_failures(context, percent)


@behave.then('its named successor owns it, ready at once, and no request fails')
def named_successor_owns_the_ledger(context):
    assert_role_moved(context)
    assert ledger_role(context.world)['holder'] == context.named_successor
    assert context.is_ready and context.allocation_count == 3, (context.is_ready, context.allocation_count)
    small_world.assert_failures(context, 0)


@behave.when('every endpoint is replaced {times:d} times over')
def endpoints_are_replaced(context, times: int):
    for _ in range(times):
        for endpoint in context.deployment.endpoints:
            endpoint.kill()
            endpoint.start()
        context.world.run(ms(2500))
    context.deployment.stop_load(ms(15000))


def stored_endpoints(proxy) -> set[str]:
    """Return the incarnations of which a proxy stores a row."""
    in_pools = {incarnation for pool in proxy.credit.pools.values() for incarnation in [*pool.in_use, *pool.grants]}
    return in_pools | set(proxy.upstream.reported_load) | set(proxy.upstream.unreachable_until)


@behave.then('no proxy keeps a row of an endpoint that was removed')
def removed_endpoints_are_forgotten(context):
    present = set(context.world.leader().machine.replica.get('endpoints'))
    assert len(present) == len(context.deployment.endpoints)
    for node in context.world.of('prox'):
        stored = stored_endpoints(node.machine)
        assert stored <= present, (node.name, stored - present)
