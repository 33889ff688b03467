"""Faults of the control plane in scenarios of open traffic: long cuts, storms of changes, resets, slow machines.

Each is named after the platform's fault and its variant.
"""

import dataclasses
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.faults.open_operators as open_operators
import zinctrail.simulation.faults.open_processes as open_processes
import zinctrail.simulation.faults.registry as registry
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.operator as open_operator
import zinctrail.simulation.open_actors.records as open_records

if typing.TYPE_CHECKING:
    import zinctrail.simulation.open_days as open_days

ms = durations.ms
fault = registry.OPEN.register

OPERATORS = ('op', 'op0', 'op1', 'op2')
LONG_CUT = ms(20000)
SHORT_CUT = ms(6000)
SLOW_SPAN = ms(5000)
POWER_OFF_SPAN = ms(2000)


# -- cuts ------------------------------------------------------------------------


def cut_off(scenario: 'open_days.Scenario', node: simulated_node.Node, length: datetime.timedelta) -> None:
    """Cut a control node off from the other control nodes; proxies and callers still reach it."""
    scenario.world.partition([node.name], [other.name for other in scenario.world.of('core')])
    scenario.later(length, scenario.world.heal)


def pick_control_node(scenario: 'open_days.Scenario') -> simulated_node.Node:
    """Return the leader with a probability of 0.7, otherwise a random control node."""
    return scenario.world.leader() or scenario.pick('core') if scenario.rng.random() < 0.7 else scenario.pick('core')


