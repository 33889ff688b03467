"""Commands that evacuate zones or end evacuations: each acts once, and none after a newer one was acknowledged.

A command carries no version of its own. The node that received the call therefore
first reads the zone's command number from the leader, and the command then takes
effect only at that number (compare-and-set); each acknowledged command raises the
number, even if it changes nothing. Delayed copies of a command find a higher
number. The rows: rows.EvacuationCommandRow, stored by voters only.
docs/notes/worst-days/orders.md
"""

import datetime
import random
import typing

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.control.rows as rows
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

TABLE = 'cell_orders'
ZONES_TABLE = 'cells'
# How many commands on a zone are accepted per epoch; further ones are refused, so that all accepted ids are stored.
MAX_COMMAND_IDS = 512
# EndpointRow.chill of an endpoint that counts as warming up until two of its heartbeats have reported otherwise.
WARM_UP_ASSUMED = 2
MAX_ZONE_LENGTH = 300
RETRY_MS = 200
RETRY_FAILED_READ_MS = 300


# -- within a transaction of the leader ---------------------------------------


def read_command_number(txn: transactions.Transaction, args: dict) -> replies.Result:
    """Return the number that the next command on a zone must be based on: operation `cell.order` {cell}."""
    return replies.ok(number=_commands(txn, _zone(args))['number'])


def apply(txn: transactions.Transaction, args: dict) -> replies.Result:
    """Evacuate a zone's endpoints, or end the evacuation: operation `cell.empty` {cell, on, id, number}.

    An evacuated zone's endpoints get no requests; its proxies keep serving. 409 with
    the current number if another command was acknowledged since `number` was read.
    """
    zone, is_evacuation = _zone(args), args.get('on')
    if not isinstance(is_evacuation, bool):
        raise errors.BadRequestError('on must be true or false')
    commands = _commands(txn, zone)
    ids, earlier_ids = commands['ids'], commands.get('past', [])
    # Nodes of earlier releases send neither an id nor a number.
    if 'id' in args:
        command_id = arguments.text(args, 'id')
        if command_id in ids or command_id in earlier_ids:
            return replies.ok()
        number = arguments.whole_number(args, 'number', 0, arguments.MAX_EXACT_INTEGER, 0)
        # Concurrent commands for the same outcome do not conflict: the zone is already in the state that they ask for.
        if number != commands['number'] and _is_emptied(txn, zone) != is_evacuation:
            raise errors.ConflictError('another order on this cell was acknowledged first', number=commands['number'])
        if len(ids) >= MAX_COMMAND_IDS:
            raise errors.UnavailableError('too many orders on this cell', retry_ms=RETRY_MS)
        ids = [*ids, command_id]
    txn.put(TABLE, zone, _commands_row(commands['number'] + 1, ids, earlier_ids))
    _set_emptied(txn, zone, is_evacuation)
    return replies.ok()


def drop_old_ids(txn: transactions.Transaction) -> None:
    """Drop the ids of commands accepted before the epoch that has just ended; called when an epoch starts.

    Each id is thus stored for at least an epoch, which is longer than a call is retried (setting `call`).
    """
    for zone, commands in txn.items(TABLE).items():
        if commands['ids'] or commands.get('past'):
            txn.put(TABLE, zone, _commands_row(commands['number'], [], commands['ids']))


def _commands_row(number: int, ids: list[str], earlier_ids: list[str]) -> rows.EvacuationCommandRow:
    row: rows.EvacuationCommandRow = {'number': number, 'ids': ids}
    if earlier_ids:
        row['past'] = earlier_ids
    return row


def _zone(args: dict) -> str:
    return arguments.text(args, 'cell', MAX_ZONE_LENGTH)


def _commands(txn: transactions.Transaction, zone: str) -> rows.EvacuationCommandRow:
    row: rows.EvacuationCommandRow | None = txn.get(TABLE, zone)
    return row if row is not None else {'number': 0, 'ids': []}


