"""Steps of snapshots.feature: catching up over slow links, in the simulator of simulation.catch_up."""

import itertools
import json
import random

import behave

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.node_location as node_location
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.simulation.catch_up as catch_up
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as scale_state

FOLLOWER = 'follower'


def started_rig(context):
    """Return the rig, and start it at the first call, when the scenario has added all members."""
    if not context.is_rig_started:
        context.is_rig_started = True
        assert context.rig.start(), 'nobody leads'
        follower = context.rig.world.nodes.get(FOLLOWER)
        if follower is not None:
            follower.start()
    return context.rig


def voter_to_catch_up(context):
    """Return the voter that is to catch up: the last one, unless it leads."""
    return started_rig(context).last_follower()


@behave.given('three voters that hold {routes:d} routes, with frames of {kilobytes:d} KB at most')
def three_voters_with_routes(context, routes: int, kilobytes: int):
    size = sizes.Size(routes=routes, services=100)
    context.rig = catch_up.CatchUp(size, custom_settings=settings.Settings(frame_most=kilobytes << 10))
    context.rig.world.compresses = False
    context.state_bytes = len(json.dumps(context.rig.state))
    context.is_rig_started = False
    context.lost = None


@behave.given('a fourth member that only follows')
def member_that_only_follows(context):
    context.rig.add(FOLLOWER, scale_state.process_address(77), machine_class=catch_up.Follower)


@behave.given('the third voter is of a release that does not read chunks')
def third_voter_of_earlier_release(context):
    context.rig.nodes[-1].machine_class = catch_up.OlderVoter
    for node in context.rig.nodes[:-1]:
        # The older voter must not become leader, so that the newer ones send and it receives.
        node.first = True


def return_over_slow_link(context, mbit: int, missed: int) -> None:
    """Restart a voter over a slow link: `missed` changes behind, or with an empty disk if that is 0."""
    rig = started_rig(context)
    node = context.node = voter_to_catch_up(context)
    if missed:
        rig.power_down(node)
        rig.commit_changes(missed)
    else:
        node.kill()
        node.disk.files, node.disk.synced = {}, {}
    rig.world.run(durations.ms(3000))
    rig.slow_link(node.name, mbit)
    context.before = dict(rig.counts())
    context.chunk_bytes_before = rig.world.bytes.get('piece', 0)
    context.since = rig.world.now
    rig.largest_frame = 0
    rig.change_every(durations.ms(200))
    node.start()


@behave.when('a voter returns empty over {mbit:d} Mbit/s while changes are made')
def voter_returns_empty(context, mbit: int):
    return_over_slow_link(context, mbit, 0)


@behave.when('a voter returns after {missed:d} changes over {mbit:d} Mbit/s while changes are made')
def voter_returns_after_changes(context, missed: int, mbit: int):
    return_over_slow_link(context, mbit, missed)


@behave.then("it has caught up within {limit:d} s, and holds the leader's state")
def voter_has_caught_up(context, limit: int):
    rig = context.rig
    assert rig.world.run(durations.ms(limit * 1000), until=lambda: rig.has_caught_up(context.node)), (
        context.node.machine.replica.accepted,
        rig.leader() and rig.leader().machine.replica.accepted,
        rig.counts(),
    )
    rig.stop_changing()
    context.until = rig.world.now
    rig.world.loss = 0.0
    rig.world.run(durations.ms(2000))
    assert rig.has_leaders_state(context.node)


@behave.then('it has caught up within {limit:d} s')
def follower_has_caught_up(context, limit: int):
    rig = context.rig
    assert rig.world.run(durations.ms(limit * 1000), until=lambda: rig.has_caught_up(context.node))


@behave.then('no frame to it was larger than {kilobytes:d} KB')
def frames_stay_small(context, kilobytes: int):
    assert 0 < context.rig.largest_frame <= kilobytes * 1024, context.rig.largest_frame


@behave.then('it was never without a heartbeat for {most:d} ms, and never removed')
def heartbeats_go_on(context, most: int):
    times = [time for time in context.rig.heartbeats[context.node.name] if time > context.since]
    # The time before its first heartbeat does not count: the leader did not know yet that it had restarted.
    gaps = [durations.to_ms(later - earlier) for earlier, later in itertools.pairwise(times)]
    assert len(gaps) > 2 and max(gaps) < most, gaps
    member = f'Member {context.node.machine.node}'
    lines = [text for time, text in context.rig.world.lines if time > context.since]
    assert not [text for text in lines if member in text and 'removed:' in text]


