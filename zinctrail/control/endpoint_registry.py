"""The registry of endpoints: heartbeats, registrations, sign-offs and tombstones.

The leader keeps when each endpoint was last heard of; the replicated state
changes only where a heartbeat says something new. A follower acknowledges a
heartbeat that says nothing new and passes it on with its next response to the
leader's heartbeat. docs/notes/draining.md
"""

import datetime

import zinctrail.consensus.messages as messages
import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.evacuations as evacuations
import zinctrail.control.heartbeats as heartbeats
import zinctrail.control.replies as replies
import zinctrail.control.retention as retention
import zinctrail.control.rows as rows
import zinctrail.runtime.durations as durations

TABLE = 'endpoints'
TOMBSTONES_TABLE = retention.TOMBSTONES_TABLE


def _deregistration_key(incarnation: str) -> str:
    """The tombstone of an incarnation that left by its own word: no heartbeat brings it back."""
    return f'{incarnation}/left'


class EndpointRegistry(controller_part.ControllerPart):
    """Heartbeats and registrations of endpoints."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        # While this node leads: since when, and when each incarnation was last heard of.
        self.leader_since = durations.ZERO
        self.last_heartbeats: dict[str, datetime.timedelta] = {}
        # The newest sequence number of each incarnation that numbers its heartbeats.
        self.heartbeat_sequences: dict[str, int] = {}
        # Incarnations whose heartbeats this follower acknowledged since its last response to the leader.
        self.unreported_heartbeats: set[str] = set()

    def start(self) -> None:
        """This node leads now. Nobody knows for how long endpoints have been silent, so each gets the full time."""
        self.leader_since = self.controller.now
        self.last_heartbeats = {}

    def last_seen_at(self, incarnation: str) -> datetime.timedelta:
        """When an endpoint was last heard of, or since when this node could have heard of it."""
        return self.last_heartbeats.get(incarnation, self.leader_since)

    # -- heartbeats by way of a follower ----------------------------------

    def take_heartbeat(self, heartbeat: dict, respond: replies.Callback) -> None:
        """A heartbeat that came to this node: the leader need not be asked if it says nothing new."""
        heartbeats.check(heartbeat)
        controller = self.controller
        incarnation = heartbeat['inc']
        if (
            controller.mode == 'follower'
            and controller.leased()
            and heartbeat['state'] != heartbeats.LEAVING
            and heartbeats.is_unchanged(controller.replica.get(TABLE, incarnation), heartbeats.to_row(heartbeat))
        ):
            self.unreported_heartbeats.add(incarnation)
            respond(replies.ok(epoch=controller.replica.get('meta', 'epoch') or 0))
        else:
            controller.request_operation('beat', heartbeat, respond)

    def pop_unreported(self) -> list[str]:
        """The endpoints that were heard of here since the last response to the leader."""
        received, self.unreported_heartbeats = self.unreported_heartbeats, set()
        return sorted(received)

    def on_heartbeat_response(self, message: messages.HeartbeatResponse) -> None:
        """A follower passes on which endpoints it heard of."""
        if self.controller.is_leader and message.term == self.controller.term:
            for incarnation in message.endpoint_heartbeats or ():
                self.last_heartbeats[incarnation] = self.controller.now

    # -- operations of the leader -----------------------------------------

    def serve_heartbeat(self, heartbeat: dict, callback: replies.Callback) -> None:
        """Operation `beat`: refused with 410 for an incarnation that was declared gone."""
        heartbeats.check(heartbeat)
        replica = self.controller.replica
        incarnation, sequence = heartbeat['inc'], heartbeat.get('seq')
        if sequence is None:
            heartbeats.require_not_removed(replica, incarnation)
        elif sequence < self.heartbeat_sequences.get(incarnation, 0):
            # Acknowledged without effect: the endpoint has sent a newer heartbeat since.
            callback(replies.ok())
            return
        else:
            self.heartbeat_sequences[incarnation] = sequence
        self.last_heartbeats[incarnation] = self.controller.now
        row = heartbeats.to_row(heartbeat)
        if all(
            heartbeats.is_unchanged(known, row)
            for known in (replica.get(TABLE, incarnation), replica.latest(TABLE, incarnation))
        ):
            callback(replies.ok(epoch=replica.get('meta', 'epoch') or 0))
            return
        self.controller.submit(lambda txn: self._register(txn, incarnation, row, sequence), callback, for_caller=True)

    def _register(
        self, txn: transactions.Transaction, incarnation: str, row: rows.EndpointRow, sequence: int | None
    ) -> replies.Result:
        """Within a transaction: what a heartbeat says that is new."""
        known = txn.get(TABLE, incarnation)
        if sequence is None:
            heartbeats.require_not_removed(txn, incarnation)
        elif not self._accepts_sequence(txn, incarnation, row, sequence):
            return replies.ok()
        if row['state'] == heartbeats.LEAVING:
            self.remove_endpoint(txn, incarnation)
            if sequence is not None:
                self._mark_deregistered(txn, incarnation)
            return replies.ok()
        self._drop_predecessors(txn, incarnation, row)
        registered: rows.EndpointRow = row if sequence is None else {**row, 'seq': sequence}
        if known and known.get('chill') and sequence is not None:
            if sequence == known.get('seq'):
                # The same heartbeat, retried at another leader, says nothing new of the warm-up.
                return replies.ok()
            if known['chill'] == evacuations.WARM_UP_ASSUMED:
                # One heartbeat does not end it: it may have been sent before the endpoint got cold.
                registered['chill'] = 1
        txn.put(TABLE, incarnation, known if heartbeats.is_unchanged(known, row) else registered)
        return replies.ok(epoch=txn.get('meta', 'epoch') or 0)

    def _drop_predecessors(self, txn: transactions.Transaction, incarnation: str, row: rows.EndpointRow) -> None:
        """An address has one incarnation at a time, so a newcomer proves that the one before is dead."""
        for other, its_row in txn.items(TABLE).items():
            if other != incarnation and its_row['addr'] == row['addr']:
                self.remove_endpoint(txn, other)

    def _accepts_sequence(
        self, txn: transactions.Transaction, incarnation: str, row: rows.EndpointRow, sequence: int
    ) -> bool:
        """Whether a numbered heartbeat counts, after what the state holds of its incarnation; may revive it."""
        known = txn.get(TABLE, incarnation)
        if txn.get(TOMBSTONES_TABLE, _deregistration_key(incarnation)) is not None:
            # It left by its own word, so this was sent before.
            return False
        if known and sequence < known.get('seq', 0):
            # A former leader took a newer heartbeat.
            return False
        if txn.get(TOMBSTONES_TABLE, incarnation) is not None and row['state'] != heartbeats.LEAVING:
            if any(other['addr'] == row['addr'] for other in txn.items(TABLE).values()):
                # The address has a new incarnation, which is alive, so this is a late heartbeat of a dead one.
                return False
            # Endpoints that number their heartbeats keep their incarnation, so this one was only silent.
            txn.drop(TOMBSTONES_TABLE, incarnation)
        return True

    def serve_leave(self, args: dict, callback: replies.Callback) -> None:
        """Operation `leave`: an endpoint signs off, for good."""
        incarnation = arguments.text(args, 'inc')

        def sign_off(txn: transactions.Transaction) -> replies.Result:
            self.remove_endpoint(txn, incarnation)
            self._mark_deregistered(txn, incarnation)
            return replies.ok()

        self.controller.submit(sign_off, callback, for_caller=True)

    # -- tombstones -------------------------------------------------------

    def remove_endpoint(self, txn: transactions.Transaction, incarnation: str) -> None:
        """Within a transaction: drop an endpoint's row and leave a tombstone.

        The tombstone is part of the state, because the next leader must not let a
        late heartbeat bring the incarnation back either.
        """
        self.last_heartbeats.pop(incarnation, None)
        row = txn.get(TABLE, incarnation)
        if row and row.get('plain') and row['state'] == 'draining':
            # It said that it goes, which a late heartbeat from before must not undo.
            self._mark_deregistered(txn, incarnation)
        txn.drop(TABLE, incarnation)
        txn.put(TOMBSTONES_TABLE, incarnation, txn.get('meta', 'epoch') or 0)

    def _mark_deregistered(self, txn: transactions.Transaction, incarnation: str) -> None:
        txn.put(TOMBSTONES_TABLE, _deregistration_key(incarnation), txn.get('meta', 'epoch') or 0)
