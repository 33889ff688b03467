"""Steps of core_returns.feature: all control nodes restart with a large state, in virtual time.

Links have a limited rate, and frames are encoded as on the wire.
"""

import behave

import zinctrail.runtime.durations as durations
import zinctrail.simulation.scale.rig as scale_rig
import zinctrail.simulation.scale.sizes as sizes

BITS_PER_BYTE = 8


class SlowLinks(scale_rig.Rig):
    """A rig in which each process sends all its frames over one link of a limited rate, in order."""

    def __init__(self, size, seed, core_mbps, proxy_mbps):
        self.mbps = {'core': core_mbps, 'prox': proxy_mbps}
        self.free_at = {}
        self.full_state_receivers = []
        super().__init__(size, seed)
        for process in self.control_nodes:
            # At the start of a sweep a control node assumes that its members are current; here it has to find out.
            process.machine.assumes_members_current = False
            members = process.machine.replica.tables['members']
            # The worst order of sending: the control nodes, which elect the leader, come last.
            in_order = dict(sorted(members.items(), key=lambda item: item[1]['role'] == 'core'))
            members.clear()
            members.update(in_order)

    def carry(self, source, address, frame, may_compress):
        """Deliver a frame as Rig.carry does, after the sender's link is free and has transmitted the frame."""
        if 'full' in frame:
            self.full_state_receivers.append(address)
        size = len(source.connections.encoded(frame, may_compress))
        seconds = size * BITS_PER_BYTE / (self.mbps[source.role] * 1e6)
        begin = max(self.now, self.free_at.get(source.address, durations.ZERO))
        self.free_at[source.address] = begin + durations.ms(1000 * seconds)
        self.at(self.free_at[source.address], super().carry, source, address, frame, may_compress)


@behave.given('{cores:d} control nodes and {nodes:d} proxies with {routes:d} routes, whose links carry {core_mbps:d} Mbit/s and {proxy_mbps:d} Mbit/s')  # fmt: skip
def deployment_with_routes_and_links(context, cores: int, nodes: int, routes: int, core_mbps: int, proxy_mbps: int):
    context.size = sizes.Size(nodes=nodes, dirs=0, cores=cores, routes=routes)
    context.mbps = core_mbps, proxy_mbps


@behave.given('the proxies hold the routes and the control nodes start from their disks, under seed {seed:d}')
def deployment_starts_from_disk(context, seed: int):
    context.rig = SlowLinks(context.size, seed, *context.mbps)


@behave.given('one of these proxies has an empty state')
def one_proxy_is_empty(context):
    machine = context.rig.with_role('prox')[-1].machine
    machine.replica.reset()
    assert machine.replica.accepted == (0, 0)


@behave.when('{seconds:d} s pass at the restarted control nodes')
def time_passes_at_restarted_control_nodes(context, seconds: int):
    rig = context.rig
    context.leased_at = {}

    def poll_leases():
        for process in rig.with_role('prox'):
            if process.is_up and process.machine.has_lease():
                context.leased_at.setdefault(process.address, rig.now)
        rig.at(rig.now + durations.ms(10), poll_leases)

    for process in rig.processes:
        rig.at(durations.ms(20 * rig.rng.random()), rig.start_process, process)
    poll_leases()
    rig.run(durations.ms(1000 * seconds))


@behave.then('the restarted control nodes have one leader, elected in at most {most:d} terms')
def one_leader_is_elected(context, most: int):
    machines = [process.machine for process in context.rig.control_nodes]
    terms = [machine.term for machine in machines]
    leaders = [
        machine for machine in machines if machine.mode == 'leader' and machine.replica.committed[0] == machine.term
    ]
    # The disks hold a state of term 1.
    assert len(leaders) == 1 and max(terms) - 1 <= most, (len(leaders), terms)


@behave.then('every proxy got a lease from the restarted control nodes within {most:d} ms of its start')
def every_proxy_gets_lease(context, most: int):
    proxies = context.rig.with_role('prox')
    times = [context.leased_at.get(proxy.address) for proxy in proxies]
    late = [time for time in times if time is None or time > durations.ms(most)]
    assert not late, f'{len(late)} of {len(proxies)}: {sorted(map(str, late))[-5:]}'


@behave.then('no member was sent a full state that it held')
def no_member_gets_state_it_holds(context):
    assert not context.rig.full_state_receivers, len(context.rig.full_state_receivers)


@behave.then('one member was sent a full state')
def one_member_gets_full_state(context):
    assert context.rig.full_state_receivers == [context.rig.with_role('prox')[-1].address], len(
        context.rig.full_state_receivers
    )
