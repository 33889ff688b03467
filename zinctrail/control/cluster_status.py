"""The status of the cluster as its leader sees it (`zinctrailctl status`)."""

import typing

import zinctrail.consensus.member as member
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.results as results
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.runtime.durations as durations


class Margins(typing.TypedDict):
    """The distance to limits: a member whose lease expires stops serving; claims are dropped after `epochs_kept`."""

    # How long the newest routes have not been applied by every member.
    unapplied_ms: int
    # The shortest remaining lease of any member.
    least_lease_ms: int
    # The age of the oldest claim, in epochs.
    oldest_claim_epochs: int


class ClusterStatus(controller_part.ControllerPart):
    """Serves operation `status`."""

    def serve_status(self, args: dict, callback: replies.Callback) -> None:
        """Return the cluster's status once a quorum has confirmed that this node is still the leader."""
        controller = self.controller
        state = controller.status()
        replica = controller.replica
        state['endpoints'] = {
            incarnation: dict(
                row, beat_ms=durations.to_ms(controller.now - controller.endpoint_registry.last_seen_at(incarnation))
            )
            for incarnation, row in replica.get('endpoints').items()
        }
        state['duties'] = replica.get('duties')
        state['cells'] = replica.get('cells')
        state['epoch'] = replica.get('meta', 'epoch')
        state['rows'] = {table: len(rows) for table, rows in replica.tables.items()}
        state['config'] = replica.get('meta', 'conf') or 0
        state['routes'] = member.as_version(replica.get('meta', 'routes'))[1]
        state['margins'] = self._margins(state['routes'], state['epoch'] or 0)
        controller.fence(lambda is_leader: callback(replies.ok(state=state) if is_leader else results.NO_LEADER))

    def _margins(self, routes_generation: int, epoch: int) -> Margins:
        controller = self.controller
        followers = [peer for peer in controller.peers.values() if peer.role != member_roles.CONTROL_NODE]
        behind = [peer.last_seen_at for peer in followers if peer.committed[1] < routes_generation]
        responded_at = [peer.last_seen_at for peer in followers]
        claim_epochs = [claim['epoch'] for claim in controller.replica.get('claims').values()]
        lease = controller.settings.lease
        return {
            'unapplied_ms': durations.to_ms(controller.now - min(behind)) if behind else 0,
            'least_lease_ms': durations.to_ms(lease - (controller.now - min(responded_at))) if responded_at else 0,
            'oldest_claim_epochs': epoch - min(claim_epochs) if claim_epochs else 0,
        }