@behave.then('the bytes of chunks sent are at most {times:g} times those of the state')
def chunk_bytes_are_bounded(context, times: float):
    sent = context.rig.world.bytes.get('piece', 0) - context.chunk_bytes_before
    assert sent <= times * context.state_bytes, (sent, context.state_bytes)


@behave.then('no full state was sent')
def no_full_state_is_sent(context):
    counts = context.rig.counts()
    assert counts['full'] == context.before.get('full', 0), (counts, context.before)


@behave.then('it was sent no chunks')
def no_chunks_are_sent(context):
    assert context.rig.world.bytes.get('piece', 0) == 0


@behave.when('it is cut off for 3 s once it has 8 chunks')
def voter_is_cut_off(context):
    rig, node = context.rig, context.node
    assert rig.world.run(durations.ms(20000), until=lambda: has_chunks(node, 8))
    rig.world.isolate(node.name)
    rig.world.run(durations.ms(3000))
    rig.world.heal()


def has_chunks(node, number: int) -> bool:
    """True if a node has received this number of chunks of a transfer in progress."""
    incoming = node.machine.version_receiver.incoming
    return incoming is not None and incoming.received >= number


@behave.then('at most {most:d} chunks were sent twice')
def few_chunks_are_sent_twice(context, most: int):
    rig = context.rig
    sent = rig.counts()['pieces'] - context.before.get('pieces', 0)
    needed = context.state_bytes / chunked_transfer.CHUNK_BYTES
    assert needed * 0.9 < sent <= needed * 1.15 + most, (sent, needed)


@behave.when('a tenth of all frames is lost')
def frames_are_lost(context):
    context.rig.world.loss = 0.1


@behave.when('its leader is replaced after it received 8 chunks over 2 Mbit/s')
def another_leader_sends_chunks(context):
    rig = started_rig(context)
    node = context.node = rig.world.nodes[FOLLOWER]
    rig.slow_link(FOLLOWER, 2)
    assert rig.world.run(durations.ms(20000), until=lambda: has_chunks(node, 8))
    rig.leader().kill(power=True)


@behave.when("all have caught up and the leader's machine lose their power, and start again")
def leader_loses_power(context):
    restart_after_power_loss(context, lambda rig: [rig.leader()])


@behave.when('all have caught up and all voters lose their power, and start again')
def all_voters_lose_power(context):
    restart_after_power_loss(context, lambda rig: rig.nodes)


@behave.when('all have caught up and all voters, one of them 20 changes ago lose their power, and start again')
def voters_lose_power_one_earlier(context):
    restart_after_power_loss(context, lambda rig: rig.nodes, earlier=20)


def restart_after_power_loss(context, select_nodes, earlier: int = 0) -> None:
    """Cut machines' power once all have caught up, then restart them; one voter loses it `earlier` changes before."""
    rig = started_rig(context)
    follower = rig.world.nodes[FOLLOWER]
    assert rig.world.run(durations.ms(20000), until=lambda: rig.has_caught_up(follower))
    # As in a real data folder, which begins with a snapshot.
    for node in rig.nodes:
        write_snapshot(node)
    lost = list(select_nodes(rig))
    if earlier:
        first = voter_to_catch_up(context)
        first.kill(power=True)
        rig.commit_changes(earlier)
    for node in lost:
        node.kill(power=True)
    rig.world.run(durations.ms(1000))
    for node in rig.nodes:
        if not node.up:
            node.start()
    context.before = {}


def write_snapshot(node) -> None:
    """Let a voter write a snapshot."""
    node.machine.persistence.write_snapshot()
    outputs = node.machine.out
    node.machine.out = []
    for effect in outputs:
        node.disk.carry_out(effect)


@behave.then('all have caught up within {limit:d} s')
def all_have_caught_up(context, limit: int):
    rig = context.rig
    others = [node for node in rig.world.nodes.values() if node is not rig.leader()]

    def all_have():
        leader = rig.leader()
        return leader is not None and all(rig.has_caught_up(node) for node in others if node is not leader)

    assert rig.world.run(durations.ms(limit * 1000), until=all_have)
    rig.world.run(durations.ms(1000))


