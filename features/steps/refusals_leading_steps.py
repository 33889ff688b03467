"""Steps of refusals_leading.feature: publications, acceptances and voting set changes that a leader must refuse."""

import behave

import features.support.control_node as control_node
import features.support.machine_host as machine_host

TABLE = 'cells'
# The row of the voting set: table, key.
VOTING_SET = ('meta', 'vc')


def change(context, key: str) -> None:
    """Submit a change of one row to the leader."""
    node = context.node
    node.machine.submit(lambda txn: txn.put(TABLE, key, {'labels': {}}) or {'status': 200}, lambda result: None)
    node.feed('wake')


def published(context) -> list[dict]:
    """Return the publications that b was sent since the voters stopped responding, each version once."""
    frames = context.node.sent('pub')[context.before :]
    return list({tuple(frame['at']): frame for frame in frames}.values())


@behave.given('a control node that was just elected, whose voters are silent')
def just_elected(context):
    context.node = control_node.ControlNode()
    context.before = 0
    context.node.lead()


@behave.when('its voters stop responding')
def voters_fall_silent(context):
    node = context.node
    # Run until no publication is in flight.
    node.run(1000)
    node.is_muted = True
    context.before = len(node.sent('pub'))


@behave.when('its voters stop responding, and two changes are published')
def two_changes_published(context):
    voters_fall_silent(context)
    for key in ('r0/c1', 'r0/c2'):
        change(context, key)
        context.node.run(20)
    assert len(published(context)) == 2, published(context)


@behave.when('b accepts the first of them')
def first_is_accepted(context):
    node = context.node
    context.first = published(context)[0]['at']
    node.recv('b', 'pub_re', term=node.machine.term, at=context.first, ok=True, accepted=context.first)


@behave.then('the first is committed, and the second is not')
def only_first_committed(context):
    replica = context.node.machine.replica
    assert replica.committed == tuple(context.first), (replica.committed, context.first)
    assert replica.get(TABLE, 'r0/c1') is not None and replica.get(TABLE, 'r0/c2') is None


@behave.when('{count:d} change is requested, {gap:d} ms apart')
@behave.when('{count:d} changes are requested, {gap:d} ms apart')
def changes_requested(context, count, gap):
    for number in range(count):
        change(context, f'r0/c{number}')
        context.node.run(gap)


@behave.then('b is sent {count:d} publication')
@behave.then('b is sent {count:d} publications')
def publications_sent(context, count):
    versions = [frame['at'] for frame in published(context)]
    assert len(versions) == count, versions


@behave.when('{duration:d} ms go by')
def time_goes_by(context, duration):
    context.node.run(duration)


@behave.when('c leaves at once, and {duration:d} ms pass')
def voter_leaves(context, duration):
    node = context.node
    node.recv('c', 'leave')
    node.run(duration)
    assert node.machine.mode == 'leader' and not node.machine.replica.get('members', 'c')


@behave.then('the voting set is {voters}')
def voting_set_is(context, voters):
    voting_set = context.node.machine.replica.get('meta', 'vc')
    expected = voters.split(',')
    assert voting_set == {'committed': expected, 'accepted': expected}, voting_set


def respond_only_to_heartbeats(context, times: int) -> None:
    """Let b respond to the newest heartbeat several times, and to no publication."""
    node = context.node
    for _ in range(times):
        node.run(20)
        round_number = node.sent('chk')[-1]['round']
        held = {'accepted': node.replica.accepted, 'committed': node.replica.committed}
        node.recv('b', 'chk_re', term=node.machine.term, round=round_number, **held)


@behave.when('a key is put, and put again under the same id, while b responds only to heartbeats')
def key_is_put_twice(context):
    node, context.results = context.node, []
    epoch = node.machine.replica.get('meta', 'epoch')
    for _ in range(2):
        node.machine.serve('key.put', {'key': 'k', 'value': 'v', 'id': f'{epoch}.x'}, context.results.append)
        node.feed('wake')
        respond_only_to_heartbeats(context, 8)
    assert node.machine.mode == 'leader'


@behave.then('neither request gets a response')
def none_gets_response(context):
    assert not context.results, context.results


@behave.when('its voters respond again, and {duration:d} ms pass')
def voters_respond_again(context, duration):
    context.node.is_muted = False
    context.node.run(duration)


@behave.then('both requests get a response with status {status:d}')
def both_get_response(context, status):
    assert [result['status'] for result in context.results] == [status, status], context.results


# -- changes of the voting set --------------------------------------------------


def accept_all_as(context, sender: str) -> None:
    """Let a control node report that it has accepted the leader's newest version."""
    node = context.node
    accepted = node.machine.replica.accepted
    node.recv(sender, 'pub_re', term=node.machine.term, at=accepted, ok=True, accepted=accepted)


@behave.given('a control node that leads, with d as a spare control node')
def leads_with_spare(context):
    context.node = node = control_node.ControlNode()
    node.serve()
    # Only b responds by itself, so that the leader has removed c, which joins again.
    for joining in 'cd':
        row = machine_host.member_row(joining)
        node.recv(joining, 'join', member=row, accepted=(0, 0), term=node.machine.term)
    node.run(100)
    assert {'c', 'd'} <= set(node.machine.replica.get('members'))
    for joining in 'cd':
        accept_all_as(context, joining)
    node.run(100)
    assert node.machine.replica.get('meta', 'vc')['accepted'] == ['a', 'b', 'c']


@behave.when('its voters stop responding, and a change is published')
def change_is_published(context):
    context.node.is_muted = True
    context.before = len(context.node.sent('pub'))
    change(context, 'r0/c1')
    assert len(published(context)) == 1


@behave.when('c asks to be released')
def asks_for_release(context):
    context.node.recv('c', 'leave', waits=True)
    context.node.run(20)


def published_voting_sets(context) -> list[dict]:
    """Return the voting sets that were published since the voters stopped responding."""
    return [value for frame in published(context) for table, key, value in frame['rows'] if (table, key) == VOTING_SET]


@behave.then('no change of the voting set is published, and c is not released')
def no_voting_set_published(context):
    assert not published_voting_sets(context), published_voting_sets(context)
    is_not_released(context)


@behave.when('b accepts what was published')
def accepts_published(context):
    node, at = context.node, published(context)[-1]['at']
    node.recv('b', 'pub_re', term=node.machine.term, at=at, ok=True, accepted=at)
    node.run(20)


@behave.then('a change of the voting set is published')
def voting_set_published(context):
    changed = {'committed': ['a', 'b', 'c'], 'accepted': ['a', 'b', 'd']}
    assert published_voting_sets(context) == [changed], published_voting_sets(context)


@behave.then('c is not released')
def is_not_released(context):
    assert not context.node.sent('leave_re', 'c')


@behave.then('c is released')
def is_released(context):
    assert context.node.sent('leave_re', 'c')


@behave.when('its voters and d respond again, and {duration:d} ms pass')
def all_respond_again(context, duration):
    node = context.node
    node.is_muted = False
    for _ in range(duration // 50):
        node.run(50)
        accept_all_as(context, 'd')
