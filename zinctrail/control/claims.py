"""Claims: grant one proxy the right to execute a request id, so that it is executed at most once.

The rows: rows.ClaimRow, in table `claims`. docs/notes/at-most-once.md
"""

import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.control.retention as retention
import zinctrail.control.rows as rows
import zinctrail.errors as errors

TABLE = retention.CLAIMS_TABLE
OPEN, CLOSED = 'open', 'closed'
MAX_ATTEMPTS = 1000


def claim(controller: controller_part.ControlNode, txn: transactions.Transaction, args: dict) -> replies.Result:
    """Carry out operation `claim` {id, nonce, proxy, at, attempt}; `got` in the result is its outcome.

    'claimed': the caller may execute the request; 'taken': another claim is in
    force, and the result describes it; 'closed': this same claim was closed before;
    'old': the retention of the id's epoch has ended, so it can no longer be ruled
    out that the request was executed before.
    """
    request_id, nonce, proxy, address = (arguments.text(args, key) for key in ('id', 'nonce', 'proxy', 'at'))
    attempt = arguments.whole_number(args, 'attempt', 1, MAX_ATTEMPTS)
    epoch = txn.get('meta', 'epoch') or 0
    id_epoch = epoch_of(request_id)
    if id_epoch is None or id_epoch > epoch:
        raise errors.BadRequestError(f'request id must begin with an epoch that has begun (now {epoch}) and a dot')
    if id_epoch <= epoch - controller.settings.epochs_kept:
        return replies.ok(got='old')
    row: rows.ClaimRow | None = txn.get(TABLE, request_id)
    if row:
        may_claim_again = row['s'] == CLOSED and attempt > row['a']
        if row['n'] != nonce and not may_claim_again:
            return replies.ok(got='taken', by=row['p'], at=row['at'], state=row['s'], attempt=row['a'])
        if row['n'] == nonce and row['s'] == CLOSED:
            return replies.ok(got='closed')
    new: rows.ClaimRow = {'p': proxy, 'a': attempt, 'n': nonce, 'at': address, 's': OPEN, 'epoch': id_epoch}
    txn.put(TABLE, request_id, new)
    return replies.ok(got='claimed')


def close(txn: transactions.Transaction, args: dict) -> replies.Result:
    """Close a claim (operation `close` {id, nonce}): its owner has not executed the request and never will under it."""
    request_id, nonce = arguments.text(args, 'id'), arguments.text(args, 'nonce')
    row: rows.ClaimRow | None = txn.get(TABLE, request_id)
    if row is None or row['n'] != nonce:
        raise errors.ConflictError('no such claim')
    txn.put(TABLE, request_id, dict(row, s=CLOSED))
    return replies.ok()


def epoch_of(request_id: str) -> int | None:
    """Return the epoch that a request id begins with; None if the id is not of the form EPOCH.UNIQUE."""
    digits, dot, rest = request_id.partition('.')
    return arguments.epoch_number(digits) if dot and rest else None


class ClaimService(controller_part.ControllerPart):
    """Serves operations `claim` and `close`, and logs the claims of sampled requests."""

    def serve_claim(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `claim`."""
        controller = self.controller
        request_id = args.get('id')
        if isinstance(request_id, str) and controller.request_sampler.is_sampled(request_id):
            callback = self._with_logging(request_id, args, callback)
        controller.submit(lambda txn: claim(controller, txn, args), callback, for_caller=True)

    def _with_logging(self, request_id: str, args: dict, callback: replies.Callback) -> replies.Callback:
        def log_and_respond(result: replies.Result) -> None:
            outcome = result.get('got') or result['status']
            self.controller.log(
                f'Claim for request {request_id:.200}: {outcome}.',
                'claim',
                id=request_id,
                outcome=outcome,
                proxy=args.get('at'),
            )
            callback(result)

        return log_and_respond

    def serve_close(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `close`."""
        self.controller.submit(lambda txn: close(txn, args), callback, for_caller=True)
