"""Placement of singleton roles: assigns each pool's credit ledger to one directory.

An owner keeps its role as long as it is a member and not shutting down. Each
change of owner has a new fencing token: the generation that assigns the owner.
"""

import hashlib

import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.messages as messages
import zinctrail.consensus.transactions as transactions
import zinctrail.control.controller_part as controller_part
import zinctrail.control.replies as replies
import zinctrail.control.rows as rows

# Each pool's credit ledger has a row in the table, under this prefix and the pool's name (rows.SingletonRoleRow).
TABLE = 'duties'
LEDGER_OWNER_PREFIX = 'keeper/'
POOL_PREFIX = 'pools/'


class SingletonRoles(controller_part.ControllerPart):
    """Places singleton roles while this node is the leader."""

    def submit_placement(self) -> None:
        """Submit a placement of the roles for the next version of the state."""

        def place(txn: transactions.Transaction) -> replies.Result:
            self.place(txn)
            return replies.ok()

        self.controller.submit(place, controller_part.ignore_result)

    def place(self, txn: transactions.Transaction) -> None:
        """Assign an owner to each pool's ledger within a transaction, and change owners only if needed."""
        directories = {node: row for node, row in txn.items('members').items() if row['role'] == member_roles.DIRECTORY}
        pools = {key.removeprefix(POOL_PREFIX) for key in txn.items('conf') if key.startswith(POOL_PREFIX)}
        for key in txn.items(TABLE):
            if key.removeprefix(LEDGER_OWNER_PREFIX) not in pools:
                txn.drop(TABLE, key)
        active = {node: row for node, row in directories.items() if not row.get('leaving')}
        for pool in sorted(pools):
            role = txn.get(TABLE, LEDGER_OWNER_PREFIX + pool)
            if role is None or role['holder'] not in (active or directories):
                self._place_ledger(txn, pool, role, directories, active)

    def _place_ledger(
        self,
        txn: transactions.Transaction,
        pool: str,
        role: rows.SingletonRoleRow | None,
        directories: dict[str, rows.MemberRow],
        active: dict[str, rows.MemberRow],
    ) -> None:
        """Assign an owner to a pool's ledger; `active` are the directories that are not shutting down."""
        zones = txn.items('cells')
        candidates = [
            node for node, row in active.items() if not (zones.get(row['cell']) or {}).get('evacuated')
        ] or list(active)
        if not candidates:
            return
        # An owner that shuts down names its successor, to which it hands over the ledger.
        successor = _successor(directories.get(role['holder']), pool) if role else None
        owner = (
            successor
            if successor in candidates
            else min(candidates, key=lambda node: hashlib.blake2b(f'{node}/{pool}'.encode()).digest())
        )
        new: rows.SingletonRoleRow = {
            'holder': owner,
            'addr': directories[owner]['addr'],
            'fence': txn.generation,
            'was': role['holder'] if role else '',
        }
        txn.put(TABLE, LEDGER_OWNER_PREFIX + pool, new)

    def on_draining(self, message: messages.Draining) -> None:
        """Handle a member's notice of shutdown: it gets no new work, and its roles go to the successors it names."""
        if not self.controller.is_leader:
            return
        node = controller_part.sender_of(message).node

        def mark(txn: transactions.Transaction) -> replies.Result:
            row = txn.get('members', node)
            if row:
                txn.put('members', node, dict(row, leaving=True, successors=message.successors))
                self.place(txn)
            return replies.ok()

        self.controller.submit(mark, controller_part.ignore_result)


def _successor(owner: rows.MemberRow | None, pool: str) -> str | None:
    """Return the successor that a pool's owner named; None if it named none, or is no longer a directory."""
    return (owner.get('successors') or {}).get(pool) if owner else None