@fault
def core_cut_leader_long(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The leader is cut off for twenty seconds, while operators continue to send commands of all kinds."""
    leader = scenario.world.leader()
    if leader is None:
        scenario.record_ineffective('core_cut_leader_long')
        return ms(0)
    cut_off(scenario, leader, LONG_CUT)
    changes = (open_operators.change_timeout, open_operators.move, open_operators.race, open_operators.add_and_drop)
    for second in range(1, 20, 2):
        scenario.later(ms(1000) * second, scenario.rng.choice(changes), scenario)
    zone = scenario.rng.choice(scenario.deployment.zones)
    scenario.later(ms(5000), scenario.deployment.operator.evacuate, zone)
    scenario.later(ms(15000), scenario.deployment.operator.evacuate, zone, False)
    # One change arrives just as the cut heals.
    scenario.later(LONG_CUT, open_operators.change_timeout, scenario)
    return LONG_CUT + ms(2000)


@fault
def core_cut_seeds(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node is cut off while the settings name it as the first seed and two proxies restart."""
    node = pick_control_node(scenario)
    cut_off(scenario, node, SHORT_CUT)
    others = [other.location.addr for other in scenario.world.of('core') if other is not node]
    for other in scenario.world.nodes.values():
        other.location.seeds = [node.location.addr, *others[:2]]
    for proxy in scenario.rng.sample(scenario.world.of('prox'), 2):
        proxy.kill()
        scenario.restart(proxy, ms(800))
    return SHORT_CUT + ms(1000)


@fault
def core_cut_both(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node is cut off and restarted during the cut; then the others are restarted, one after another."""
    node = pick_control_node(scenario)
    cut_off(scenario, node, ms(9000))
    restarted = [node, *(other for other in scenario.world.of('core') if other is not node)]
    for number, other in enumerate(restarted):
        scenario.later(ms(1500) * (number + 1), restart, scenario, other)
    scenario.later(ms(8800), open_operators.change_timeout, scenario)
    return ms(9000) + ms(1500) * len(restarted)


def restart(scenario: 'open_days.Scenario', node: simulated_node.Node) -> None:
    """Kill a process and start it 600 ms later."""
    node.kill()
    scenario.restart(node, ms(600))


@fault
def zone_cut(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A zone's machines and endpoints are cut off from those of other zones; clients still reach all of them."""
    world = scenario.world
    zone = scenario.rng.choice(scenario.deployment.zones)
    parties = [*world.nodes, *(endpoint.name for endpoint in scenario.deployment.endpoints if endpoint.up)]
    inside = [name for name in parties if world.zones.get(name) == zone]
    for name in inside:
        for other in parties:
            if other not in inside:
                world.cut(name, other)
    scenario.later(SHORT_CUT, world.heal)
    return SHORT_CUT + ms(1000)


@fault
def node_cut_servers(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some endpoints are cut off from all processes."""
    for endpoint in scenario.sample(scenario.deployment.endpoints, 0.2):
        scenario.world.isolate(endpoint.name)
    scenario.later(SHORT_CUT, scenario.world.heal)
    return SHORT_CUT + ms(1000)


@fault
def reset_conns(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Half of the connections of some processes are reset, three times in succession."""
    scenario.repeat(3, ms(1500), reset_some, scenario)
    return ms(5000)


def reset_some(scenario: 'open_days.Scenario') -> None:
    """Reset half of the connections of a quarter of the processes."""
    nodes = list(scenario.world.nodes.values())
    for node in scenario.rng.sample(nodes, max(2, len(nodes) // 4)):
        scenario.world.reset(node, 0.5)


# -- slow machines and disks -----------------------------------------------------------


@fault
def node_slow(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node and a proxy get a fifth of the CPU time: they are paused for 40 ms of each 50 ms."""
    for node in (pick_control_node(scenario), scenario.pick('prox')):
        scenario.repeat(int(SLOW_SPAN / ms(50)), ms(50), pause_if_running, node, ms(40))
    return SLOW_SPAN + ms(2000)


def pause_if_running(node: simulated_node.Node, length: datetime.timedelta) -> None:
    """Pause a process, unless it is down or paused already."""
    if node.up and node.paused is None:
        node.pause(length)


@fault
def disk_slow(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node's disk is thirty times as slow, and blocks its process."""
    node = pick_control_node(scenario)
    node.disk.stall = ms(60)
    scenario.later(SLOW_SPAN, setattr, node.disk, 'stall', ms(0))
    return SLOW_SPAN + ms(2000)


# -- stops and losses -----------------------------------------------------------------------


@fault
def roll_term_remove_core(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node is terminated, and restarted with its disk ten seconds later."""
    node = pick_control_node(scenario)
    open_processes.terminate(scenario, node, again=False)
    scenario.later(ms(10000), scenario.start_unless_up, node)
    return ms(12000)


@fault
def roll_term_busy(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Each process is terminated while it handles a request, one after another in random order."""
    nodes = list(scenario.world.nodes.values())
    scenario.rng.shuffle(nodes)
    gap = ms(1000)
    for number, node in enumerate(nodes):
        scenario.later(gap * number, terminate_when_busy, scenario, node, scenario.world.now + gap * (number + 1))
    return gap * len(nodes) + ms(6000)


def terminate_when_busy(
    scenario: 'open_days.Scenario', node: simulated_node.Node, deadline: datetime.timedelta
) -> None:
    """Terminate a process as soon as it handles a request, at `deadline` at the latest."""
    if node.requests or scenario.world.now >= deadline:
        open_processes.terminate(scenario, node)
    else:
        scenario.later(ms(5), terminate_when_busy, scenario, node, deadline)


def lose_power(scenario: 'open_days.Scenario', nodes: typing.Iterable[simulated_node.Node]) -> None:
    """Cut the power of machines, and restart each 2 to 2.3 seconds later."""
    for node in nodes:
        node.kill(power=True)
        scenario.restart(node, POWER_OFF_SPAN + ms(scenario.rng.uniform(0, 300)))


@fault
def herd_kill_core_power(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All control nodes lose power at once."""
    lose_power(scenario, scenario.world.of('core'))
    return ms(4000)


@fault
def herd_kill_taken(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """All control nodes lose power right after one of them responded with success to an application's call."""
    return act_after_accepted_call(scenario, lambda node: lose_power(scenario, scenario.world.of('core')))


@fault
def after_ack_kill_taken(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The control node that has just responded with success to an application's call loses power."""
    return act_after_accepted_call(scenario, lambda node: lose_power(scenario, [node]))


def act_after_accepted_call(
    scenario: 'open_days.Scenario', action: typing.Callable[[simulated_node.Node], typing.Any]
) -> datetime.timedelta:
    """Call action(node) with the control node that responds with success to the next application's call."""
    affected: list[str] = []

    def on_accepted_call(name: str) -> None:
        """Call action with the first node that accepts a call."""
        node = scenario.world.nodes.get(name)
        if not affected and node:
            affected.append(name)
            action(node)

    def stop_waiting() -> None:
        """Remove the callback, and log a miss if no call was accepted."""
        scenario.deployment.on_call_accepted = None
        if not affected:
            scenario.record_ineffective('when_work_is_accepted')

    scenario.deployment.on_call_accepted = on_accepted_call
    scenario.later(ms(3000), stop_waiting)
    return ms(8000)


@fault
def after_ack_kill_timed(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """A control node loses power 5 to 400 ms after a change was sent, whether or not it is acknowledged by then."""
    open_operators.change_timeout(scenario)
    scenario.later(ms(scenario.rng.uniform(5, 400)), lambda: lose_power(scenario, [pick_control_node(scenario)]))
    return ms(6000)


@fault
def after_ack_kill_alone(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The process that acknowledges a change is killed; its machine keeps power."""
    return open_processes.act_after_acknowledgement(scenario, lambda node: scenario.kill_for(node, ms(3000)))


# -- settings ------------------------------------------------------------------------------------


@fault
def hup(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Some processes reload their unchanged settings."""
    nodes = list(scenario.world.nodes.values())
    for number, node in enumerate(scenario.rng.sample(nodes, max(1, round(0.3 * len(nodes))))):
        scenario.later(ms(400) * number, reload_settings, scenario, node)
    return ms(400) * len(nodes) + ms(2000)


def reload_settings(scenario: 'open_days.Scenario', node: simulated_node.Node) -> None:
    """Let a process reload its settings, unless it is down or paused."""
    if node.up and node.paused is None:
        node.feed('settings', dataclasses.replace(node.location), scenario.world.settings)


# -- operators ---------------------------------------------------------------------------------------


@fault
def config_storm(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """An operator sends a change every 100 ms for five seconds, without waiting for acknowledgements."""
    scenario.repeat(50, ms(100), open_operators.change_timeout, scenario)
    return ms(8000)


@fault
def config_idle(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """The limits on clients' requests and connections change."""
    limits = {
        'version': scenario.deployment.next_version(),
        'header_bytes': 16384,
        'body_bytes': 1 << 26,
        'header_ms': 3000,
        'idle_ms': scenario.rng.choice((8000, 12000, 20000)),
    }
    scenario.deployment.operator.change({'limits': limits})
    return ms(4000)


@fault
def ack_lost(scenario: 'open_days.Scenario') -> datetime.timedelta:
    """Most acknowledgements to operators are lost, and each command is resent until one arrives."""
    for operator_name in OPERATORS:
        scenario.world.response_loss[operator_name] = 0.7
    scenario.deployment.records.ack_losses.append(open_records.Span(scenario.world.now, scenario.world.now + ms(8000)))
    scenario.later(ms(8000), end_response_losses, scenario)
    for number in range(5):
        scenario.later(ms(1200) * number, open_operators.change_timeout, scenario)
        scenario.later(ms(1200) * number + ms(300), open_operators.race, scenario)
    zone = scenario.rng.choice(scenario.deployment.zones)
    scenario.later(ms(2000), scenario.deployment.operator.evacuate, zone)
    scenario.later(ms(6500), open_operator.Operator(scenario.deployment, 'op1').evacuate, zone, False)
    return ms(10000)


def end_response_losses(scenario: 'open_days.Scenario') -> None:
    """End the loss of responses to operators."""
    for operator_name in OPERATORS:
        scenario.world.response_loss.pop(operator_name, None)
