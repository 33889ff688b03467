"""Steps of routes_kept.feature: how often a directory or a proxy iterates over all members."""

import behave

import features.support.lookup_directory as lookup_directory
import zinctrail.consensus.replica as replica
import zinctrail.proxy.endpoint_selection as endpoint_selection

CELLS = ('r0/a', 'r0/b', 'r1/c')


class CountedRows(dict):
    """A table that counts how often it is iterated over."""

    iterations = 0

    def items(self):
        """As dict.items, counted."""
        self.iterations += 1
        return super().items()

    def values(self):
        """As dict.values, counted."""
        self.iterations += 1
        return super().values()

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()


def member_row(number):
    """The row of a proxy in the membership table."""
    return {
        'role': 'prox',
        'addr': f'10.0.{number}:7000',
        'http': f'10.0.{number}:7001',
        'front': f'10.0.{number}:7002',
        'cell': CELLS[number % len(CELLS)],
        'level': 2,
    }


@behave.given("a directory's routes with {count:d} proxies in 3 cells")
def directory_with_proxies(context, count: int):
    state = replica.Replica()
    rows = CountedRows({f'proxy-{number}': member_row(number) for number in range(count)})
    items = {'pools/service': {'v': 1, 'row': {'name': 'service', 'version': 1, 'connections': 2000}}}
    cells = {cell: {'region': cell.split('/')[0]} for cell in CELLS}
    state.accept((1, 1), tables={'members': rows, 'items': items, 'cells': cells})
    state.commit((1, 1))
    context.rows = rows
    context.directory = lookup_directory.LookupMember(state)


@behave.step('{count:d} standing answers for open traffic and {labels:d} for traffic by labels are given')
def give_answers(context, count: int, labels: int):
    """Look up proxies for both kinds of traffic, each time three."""
    for _ in range(count):
        assert len(context.directory.proxy_lookup.find_ingresses(CELLS[0], 3)['proxies']) == 3
    for _ in range(labels):
        assert len(context.directory.proxy_lookup.find_proxies([], CELLS[0], 3)['proxies']) == 3


@behave.when('a proxy asks {count:d} times for its share of connections')
def ask_for_connection_share(context, count: int):
    selection = endpoint_selection.EndpointSelection(context.directory)
    for _ in range(count):
        assert selection.connection_share('service') == 4


@behave.then('the members were gone through once')
def iterated_once(context):
    assert context.rows.iterations == 1, context.rows.iterations


@behave.when('a change takes all proxies of one cell away but one')
def take_cell_away(context):
    state = context.directory.replica
    context.gone = [node for node, row in state.get('members').items() if row['cell'] == CELLS[0]]
    context.left = context.gone.pop()
    state.accept((1, 2), rows=[['members', node, None] for node in context.gone])
    state.commit((1, 2))
    context.directory.routes.invalidate()


@behave.then('the next standing answers there name that proxy first and none that went')
def answers_name_newest_members(context):
    numbers = {node: int(node.split('-')[1]) for node in [*context.gone, context.left]}
    for _ in range(50):
        fronts = context.directory.proxy_lookup.find_ingresses(CELLS[0], 3)['proxies']
        assert fronts[0] == member_row(numbers[context.left])['front'], fronts
        assert not {member_row(numbers[node])['front'] for node in context.gone} & set(fronts), fronts
        https = context.directory.proxy_lookup.find_proxies([], CELLS[0], 3)['proxies']
        assert https[0] == member_row(numbers[context.left])['http'], https


@behave.when('standing answers for {count:d} cells that nobody configured are given')
def answers_for_unknown_cells(context, count: int):
    for number in range(count):
        assert context.directory.proxy_lookup.find_ingresses(f'r9/{number}', 2)['proxies']


@behave.then('the fronts are kept for at most {limit:d} cells')
def cells_kept_are_limited(context, limit: int):
    kept = len(context.directory.routes.ingresses_by_zone)
    assert 0 < kept <= limit, kept
