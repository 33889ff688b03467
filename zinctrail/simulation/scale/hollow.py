"""Hollow state machines, light enough to run by the thousand in one process.

A hollow machine shares its copy of the state with all others and derives nothing
from it, but responds to every message as a complete one does. The cost of
deriving data from the state is measured at the complete machines.
"""

import typing

import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.member as member
import zinctrail.consensus.member_updates as member_updates
import zinctrail.control.controller as controller
import zinctrail.directory.daemon as daemon
import zinctrail.proxy.node as proxy_node
import zinctrail.simulation.scale.state as state


class Hollow(member.Member):
    """Overrides of a member for a hollow machine, which derives nothing from the state."""

    def rows_committed(self, rows):
        """Apply rows only if credit duties are assigned."""
        # A member with credit duties has to learn them; everyone else only has to respond.
        if self.replica.get('duties'):
            self.applied(rows)

    def timer_discovery(self):
        """Send probes only as a candidate."""
        if self.mode == 'candidate':
            super().timer_discovery()
        else:
            # The timer is only set again: nothing would be sent, and the cost of iterating over all members is
            # measured at the complete machine.
            self.set_timer('discovery', self.settings.probe)

    def record_node(self, addr, node='', role='', seen=False):
        """Record only control nodes and nodes whose id is unknown."""
        if role == 'core' or not node:
            super().record_node(addr, node, role, seen)


class HollowProxy(Hollow, proxy_node.Proxy):
    """A hollow proxy."""


class HollowDirectory(Hollow, daemon.Directory):
    """A hollow directory."""


class WarmVoter(leader_part.LeadingVoter, typing.Protocol):
    """The voter interface that WarmUpdates needs in addition to that of a leading voter."""

    assumes_members_current: bool


class WarmUpdates(member_updates.MemberUpdates):
    """Assumes that every member already holds the initial state while its voter `assumes_members_current`."""

    voter: WarmVoter

    def send_missing(self, peer):
        """Send a member the changes that it is missing."""
        if self.voter.assumes_members_current and peer.accepted is None and not peer.is_control_node:
            peer.accepted = state.VERSION
        super().send_missing(peer)


class WarmController(controller.Controller):
    """A control node that does not send the full state to each member at the start of a point."""

    assumes_members_current = True
    member_updates_type = WarmUpdates


COMPLETE = {'dir': daemon.Directory, 'prox': proxy_node.Proxy}
HOLLOW = {'dir': HollowDirectory, 'prox': HollowProxy}
