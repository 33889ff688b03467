"""Operations on the configuration: the operators' document and the items for open traffic.

A caller that changes the document may wait until every member has applied the change.
"""

import dataclasses
import datetime

import zinctrail.consensus.member as member
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.results as results
import zinctrail.consensus.transactions as transactions
import zinctrail.control.configuration as configuration
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.configuration_size as configuration_size
import zinctrail.control.controller_part as controller_part
import zinctrail.control.coordination as coordination
import zinctrail.control.replies as replies
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.process_limits as process_limits

# How often pending changes are checked for having been applied by every member.
IN_FORCE_POLL = durations.ms(50)


@dataclasses.dataclass
class PendingChange:
    """A committed change whose caller waits until every member has applied it."""

    version: tuple[int, int]
    committed_at: datetime.timedelta
    result: replies.Result
    callback: replies.Callback


class ConfigurationChanges(controller_part.ControllerPart):
    """Serves the operations, and tracks pending changes while this node is the leader."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        self.pending: list[PendingChange] = []
        self.size = configuration_size.ConfigurationSize()

    # -- the operators' document ------------------------------------------

    def serve_apply(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `config.apply`: replace the document; with `wait`, respond once all members applied it."""
        document, base, waits = args.get('config'), args.get('base'), args.get('wait', False)
        if isinstance(base, bool) or not isinstance(base, int):
            raise errors.BadRequestError('base must be the generation that the change was based on')
        controller = self.controller

        def apply(node: controller_part.ControlNode, txn: transactions.Transaction, arguments: dict) -> replies.Result:
            return configuration.apply(txn, document, base)

        def committed(result: replies.Result) -> None:
            if result['status'] == 200 and waits:
                version = member.as_version(controller.replica.get('meta', 'routes'))
                self.pending.append(PendingChange(version, controller.now, result, callback))
                self.respond_to_applied()
            else:
                callback(result)

        # Carried out once per id: the response to an accepted change may be lost, and others may change the
        # configuration before the retry.
        controller.submit(
            lambda txn: coordination.run_once(controller, txn, 'config.apply', args, apply),
            committed,
            for_caller=True,
        )

    def respond_to_applied(self) -> None:
        """Respond to the callers whose changes every member has applied."""
        controller = self.controller
        # A callback may add a change, which goes through the pending ones as well.
        changes, self.pending = self.pending, []
        for change in changes:
            behind = self._members_behind(change.version)
            # A member that has not applied the change within the lease has lost its lease and stopped serving.
            if not behind or controller.now - change.committed_at > controller.settings.lease:
                change.callback(dict(change.result, in_force=True, lapsed=behind))
            else:
                self.pending.append(change)
        if self.pending:
            controller.set_timer('changes_in_force', IN_FORCE_POLL)

    def _members_behind(self, version: tuple[int, int]) -> list[str]:
        """Return the members that act on routes and have not yet applied a version."""
        return [
            node
            for node, peer in self.controller.peers.items()
            if peer.role != member_roles.CONTROL_NODE and peer.committed < version
        ]

    def abandon(self) -> None:
        """Respond to all waiting callers when leadership is lost: it is unknown whether their changes are applied."""
        pending, self.pending = self.pending, []
        for change in pending:
            change.callback(results.LOST)

    def serve_get(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `config.get`: return the document and the generation that a change must be based on."""

        def read(view: transactions.Transaction) -> replies.Result:
            return replies.ok(
                generation=view.get('meta', 'conf') or 0,
                config=configuration.from_rows(view.items('conf'), view.items('cells')),
            )

        self.controller.read(read, callback)

    def serve_check(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `config.check`: validate a document."""
        configuration.require_valid(args.get('config'))
        callback(replies.ok())

    # -- items for open traffic -------------------------------------------

    def serve_items(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `items.apply`: set and drop items."""
        max_bytes = process_limits.max_configuration_bytes(self.controller.settings)

        def apply(txn: transactions.Transaction) -> replies.Result:
            result = configuration_items.apply(txn, args.get('change'))
            self.size.check(txn, max_bytes)
            return result

        self.controller.submit(apply, callback, for_caller=True)

    def serve_items_get(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `items.get`: return all items."""
        self.controller.read(
            lambda view: replies.ok(items=configuration_items.read(view), generation=view.generation), callback
        )
