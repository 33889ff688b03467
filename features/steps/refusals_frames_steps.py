"""Steps of refusals.feature: frames and inputs that arrive from the wrong node or at the wrong time."""

import behave

import features.support.machine_host as machine_host
import zinctrail.runtime.effects as effects

VERSION = (3, 9)
# {kind: its fields, except the term}
FRAMES_OF_MEMBERS = {
    'com_re': {'at': VERSION},
    'leave': {},
    'piece_re': {'at': VERSION, 'base': None, 'have': 1},
    'pub_re': {'at': VERSION, 'ok': True, 'accepted': VERSION},
    'chk_re': {'round': 1, 'accepted': VERSION, 'committed': VERSION},
}


@behave.when('z, which is not a member, sends a frame {kind}')
def non_member_sends(context, kind):
    node = context.node
    node.recv('z', kind, term=node.machine.term, **FRAMES_OF_MEMBERS[kind])


@behave.then('the node leads, and has sent z nothing')
def node_leads(context):
    node = context.node
    assert node.machine.mode == 'leader'
    assert not [send for send in node.sends if send.address == machine_host.address_of('z')]


@behave.when('b requests its vote for term {term:d}')
def asked_to_join(context, term):
    context.host.recv('b', 'sjoin', term=term)


@behave.when('b publishes {version} with neither a base nor a full state')
def publishes_neither(context, version):
    context.unreadable_before = context.host.machine.bad_frames
    context.host.recv('b', 'pub', term=3, at=(3, 10), http='')


@behave.then('one frame is counted as malformed, and gets no response')
def one_unreadable(context):
    assert not context.host.sent('pub_re'), context.host.effects
    assert context.host.machine.bad_frames == context.unreadable_before + 1


@behave.when('b releases a')
def is_released(context):
    context.host.recv('b', 'leave_re')


def process_exits(context, duration: int) -> bool:
    """Advance the clock; True if the process exits within this time."""
    exit_effects = []
    context.host.run(
        duration, lambda: exit_effects.extend(e for e in context.host.effects if isinstance(e, effects.Exit))
    )
    return bool(exit_effects)


@behave.then('a does not exit within {duration:d} ms')
def does_not_exit(context, duration):
    assert not process_exits(context, duration)


@behave.when('a is told to stop, and again after {pause:d} ms')
def told_to_stop_twice(context, pause):
    context.host.feed('stop')
    assert not process_exits(context, pause)
    context.host.feed('stop')


@behave.then('a exits within {duration:d} ms')
def exits_within(context, duration):
    assert process_exits(context, duration)
