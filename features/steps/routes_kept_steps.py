"""Steps of routes_kept.feature: how often a directory or a proxy iterates over all members."""

import behave

import features.support.lookup_directory as lookup_directory
import zinctrail.consensus.replica as replica
import zinctrail.proxy.endpoint_selection as endpoint_selection

ZONES = ('r0/a', 'r0/b', 'r1/c')


class CountedRows(dict):
    """A table that counts how often it is iterated over."""

    iterations = 0

    def items(self):
        """Count an iteration, and return dict.items."""
        self.iterations += 1
        return super().items()

    def values(self):
        """Count an iteration, and return dict.values."""
        self.iterations += 1
        return super().values()

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()


def member_row(number):
    """Return the row of a proxy in the membership table."""
    return {
        'role': 'prox',
        'addr': f'10.0.{number}:7000',
        'http': f'10.0.{number}:7001',
        'front': f'10.0.{number}:7002',
        'cell': ZONES[number % len(ZONES)],
        'level': 2,
    }


@behave.given('a directory with {count:d} proxies in 3 zones')
def directory_with_proxies(context, count: int):
    state = replica.Replica()
    rows = CountedRows({f'proxy-{number}': member_row(number) for number in range(count)})
    items = {'pools/service': {'v': 1, 'row': {'name': 'service', 'version': 1, 'connections': 2000}}}
    cells = {zone: {'region': zone.split('/')[0]} for zone in ZONES}
    state.accept((1, 1), tables={'members': rows, 'items': items, 'cells': cells})
    state.commit((1, 1))
    context.rows = rows
    context.directory = lookup_directory.LookupMember(state)


@behave.step('{count:d} lookup responses for open traffic and {labels:d} for traffic by labels are given')
def give_lookup_responses(context, count: int, labels: int):
    """Look up three proxies so many times, for each kind of traffic."""
    for _ in range(count):
        assert len(context.directory.proxy_lookup.find_ingresses(ZONES[0], 3)['proxies']) == 3
    for _ in range(labels):
        assert len(context.directory.proxy_lookup.find_proxies([], ZONES[0], 3)['proxies']) == 3


@behave.when('a proxy computes its share of connections {count:d} times')
def ask_for_connection_share(context, count: int):
    selection = endpoint_selection.EndpointSelection(context.directory)
    for _ in range(count):
        assert selection.connection_share('service') == 4


@behave.then('the members were iterated over once')
def iterated_once(context):
    assert context.rows.iterations == 1, context.rows.iterations


@behave.when('a change removes all proxies of one zone but one')
def remove_proxies_of_zone(context):
    state = context.directory.replica
    context.removed = [node for node, row in state.get('members').items() if row['cell'] == ZONES[0]]
    context.remaining = context.removed.pop()
    state.accept((1, 2), rows=[['members', node, None] for node in context.removed])
    state.commit((1, 2))
    context.directory.routes.invalidate()


@behave.then('the next lookup responses there name that proxy first, and no removed one')
def responses_name_newest_members(context):
    numbers = {node: int(node.split('-')[1]) for node in [*context.removed, context.remaining]}
    for _ in range(50):
        ingresses = context.directory.proxy_lookup.find_ingresses(ZONES[0], 3)['proxies']
        assert ingresses[0] == member_row(numbers[context.remaining])['front'], ingresses
        assert not {member_row(numbers[node])['front'] for node in context.removed} & set(ingresses), ingresses
        https = context.directory.proxy_lookup.find_proxies([], ZONES[0], 3)['proxies']
        assert https[0] == member_row(numbers[context.remaining])['http'], https


@behave.when('lookup responses for {count:d} unconfigured zones are given')
def responses_for_unknown_zones(context, count: int):
    for number in range(count):
        assert context.directory.proxy_lookup.find_ingresses(f'r9/{number}', 2)['proxies']


@behave.then('ingresses are cached for at most {limit:d} zones')
def cached_zones_are_limited(context, limit: int):
    cached = len(context.directory.routes.ingresses_by_zone)
    assert 0 < cached <= limit, cached