def _is_emptied(txn: transactions.Transaction, zone: str) -> bool:
    return bool((txn.get(ZONES_TABLE, zone) or {}).get('emptied'))


def _set_emptied(txn: transactions.Transaction, zone: str, is_emptied: bool) -> None:
    if _is_emptied(txn, zone) == is_emptied:
        return
    row = dict(txn.get(ZONES_TABLE, zone) or {})
    if is_emptied:
        row['emptied'] = True
    else:
        del row['emptied']
        _mark_endpoints_warming_up(txn, zone)
    txn.put(ZONES_TABLE, zone, row)


def _mark_endpoints_warming_up(txn: transactions.Transaction, zone: str) -> None:
    """Mark a zone's endpoints as warming up until their heartbeats report otherwise.

    Without requests they may have cooled down.
    """
    for incarnation, endpoint in txn.items('endpoints').items():
        if endpoint['cell'] == zone and endpoint.get('plain'):
            txn.put('endpoints', incarnation, dict(endpoint, chill=WARM_UP_ASSUMED))


class EvacuationService(controller_part.ControllerPart):
    """Serves the operations at the leader."""

    def serve_evacuation(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `cell.empty`."""
        self.controller.submit(lambda txn: apply(txn, args), callback, for_caller=True)

    def serve_command_number(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `cell.order`."""
        self.controller.read(lambda view: read_command_number(view, args), callback)


# -- at the node that received the call ---------------------------------------


class ReceivingNode(typing.Protocol):
    """The interface of the node that received the call."""

    now: datetime.timedelta
    rng: random.Random
    settings: settings.Settings


class PendingCalls(typing.Protocol):
    """The calls that are pending at that node."""

    def is_waiting(self, respond: replies.Callback) -> bool:
        """True if the caller is still waiting."""

    def request_step(
        self,
        respond: replies.Callback,
        operation: str,
        args: dict,
        callback: replies.Callback,
        timeout: datetime.timedelta,
    ) -> None:
        """Have the leader carry out one operation for the caller; `callback` gets its result."""


class EvacuationCall:
    """Forwards a caller's command to the leader: reads the zone's command number, then sends the command with it.

    Each step is taken only while the caller waits: a call that a frozen node still
    holds when it resumes has no effect once its caller is known to have disconnected.
    """

    def __init__(self, node: ReceivingNode, calls: PendingCalls, body: dict, respond: replies.Callback):
        self.node = node
        self.calls = calls
        self.command = {'cell': body.get('cell'), 'on': body.get('on')}
        self.id = f'{node.rng.getrandbits(64):x}'
        self.respond = respond
        self.deadline = node.now + node.settings.call

    def start(self) -> None:
        """Request the zone's command number."""
        self._request('cell.order', {'cell': self.command['cell']}, self._receive_number)

    def _request(self, operation: str, args: dict, then: replies.Callback) -> None:
        remaining = self.deadline - self.node.now
        if remaining <= durations.ZERO:
            self.respond(replies.refused(503, 'other orders on this cell came first', retry_ms=RETRY_MS))
            return

        def receive(result: replies.Result) -> None:
            if self.calls.is_waiting(self.respond):
                then(result)

        self.calls.request_step(self.respond, operation, args, receive, remaining)

    def _receive_number(self, result: replies.Result) -> None:
        if result['status'] == 200:
            self._send_command(result['number'])
        elif result['status'] == 404:
            # A leader of an earlier release does not support command numbers.
            self._request('cell.empty', self.command, self.respond)
        elif result['status'] == 504:
            # The result is unknown, but only a read was requested, so nothing was changed.
            self.respond(replies.refused(503, result.get('fault', ''), retry_ms=RETRY_FAILED_READ_MS))
        else:
            self.respond(result)

    def _send_command(self, number: int) -> None:
        self._request('cell.empty', {**self.command, 'id': self.id, 'number': number}, self._receive_result)

    def _receive_result(self, result: replies.Result) -> None:
        if result['status'] == 409 and 'number' in result:
            self._send_command(result['number'])
        else:
            self.respond(result)
