"""Steps of ops.feature: many processes that restart at once, and the differences of a node from the newest state."""

import behave

import zinctrail.cli.commands.lag as lag
import zinctrail.runtime.durations as durations
import zinctrail.simulation.world as world

ms = durations.ms
MAX_SEEDS = 3


def start_all(simulated):
    """Start all nodes of a world, and wait until each has a lease."""
    nodes = simulated.nodes.values()
    for node in nodes:
        node.location.seeds = [control_node.location.addr for control_node in simulated.of('core')][:MAX_SEEDS]
        node.start()
    assert simulated.run(ms(30000), lambda: simulated.leader() and all(node.machine.has_lease() for node in nodes))


def log_lengths(simulated):
    """Return the number of log records of each node."""
    return {node.name: len(node.log_records) for node in simulated.nodes.values()}


def events_since(node, length, event):
    """Return the fields of the records of an event that a node logged after its first `length` records."""
    return [fields for _, _, fields in node.log_records[length:] if fields.get('event') == event]


@behave.given('a simulated world of {cores:d} cores and {proxies:d} proxies')
def world_of_cores_and_proxies(context, cores: int, proxies: int):
    simulated = context.world = world.World(3)
    # Long delays, because several versions are in flight at once only if each takes longer than the time to the next.
    simulated.extra_delay = ms(35)
    for index in range(cores):
        simulated.add(f'core{index}', 'core', f'r{index}/c0')
    for index in range(proxies):
        simulated.add(f'prox{index}', 'prox', f'r{index % 3}/c0')
    start_all(simulated)


@behave.when('all proxies are killed and start again at nearly the same moment')
def all_proxies_restart_together(context):
    simulated = context.world
    proxies = simulated.of('prox')
    for proxy in proxies:
        proxy.kill()
    simulated.run(ms(5000))
    context.log_lengths = log_lengths(simulated)
    context.full_states = simulated.leader().machine.counts['full']
    for index, proxy in enumerate(proxies):
        simulated.after(ms(7 * index), proxy.start)
    assert simulated.run(ms(20000), lambda: all(proxy.up and proxy.machine.has_lease() for proxy in proxies))
    simulated.run(ms(1000))


@behave.then('each is logged as a new member once, and no node is sent the full state twice')
def members_are_announced_once(context):
    simulated = context.world
    proxies = simulated.of('prox')
    announced = [
        fields['node']
        for node in simulated.of('core')
        for fields in events_since(node, context.log_lengths[node.name], 'here')
    ]
    assert sorted(announced) == sorted(proxy.machine.node for proxy in proxies), announced
    full_states = simulated.leader().machine.counts['full'] - context.full_states
    assert full_states <= len(proxies), full_states


@behave.then('the differences between two states name the items with their versions, the settings and the zones')
def differences_name_versions(context):
    newest = {
        'items': {
            'rules/a': {'v': 3, 'row': {'x': 1}},
            'rules/b': {'v': 1, 'row': None},
            'limits': {'v': 2, 'row': {}},
        },
        'conf': {'pools/p': {'service': 's'}},
        'cells': {'r/c': {'emptied': True}, 'r/d': {}},
    }
    here = {
        'items': {'rules/a': {'v': 2, 'row': {'x': 0}}, 'limits': {'v': 2, 'row': {}}, 'pools/z': {'v': 9, 'row': {}}},
        'conf': {'pools/p': {'service': 's'}},
        'cells': {'r/c': {}, 'r/d': {}},
    }
    assert lag.differences(newest, newest) == []
    assert lag.differences(newest, here) == [
        'pools/z: has 9, newest none',
        'rules/a: has 2, newest 3',
        'rules/b: has none, newest 1',
        'cells r/c',
    ]
    assert lag.differences(newest, {})[0] == 'limits: has none, newest 2'


@behave.given('{count:d} simulated worlds of {cores:d} control nodes, {delay:d} ms apart')
def worlds_of_control_nodes(context, count: int, cores: int, delay: int):
    context.worlds = []
    for seed in range(1, count + 1):
        simulated = world.World(seed)
        simulated.extra_delay = ms(delay)
        for index in range(cores):
            simulated.add(f'core{index}', 'core', f'r{index % 3}/c{index // 3}')
        start_all(simulated)
        simulated.run(ms(3000))
        context.worlds.append(simulated)


@behave.when('all of them are killed and start again within {most:d} ms')
def all_control_nodes_restart_together(context, most: int):
    # For each world: the time without a leader, and the terms in which any node was a candidate.
    context.election_times = []
    context.terms = []
    for simulated in context.worlds:
        restart_all(context, simulated, most)


def restart_all(context, simulated, most):
    """Kill all nodes of a world, start each again within `most` ms, and record the time and terms of its election."""
    nodes = simulated.nodes.values()
    for node in nodes:
        node.kill()
    simulated.run(ms(1000))
    lengths = log_lengths(simulated)
    began = simulated.now
    for node in nodes:
        simulated.after(ms(simulated.rng.uniform(0, most)), node.start)
    simulated.run(ms(20000), lambda: simulated.leader() is not None)
    context.election_times.append(simulated.now - began)
    context.terms.append(
        {fields['term'] for node in nodes for fields in events_since(node, lengths[node.name], 'stand')}
    )


@behave.then('each world has a leader within {most:d} ms, and in {least:d} or more the first term decides')
def first_term_decides(context, most: int, least: int):
    assert max(context.election_times) <= ms(most), sorted(context.election_times)
    assert sum(len(terms) == 1 for terms in context.terms) >= least, context.terms
