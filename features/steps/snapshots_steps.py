"""Catching up over slow links, in the simulator of simulation.catch_up."""

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


def started(context):
    """The rig, started once all that the scenario asks for is in it."""
    if not context.started:
        context.started = True
        assert context.rig.start(), 'nobody leads'
        follower = context.rig.world.nodes.get(FOLLOWER)
        if follower is not None:
            follower.start()
    return context.rig


def behind(context):
    """The voter that is to catch up: the last one, unless it leads."""
    return started(context).last_follower()


@behave.given('three voters that hold {routes:d} routes, with frames of {kilobytes:d} KB at most')
def three_voters_with_routes(context, routes: int, kilobytes: int):
    size = sizes.Size(routes=routes, services=100)
    context.rig = catch_up.CatchUp(size, custom_settings=settings.Settings(frame_most=kilobytes << 10))
    context.rig.world.compresses = False
    context.state_bytes = len(json.dumps(context.rig.state))
    context.started = False
    context.lost = None


@behave.given('a fourth member that only follows')
def member_that_only_follows(context):
    context.rig.add(FOLLOWER, scale_state.process_address(77), machine_class=catch_up.Follower)


@behave.given('the third voter is of a release that reads no pieces')
def third_voter_of_earlier_release(context):
    context.rig.nodes[-1].machine_class = catch_up.OlderVoter
    for node in context.rig.nodes[:-1]:
        # It is to lead none of these, so that the newer ones send and it receives.
        node.first = True


def come_back(context, mbit: int, missed: int) -> None:
    """Let a voter be back over a slow link: after so many changes, or empty where there were none."""
    rig = started(context)
    node = context.node = behind(context)
    if missed:
        rig.power_down(node)
        rig.commit_changes(missed)
    else:
        node.kill()
        node.disk.files, node.disk.synced = {}, {}
    rig.world.run(durations.ms(3000))
    rig.slow_link(node.name, mbit)
    context.before = dict(rig.counts())
    context.piece_bytes_before = rig.world.bytes.get('piece', 0)
    context.since = rig.world.now
    rig.largest_frame = 0
    rig.change_every(durations.ms(200))
    node.start()


@behave.when('a voter is back empty over {mbit:d} Mbit/s while changes go on')
def voter_returns_empty(context, mbit: int):
    come_back(context, mbit, 0)


@behave.when('a voter is back after {missed:d} changes over {mbit:d} Mbit/s while changes go on')
def voter_returns_after_changes(context, missed: int, mbit: int):
    come_back(context, mbit, missed)


@behave.then('it has caught up within {limit:d} s, and holds what the master holds')
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


@behave.then('it was never without a heartbeat for {most:d} ms, and never dropped')
def heartbeats_go_on(context, most: int):
    times = [time for time in context.rig.heartbeats[context.node.name] if time > context.since]
    # Before its first it was not known to be back.
    gaps = [durations.to_ms(later - earlier) for earlier, later in itertools.pairwise(times)]
    assert len(gaps) > 2 and max(gaps) < most, gaps
    member = f'Member {context.node.machine.node}'
    lines = [text for time, text in context.rig.world.lines if time > context.since]
    assert not [text for text in lines if member in text and 'removed:' in text]


@behave.then('the bytes of pieces sent are at most {times:g} times those of the state')
def piece_bytes_are_bounded(context, times: float):
    sent = context.rig.world.bytes.get('piece', 0) - context.piece_bytes_before
    assert sent <= times * context.state_bytes, (sent, context.state_bytes)


@behave.then('no whole state was sent')
def no_whole_state_is_sent(context):
    counts = context.rig.counts()
    assert counts['full'] == context.before.get('full', 0), (counts, context.before)


@behave.then('it was sent no pieces')
def no_pieces_are_sent(context):
    assert context.rig.world.bytes.get('piece', 0) == 0


@behave.when('it is cut off for 3 s once it has 8 pieces')
def voter_is_cut_off(context):
    rig, node = context.rig, context.node
    assert rig.world.run(durations.ms(20000), until=lambda: has_pieces(node, 8))
    rig.world.isolate(node.name)
    rig.world.run(durations.ms(3000))
    rig.world.heal()


