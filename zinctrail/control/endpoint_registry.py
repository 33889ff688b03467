"""The endpoint registry: heartbeats, registration, deregistration and tombstones.

The leader tracks when each endpoint was last seen; the replicated state changes
only if a heartbeat reports a change. A follower acknowledges a heartbeat without
a change and reports it with its next response to the leader's own heartbeat.
docs/notes/draining.md
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
    """Return the tombstone key of an incarnation that deregistered itself: no heartbeat revives it."""
    return f'{incarnation}/left'


class EndpointRegistry(controller_part.ControllerPart):
    """Handles heartbeats and (de)registration of endpoints."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        # While this node is the leader: since when, and when each incarnation was last seen.
        self.leader_since = durations.ZERO
        self.last_heartbeats: dict[str, datetime.timedelta] = {}
        # The highest sequence number of each incarnation that numbers its heartbeats.
        self.heartbeat_sequences: dict[str, int] = {}
        # The incarnations whose heartbeats this follower acknowledged since its last response to the leader.
        self.unreported_heartbeats: set[str] = set()

    def start(self) -> None:
        """Start as leader. How long endpoints have been silent is unknown, so each gets the full timeout."""
        self.leader_since = self.controller.now
        self.last_heartbeats = {}

    def last_seen_at(self, incarnation: str) -> datetime.timedelta:
        """Return when an endpoint was last seen, or when this node became the leader if it was not seen since."""
        return self.last_heartbeats.get(incarnation, self.leader_since)

    # -- heartbeats received by a follower --------------------------------

    def receive_heartbeat(self, heartbeat: dict, respond: replies.Callback) -> None:
        """Handle a heartbeat sent to this node; a follower forwards it to the leader only if it reports a change."""
        heartbeats.check(heartbeat)
        controller = self.controller
        incarnation = heartbeat['inc']
        if (
            controller.mode == 'follower'
            and controller.has_lease()
            and heartbeat['state'] != heartbeats.LEAVING
            and heartbeats.is_unchanged(controller.replica.get(TABLE, incarnation), heartbeats.to_row(heartbeat))
        ):
            self.unreported_heartbeats.add(incarnation)
            respond(replies.ok(epoch=controller.replica.get('meta', 'epoch') or 0))
        else:
            controller.request_operation('beat', heartbeat, respond)

    def pop_unreported(self) -> list[str]:
        """Return and clear the endpoints whose heartbeats were received since the last response to the leader."""
        received, self.unreported_heartbeats = self.unreported_heartbeats, set()
        return sorted(received)

    def on_heartbeat_response(self, message: messages.HeartbeatResponse) -> None:
        """Record the endpoints that a follower has seen."""
        if self.controller.is_leader and message.term == self.controller.term:
            for incarnation in message.endpoint_heartbeats or ():
                self.last_heartbeats[incarnation] = self.controller.now

    # -- operations of the leader -----------------------------------------

    def serve_heartbeat(self, heartbeat: dict, callback: replies.Callback) -> None:
        """Serve operation `beat`; refused with 410 if the incarnation was removed."""
        heartbeats.check(heartbeat)
        replica = self.controller.replica
        incarnation, sequence = heartbeat['inc'], heartbeat.get('seq')
        if sequence is None:
            heartbeats.require_not_removed(replica, incarnation)
        elif sequence < self.heartbeat_sequences.get(incarnation, 0):
            # Acknowledged without effect: a newer heartbeat of the endpoint arrived before.
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
        """Apply a changed heartbeat within a transaction."""
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
                # A retry of the same heartbeat at another leader is no new report on the warm-up.
                return replies.ok()
            if known['chill'] == evacuations.WARM_UP_ASSUMED:
                # One heartbeat does not end the warm-up: it may have been sent before the endpoint cooled down.
                registered['chill'] = 1
        txn.put(TABLE, incarnation, known if heartbeats.is_unchanged(known, row) else registered)
        return replies.ok(epoch=txn.get('meta', 'epoch') or 0)

    def _drop_predecessors(self, txn: transactions.Transaction, incarnation: str, row: rows.EndpointRow) -> None:
        """Remove earlier incarnations on an address: it has one at a time, so a new one proves the others dead."""
        for other, its_row in txn.items(TABLE).items():
            if other != incarnation and its_row['addr'] == row['addr']:
                self.remove_endpoint(txn, other)

    def _accepts_sequence(
        self, txn: transactions.Transaction, incarnation: str, row: rows.EndpointRow, sequence: int
    ) -> bool:
        """True if a numbered heartbeat is newer than the state of its incarnation; may revive a removed incarnation."""
        known = txn.get(TABLE, incarnation)
        if txn.get(TOMBSTONES_TABLE, _deregistration_key(incarnation)) is not None:
            # The endpoint deregistered itself, so this heartbeat was sent before that.
            return False
        if known and sequence < known.get('seq', 0):
            # A former leader accepted a newer heartbeat.
            return False
        if txn.get(TOMBSTONES_TABLE, incarnation) is not None and row['state'] != heartbeats.LEAVING:
            if any(other['addr'] == row['addr'] for other in txn.items(TABLE).values()):
                # The address has a new, live incarnation, so this is a delayed heartbeat of a dead one.
                return False
            # Endpoints that number their heartbeats keep their incarnation, so this one had only been unreachable.
            txn.drop(TOMBSTONES_TABLE, incarnation)
        return True

    def serve_leave(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `leave`: an endpoint deregisters permanently."""
        incarnation = arguments.text(args, 'inc')

        def sign_off(txn: transactions.Transaction) -> replies.Result:
            self.remove_endpoint(txn, incarnation)
            self._mark_deregistered(txn, incarnation)
            return replies.ok()

        self.controller.submit(sign_off, callback, for_caller=True)

    # -- tombstones -------------------------------------------------------

    def remove_endpoint(self, txn: transactions.Transaction, incarnation: str) -> None:
        """Drop an endpoint's row within a transaction, and leave a tombstone.

        The tombstone is part of the replicated state, so that a delayed heartbeat does
        not revive the incarnation at the next leader either.
        """
        self.last_heartbeats.pop(incarnation, None)
        row = txn.get(TABLE, incarnation)
        if row and row.get('plain') and row['state'] == 'draining':
            # The endpoint announced that it shuts down; a delayed earlier heartbeat must not undo that.
            self._mark_deregistered(txn, incarnation)
        txn.drop(TABLE, incarnation)
        txn.put(TOMBSTONES_TABLE, incarnation, txn.get('meta', 'epoch') or 0)

    def _mark_deregistered(self, txn: transactions.Transaction, incarnation: str) -> None:
        txn.put(TOMBSTONES_TABLE, _deregistration_key(incarnation), txn.get('meta', 'epoch') or 0)
