"""Steps of agree.feature: leases and heartbeats of a proxy, and durations that must be consistent."""

import dataclasses
import random

import behave

import features.support.machine_host as machine_host
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

LEADER_TERM = 3


def start_proxy(context):
    """Start a proxy that has not received anything from b yet."""
    machine = proxy_node.Proxy(machine_host.location_of('a'), settings.Settings(), random.Random(1))
    context.host = machine_host.MachineHost(machine)
    context.host.feed('start')


@behave.given('a proxy that follows b')
def proxy_of_leader(context):
    start_proxy(context)


@behave.given('a proxy without a leader')
def proxy_without_leader(context):
    start_proxy(context)


@behave.when('it responds to heartbeat 7 and the lease grant for it arrives {delay:d} ms later')
def lease_is_granted_late(context, delay: int):
    host = context.host
    host.recv('b', 'chk', term=LEADER_TERM, to=host.machine.node, round=7, http='')
    assert host.sent('chk_re')
    context.responded_at = host.now
    host.now += durations.ms(delay)
    host.recv('b', 'grant', term=LEADER_TERM, ack=7)


@behave.then('its lease ends {duration:d} ms after it responded')
def lease_ends_after(context, duration: int):
    assert context.host.machine.lease_until == context.responded_at + durations.ms(duration)


@behave.then('a grant for a heartbeat that it never responded to changes nothing')
def unknown_grant_is_ignored(context):
    before = context.host.machine.lease_until
    context.host.recv('b', 'grant', term=LEADER_TERM, ack=8)
    assert context.host.machine.lease_until == before


@behave.when('duration {name} is set to {value:d} ms')
def bound_is_set(context, name: str, value: int):
    bounds = dataclasses.replace(settings.Settings(), **{name: durations.ms(value)})
    context.verdict = 'refused' if bounds.faults() else 'accepted'


@behave.when("b's heartbeat for {whom} arrives")
def heartbeat_arrives(context, whom: str):
    target = context.host.machine.node if whom == 'itself' else 'former'
    context.host.recv('b', 'chk', term=LEADER_TERM, to=target, round=1, http='')


@behave.then('it responds to the heartbeat')
def heartbeat_is_answered(context):
    host = context.host
    assert host.sent('chk_re') and not host.sent('join') and host.machine.mode == 'follower'


@behave.then('it asks to join')
def join_is_requested(context):
    host = context.host
    assert host.sent('join') and not host.sent('chk_re') and host.machine.mode == 'candidate'