# -- the receiver alone ---------------------------------------------------


class Receiver:
    """A follower that the scenario sends chunks to."""

    def __init__(self):
        location = node_location.NodeLocation('10.0.0.9:1000', '10.0.0.9:80', 'r0/z0', [])
        self.machine = catch_up.Follower(location, settings.Settings(), random.Random(1))
        self.machine.feed('start', durations.ZERO)
        self.tables = scale_state.state_tables(sizes.Size(routes=1400, cores=3, dirs=0, nodes=0))
        self.content = chunked_transfer.Content.full_state((3, 40), self.tables)
        self.number = 0
        while self.content.chunk(self.number) is not None:
            self.number += 1

    def send(self, number: int, content=None, rows: list | None = None) -> None:
        """Send a chunk of the state or of other content, with its own rows or others."""
        content = content or self.content
        frame = {
            't': 'piece',
            'v': 2,
            'c': scale_state.CLUSTER,
            'f': 'master',
            'a': '10.0.0.1:1000',
            'term': 3,
            'at': content.version,
            'base': content.base,
            'number': number,
            'rows': rows or content.chunk(number),
            'http': '10.0.0.1:80',
        }
        if content.is_last(number):
            frame['digest'] = content.digest
        self.machine.feed('recv', durations.ms(10), json.loads(json.dumps(frame)))

    def send_all(self, but: tuple[int, ...] = (), times: int = 1) -> None:
        """Send all chunks in order, except some."""
        for number in range(self.number):
            for _ in range(0 if number in but else times):
                self.send(number)


@behave.given('a follower that is sent a state in {chunks:d} chunks')
def follower_that_is_sent_chunks(context, chunks: int):
    context.receiver = Receiver()
    assert context.receiver.number == chunks, context.receiver.number


@behave.when('all arrive in order')
def chunks_arrive_in_order(context):
    context.receiver.send_all()


@behave.when('all but the last arrive')
def last_chunk_is_missing(context):
    context.receiver.send_all(but=(context.receiver.number - 1,))


@behave.when('one of them is missing')
def middle_chunk_is_missing(context):
    context.receiver.send_all(but=(2,))


@behave.when('each arrives twice')
def chunks_arrive_twice(context):
    context.receiver.send_all(times=2)


@behave.when('a row of one is altered')
def row_of_chunk_differs(context):
    receiver = context.receiver
    for number in range(receiver.number):
        rows = [list(row) for row in receiver.content.chunk(number)]
        if number == 2:
            rows[3][2] = {'v': 9}
        receiver.send(number, rows=rows)


@behave.when('the last arrives first')
def last_chunk_arrives_first(context):
    context.receiver.send(context.receiver.number - 1)


@behave.when("the first arrive again after another state's")
def chunks_of_other_state_arrive_between(context):
    receiver = context.receiver
    other = chunked_transfer.Content.full_state(
        (3, 39), scale_state.state_tables(sizes.Size(routes=400, cores=3, dirs=0, nodes=0))
    )
    receiver.send(0)
    receiver.send(0, content=other)
    receiver.send(1)
    receiver.send_all()


@behave.then('it holds the state')
def receiver_holds_state(context):
    machine = context.receiver.machine
    assert machine.replica.accepted == (3, 40), machine.replica.accepted
    assert catch_up.canonical_text(machine.replica.full_state()) == catch_up.canonical_text(context.receiver.tables)


@behave.then('it holds nothing')
def receiver_holds_nothing(context):
    assert context.receiver.machine.replica.accepted == (0, 0)
    assert not context.receiver.machine.replica.full_state()


@behave.when('its power fails in the write of the received chunks')
def power_fails_in_write(context):
    rig, node = context.rig, context.node
    context.responses = []
    deliver = rig.world.on_deliver

    def record_response(source, target, text):
        deliver(source, target, text)
        if source is node and json.loads(text)['t'] == 'pub_re':
            context.responses.append(text)

    rig.world.on_deliver = record_response
    rig.world.power_loss_after_write = lambda writer, effect: (
        writer is node and isinstance(effect, effects.CommitChunks)
    )
    assert rig.world.run(durations.ms(20000), until=lambda: not node.up)
    rig.world.run(durations.ms(1000))


@behave.then('its acceptance of the transfer was never sent')
def acceptance_was_never_sent(context):
    assert context.responses == [], context.responses