def has_pieces(node, number: int) -> bool:
    """Whether a node has received so many pieces of a transfer that goes on."""
    incoming = node.machine.version_receiver.incoming
    return incoming is not None and incoming.received >= number


@behave.then('at most {most:d} pieces were sent twice')
def few_pieces_are_sent_twice(context, most: int):
    rig = context.rig
    sent = rig.counts()['pieces'] - context.before.get('pieces', 0)
    needed = context.state_bytes / chunked_transfer.CHUNK_BYTES
    assert needed * 0.9 < sent <= needed * 1.15 + most, (sent, needed)


@behave.when('a tenth of all frames is lost')
def frames_are_lost(context):
    context.rig.world.loss = 0.1


@behave.when('it is led again over 2 Mbit/s by another master after 8 pieces')
def another_leader_sends_pieces(context):
    rig = started(context)
    node = context.node = rig.world.nodes[FOLLOWER]
    rig.slow_link(FOLLOWER, 2)
    assert rig.world.run(durations.ms(20000), until=lambda: has_pieces(node, 8))
    rig.leader().kill(power=True)


@behave.when("all have caught up and the master's machine lose their power, and start again")
def leader_loses_power(context):
    lose(context, lambda rig: [rig.leader()])


@behave.when('all have caught up and all voters lose their power, and start again')
def all_voters_lose_power(context):
    lose(context, lambda rig: rig.nodes)


@behave.when('all have caught up and all voters, one of them 20 changes ago lose their power, and start again')
def voters_lose_power_one_earlier(context):
    lose(context, lambda rig: rig.nodes, earlier=20)


def lose(context, who, earlier: int = 0) -> None:
    """Let machines lose their power once all have caught up; one voter so many changes earlier."""
    rig = started(context)
    follower = rig.world.nodes[FOLLOWER]
    assert rig.world.run(durations.ms(20000), until=lambda: rig.has_caught_up(follower))
    # As after the checkpoint that a voter's folder begins with.
    for node in rig.nodes:
        write_snapshot(node)
    lost = list(who(rig))
    if earlier:
        first = behind(context)
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
    """A follower that is sent pieces by hand."""

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
        """Send a piece of the state or of other content, with its rows or others."""
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
        """Send all pieces in order, except some."""
        for number in range(self.number):
            for _ in range(0 if number in but else times):
                self.send(number)


@behave.given('a follower that is sent a state in {pieces:d} pieces')
def follower_that_is_sent_pieces(context, pieces: int):
    context.receiver = Receiver()
    assert context.receiver.number == pieces, context.receiver.number


@behave.when('all come in order')
def pieces_come_in_order(context):
    context.receiver.send_all()


@behave.when('all but the last come')
def last_piece_is_missing(context):
    context.receiver.send_all(but=(context.receiver.number - 1,))


@behave.when('one of them is missing')
def middle_piece_is_missing(context):
    context.receiver.send_all(but=(2,))


@behave.when('each comes twice')
def pieces_come_twice(context):
    context.receiver.send_all(times=2)


@behave.when('a row of one is another')
def row_of_piece_differs(context):
    receiver = context.receiver
    for number in range(receiver.number):
        rows = [list(row) for row in receiver.content.chunk(number)]
        if number == 2:
            rows[3][2] = {'v': 9}
        receiver.send(number, rows=rows)


@behave.when('the last comes first')
def last_piece_comes_first(context):
    context.receiver.send(context.receiver.number - 1)


@behave.when("the first come again after another state's")
def pieces_of_other_state_come_between(context):
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


@behave.when('its power fails in the write of what came in pieces')
def power_fails_in_write(context):
    rig, node = context.rig, context.node
    context.answers = []
    deliver = rig.world.on_deliver

    def note_answer(source, target, text):
        deliver(source, target, text)
        if source is node and json.loads(text)['t'] == 'pub_re':
            context.answers.append(text)

    rig.world.on_deliver = note_answer
    rig.world.power_loss_after_write = lambda writer, effect: (
        writer is node and isinstance(effect, effects.CommitChunks)
    )
    assert rig.world.run(durations.ms(20000), until=lambda: not node.up)
    rig.world.run(durations.ms(1000))


@behave.then('its vote for the transfer never left')
def vote_never_left(context):
    assert context.answers == [], context.answers
