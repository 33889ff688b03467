"""Evacuations of zones and their withdrawals: each order acts once, and none after a newer one was acknowledged.

An evacuation carries nothing that orders it among others. So the node that
received the call first reads the zone's order number from the leader, and the
order then acts only on that number; each order that is acknowledged raises it,
also one that changes nothing. Copies of an order that are still on their way
find a higher number. The rows: rows.EvacuationOrderRow, kept by voters alone.
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
# How many orders on a zone are taken within an epoch; further ones are refused, so that all that were taken are known.
MAX_COMMAND_IDS = 512
# EndpointRow.chill of an endpoint that counts as cold until two heartbeats of its own have said otherwise.
WARM_UP_ASSUMED = 2
MAX_ZONE_LENGTH = 300
RETRY_MS = 200
RETRY_UNREAD_MS = 300


# -- within a transaction of the leader ---------------------------------------


def read_number(txn: transactions.Transaction, args: dict) -> replies.Result:
    """Operation `cell.order` {cell}: the number that the next order on a zone has to be based on."""
    return replies.ok(number=_commands(txn, _zone(args))['number'])


def apply(txn: transactions.Transaction, args: dict) -> replies.Result:
    """Operation `cell.empty` {cell, on, id, number}: send no requests to a zone's endpoints, or take that back.

    The zone's proxies go on. 409 with the present number if another order was
    acknowledged since `number` was read.
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
        # Orders that race for the same end need not wait for each other: at this moment it is as they want it.
        if number != commands['number'] and _is_emptied(txn, zone) != is_evacuation:
            raise errors.ConflictError('another order on this cell was acknowledged first', number=commands['number'])
        if len(ids) >= MAX_COMMAND_IDS:
            raise errors.UnavailableError('too many orders on this cell', retry_ms=RETRY_MS)
        ids = [*ids, command_id]
    txn.put(TABLE, zone, _commands_row(commands['number'] + 1, ids, earlier_ids))
    _set_emptied(txn, zone, is_evacuation)
    return replies.ok()


def drop_old_ids(txn: transactions.Transaction) -> None:
    """At the begin of an epoch, forget the orders that were taken before the epoch that has ended.

    So each is known for an epoch at least, which is longer than a call is sent again for (setting `call`).
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
    """They may have got cold while nobody sent them requests; their next heartbeats tell."""
    for incarnation, endpoint in txn.items('endpoints').items():
        if endpoint['cell'] == zone and endpoint.get('plain'):
            txn.put('endpoints', incarnation, dict(endpoint, chill=WARM_UP_ASSUMED))


class EvacuationService(controller_part.ControllerPart):
    """The operations that a leader does."""

    def serve_evacuation(self, args: dict, callback: replies.Callback) -> None:
        """Operation `cell.empty`."""
        self.controller.submit(lambda txn: apply(txn, args), callback, for_caller=True)

    def serve_number(self, args: dict, callback: replies.Callback) -> None:
        """Operation `cell.order`."""
        self.controller.read(lambda view: read_number(view, args), callback)


# -- at the node that received the call ---------------------------------------


class CalledNode(typing.Protocol):
    """What an order needs of the node that received the call."""

    now: datetime.timedelta
    rng: random.Random
    settings: settings.Settings


class WaitingCalls(typing.Protocol):
    """The calls that wait at that node."""

    def is_waiting(self, respond: replies.Callback) -> bool:
        """Whether the caller still waits."""

    def request_step(
        self,
        respond: replies.Callback,
        operation: str,
        args: dict,
        callback: replies.Callback,
        timeout: datetime.timedelta,
    ) -> None:
        """Have the leader do one operation for the caller; `callback` gets its result."""


class EvacuationCall:
    """A caller's order on its way to the leader: reads the zone's number, then acts on it.

    Each step is taken only while the caller waits. A copy of the call that a
    frozen node finds when it goes on does not act, once its caller is known to have gone.
    """

    def __init__(self, node: CalledNode, calls: WaitingCalls, body: dict, respond: replies.Callback):
        self.node = node
        self.calls = calls
        self.commands = {'cell': body.get('cell'), 'on': body.get('on')}
        self.id = f'{node.rng.getrandbits(64):x}'
        self.respond = respond
        self.until = node.now + node.settings.call

    def start(self) -> None:
        """Take the first step."""
        self._request('cell.order', {'cell': self.commands['cell']}, self._number_read)

    def _request(self, operation: str, args: dict, then: replies.Callback) -> None:
        left = self.until - self.node.now
        if left <= durations.ZERO:
            self.respond(replies.refused(503, 'other orders on this cell came first', retry_ms=RETRY_MS))
            return

        def receive(result: replies.Result) -> None:
            if self.calls.is_waiting(self.respond):
                then(result)

        self.calls.request_step(self.respond, operation, args, receive, left)

    def _number_read(self, result: replies.Result) -> None:
        if result['status'] == 200:
            self._act(result['number'])
        elif result['status'] == 404:
            # A leader of an earlier release, which knows no numbers.
            self._request('cell.empty', self.commands, self.respond)
        elif result['status'] == 504:
            # The result is unknown, but only a read was requested, so that nothing was done.
            self.respond(replies.refused(503, result.get('fault', ''), retry_ms=RETRY_UNREAD_MS))
        else:
            self.respond(result)

    def _act(self, number: int) -> None:
        self._request('cell.empty', {**self.commands, 'id': self.id, 'number': number}, self._acted)

    def _acted(self, result: replies.Result) -> None:
        if result['status'] == 409 and 'number' in result:
            self._act(result['number'])
        else:
            self.respond(result)
