"""State machines as they run among thousands in one process.

A hollow machine shares its copy of the state with all others and works nothing
out of it, but answers every message as a complete one does. Complete ones
beside them show what that costs.
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
    """What a hollow machine does otherwise: nothing of its own is worked out of the state."""

    def rows_committed(self, rows):
        """Work out only what a keeper of credit must know."""
        # A keeper of credit still has to learn its duties; the rest only has to be answered.
        if self.replica.get('duties'):
            self.applied(rows)

    def timer_discovery(self):
        """Probe only as a candidate."""
        if self.mode == 'candidate':
            super().timer_discovery()
        else:
            # No more, because nothing is sent, and the complete one shows what iterating over all members costs.
            self.set_timer('discovery', self.settings.probe)

    def record_node(self, addr, node='', role='', seen=False):
        """Remember only control nodes, and strangers."""
        if role == 'core' or not node:
            super().record_node(addr, node, role, seen)


class HollowProxy(Hollow, proxy_node.Proxy):
    """A proxy among thousands."""


class HollowDirectory(Hollow, daemon.Directory):
    """A directory among thousands."""


class WarmVoter(leader_part.LeadingVoter, typing.Protocol):
    """What WarmUpdates needs of its voter beside what any leader has."""

    assumes_members_current: bool


class WarmUpdates(member_updates.MemberUpdates):
    """Takes every member to hold the state of the start while its voter `assumes_members_current`."""

    voter: WarmVoter

    def send_missing(self, peer):
        """Offer the newest version to a member."""
        if self.voter.assumes_members_current and peer.accepted is None and not peer.is_control_node:
            peer.accepted = state.VERSION
        super().send_missing(peer)


class WarmController(controller.Controller):
    """A control node that does not send the whole state to each member at the start of a point."""

    assumes_members_current = True
    member_updates_type = WarmUpdates


COMPLETE = {'dir': daemon.Directory, 'prox': proxy_node.Proxy}
HOLLOW = {'dir': HollowDirectory, 'prox': HollowProxy}
