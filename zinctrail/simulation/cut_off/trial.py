"""A trial: one fault at one control node under one seed, with callers before, during and after the fault."""

import collections.abc
import dataclasses
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.cut_off.callers as callers
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.open_actors.world as open_world

ms = durations.ms

FAULT_DURATION = ms(20000)
# The time from the start of the callers to the fault, and the spread of its random part.
FAULT_BEGINS_MS, FAULT_BEGINS_SPREAD_MS = 1500, 400
# The time from the beginning of the fault to the proxy's shutdown.
PROXY_LEAVES_AFTER = ms(2000)
# How long calls continue after the fault, and how long the last ones may take.
CALLS_CONTINUE_FOR = ms(4000)
LAST_CALLS_LIMIT = ms(3000)
# How often the leaders' states are polled for the removal of the proxy.
POLL_INTERVAL = ms(20)

# The callers' timeout; a real caller would then retry at another node.
CALL_TIMEOUT = ms(1000)
# How long a node may take to detect that it has lost contact; heartbeats are sent every 400 ms.
DETECTION_LIMIT = ms(700)
RESPONSE_LIMIT = ms(300)
# The transit time of a call to the node, on to a leader in another region, and back: 20 ms one way, plus a margin.
TRANSIT = ms(60)
# The extra time of an evacuation, which calls the leader twice; every other call does so once.
SECOND_LEADER_CALL = ms(60)


@dataclasses.dataclass(frozen=True)
class Fault:
    """One kind of fault.

    :param inject: called with the trial, the affected node and the other control nodes.
    """

    inject: collections.abc.Callable[['Trial', simulated_node.Node, list[simulated_node.Node]], None]
    # Whether it affects a follower instead of the leader.
    at_follower: bool = False
    # Whether it affects a second control node too; this needs more than three control nodes.
    with_second: bool = False


class Trial:
    """One fault at one control node; the checkers read `calls` and the final state of the world."""

    def __init__(self, seed: int, fault: Fault):
        self.seed, self.fault = seed, fault
        shape = terms.SHAPES['many' if fault.with_second else 'small']
        self.world = open_world.World(seed, terms.bound(shape))
        self.deployment = open_deployment.Deployment(self.world, shape)
        self.calls: list[callers.Call] = []
        self.is_calling = True
        self.version = 100
        # When the fault began and ended.
        self.fault_began_at = self.fault_ended_at = durations.ZERO
        # Whether the affected node responds during the fault, and whether it is cut off in both directions.
        self.node_responds = self.is_cut_off = True
        self.call_timeout = CALL_TIMEOUT
        # When a frozen node resumes, if callers wait for it.
        self.resumes_at: datetime.timedelta | None = None
        # A proxy that shuts down during the fault, and when it was removed from the state.
        self.leaving_proxy: simulated_node.Node | None = None
        self.proxy_removed_at: datetime.timedelta | None = None
        # The keys of the items that each control node has at the end.
        self.final_items: dict[str, set[str]] = {}

    def next_version(self) -> int:
        """Return a version for a change, higher than all earlier ones."""
        self.version += 1
        return self.version

    def run(self) -> typing.Self:
        """Run the trial; return self."""
        self.deployment.start()
        node, others = self.choose_nodes()
        self.start_callers(node, others)
        self.world.run(ms(FAULT_BEGINS_MS + self.world.rng.uniform(0, FAULT_BEGINS_SPREAD_MS)))
        self.fault_began_at = self.world.now
        self.fault.inject(self, node, others)
        self.world.run(PROXY_LEAVES_AFTER)
        self.leaving_proxy.feed('stop')
        self.watch_until_removed()
        self.world.run(FAULT_DURATION - PROXY_LEAVES_AFTER)
        self.end_fault(node)
        self.world.run(CALLS_CONTINUE_FOR)
        self.is_calling = False
        self.world.run(LAST_CALLS_LIMIT)
        self.final_items = {core.name: set(core.machine.replica.get('items')) for core in self.world.of('core')}
        return self

    def choose_nodes(self) -> tuple[simulated_node.Node, list[simulated_node.Node]]:
        """Return the affected node and the unaffected control nodes; also choose the proxy that leaves."""
        leader = self.world.leader()
        control_nodes = self.world.of('core')
        node = next(core for core in control_nodes if core is not leader) if self.fault.at_follower else leader
        self.leaving_proxy = next(proxy for proxy in self.world.of('prox') if proxy.location.cell != node.location.cell)
        others = [other for other in control_nodes if other is not node]
        return node, others[:-1] if self.fault.with_second else others

    def start_callers(self, node: simulated_node.Node, others: list[simulated_node.Node]) -> None:
        """Start callers of the affected nodes, and callers of the unaffected ones."""
        affected = [node, *(core for core in self.world.of('core') if core is not node and core not in others)]
        callers.Callers(self, 'here', affected, True).start()
        callers.Callers(self, 'there', others, False).start()

    def end_fault(self, node: simulated_node.Node) -> None:
        """Heal all links and the node's disk."""
        self.world.heal()
        node.disk.stall = durations.ZERO
        self.fault_ended_at = self.world.now

    def watch_until_removed(self) -> None:
        """Poll until a leader no longer lists the proxy that left, and record the time."""
        address = self.leaving_proxy.location.addr
        for node in self.world.of('core'):
            if node.up and node.machine.mode == 'leader':
                members = node.machine.replica.get('members').values()
                if not any(row['addr'] == address and not row.get('leaving') for row in members):
                    self.proxy_removed_at = self.world.now
                    return
        if self.is_calling:
            self.world.after(POLL_INTERVAL, self.watch_until_removed)

    # -- time limits of the affected node ---------------------------

    def is_in_time(self, call: callers.Call) -> bool:
        """True if the response to a call at an affected node arrived within its limit."""
        if call.responded_at is None:
            return False
        limit = self.response_deadline(call)
        return limit is None or call.responded_at <= limit

    def response_deadline(self, call: callers.Call) -> datetime.timedelta | None:
        """Return the latest time for the response to a call at an affected node; None if there is no limit."""
        if self.resumes_at is not None:
            second_call = SECOND_LEADER_CALL if call.kind is callers.Kind.EVACUATION else durations.ZERO
            return max(self.resumes_at, call.sent_at) + RESPONSE_LIMIT + TRANSIT + second_call
        if not self.node_responds:
            # A paused node cannot respond.
            return None
        if not self.is_cut_off:
            # The node repeatedly gains and loses contact.
            return call.sent_at + CALL_TIMEOUT - ms(1)
        return max(self.fault_began_at + DETECTION_LIMIT, call.sent_at) + RESPONSE_LIMIT + TRANSIT
