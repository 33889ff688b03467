"""Watches: operations to which the leader responds once there are matching events, or at their timeout."""

import dataclasses
import datetime
import typing

import zinctrail.consensus.replica as replica
import zinctrail.consensus.results as results
import zinctrail.consensus.transactions as transactions
import zinctrail.control.arguments as arguments
import zinctrail.control.controller_part as controller_part
import zinctrail.control.coordination as coordination
import zinctrail.control.keys as keys
import zinctrail.control.registers as registers
import zinctrail.control.replies as replies
import zinctrail.control.watch_calls as watch_calls
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations

KEY_WATCH, REGISTER_WATCH = 'key.watch', 'cell.watch'
OPERATIONS = (KEY_WATCH, REGISTER_WATCH)
MAX_WAIT_MS = 60000
# The delay between an event's coming into force and the responses, so that all watches are served in one pass.
EVENT_DELAY = durations.ms(1)
# The tables of the events for which watches of keys and of registers wait.
EVENT_TABLES = (keys.EVENTS_TABLE, registers.CHANGES_TABLE)


@dataclasses.dataclass
class Watch:
    """A watch that waits for events."""

    operation: str
    arguments: dict
    callback: replies.Callback
    deadline: datetime.timedelta
    # True if its caller disconnected.
    is_cancelled: bool = False

    @property
    def watcher(self) -> typing.Any:
        """What identifies the watch; None if its caller's process belongs to an earlier release."""
        return self.arguments.get(watch_calls.WATCHER)

    def waits_for_events(self) -> bool:
        """True if the watch waits for events; a watch of registers without a revision only asks for the current one."""
        return self.operation == KEY_WATCH or bool(self.arguments.get('since'))

    def skip_to(self, head: int) -> None:
        """Skip the events up to revision `head`, so that they are not read again: none matches this watch."""
        self.arguments = dict(self.arguments, since=max(self.arguments.get('since', 0), head))


class Watches(controller_part.ControllerPart):
    """The pending watches while this node is the leader."""

    def __init__(self, controller: controller_part.ControlNode):
        super().__init__(controller)
        self.waiting: list[Watch] = []
        # {what identifies a watch: the watch}, while it reads the events that there are.
        self.starting: dict[str, Watch] = {}

    def serve(self, operation: str, args: dict, callback: replies.Callback) -> None:
        """Respond to a watch at once if it has matching events, else let it wait; 503 if there are too many watches."""
        controller = self.controller
        wait_ms = arguments.whole_number(args, 'wait_ms', 0, MAX_WAIT_MS, 0)
        watch = Watch(operation, args, callback, controller.now + durations.ms(wait_ms))
        if len(self.waiting) >= controller.settings.queue_most:
            raise errors.UnavailableError('too many watches', retry_ms=watch_calls.RETRY_TOO_MANY_MS)
        if isinstance(watch.watcher, str):
            self.starting[watch.watcher] = watch
        controller.read(self._reader(watch), lambda result: self._respond_or_wait(watch, result))

    def serve_cancel(self, args: dict, callback: replies.Callback) -> None:
        """Serve operation `watch.cancel`: drop a watch whose caller has disconnected."""
        watcher = arguments.text(args, watch_calls.WATCHER)
        starting = self.starting.get(watcher)
        if starting is not None:
            starting.is_cancelled = True
        cancelled = [watch for watch in self.waiting if watch.watcher == watcher]
        self.waiting = [watch for watch in self.waiting if watch.watcher != watcher]
        for watch in cancelled:
            watch.callback(replies.ok())
        callback(replies.ok())

    def _reader(self, watch: Watch) -> transactions.Work:
        """Return the work that reads the events that a watch waits for."""

        def read(view: transactions.Transaction) -> replies.Result:
            return coordination.run(self.controller, view, watch.operation, watch.arguments)

        return read

    def _respond_or_wait(self, watch: Watch, result: replies.Result) -> None:
        if isinstance(watch.watcher, str):
            self.starting.pop(watch.watcher, None)
        has_events = result['status'] != 200 or result['events']
        is_overdue = self.controller.now >= watch.deadline
        if (
            watch.is_cancelled
            or has_events
            or is_overdue
            or not self.controller.is_leader
            or not watch.waits_for_events()
        ):
            watch.callback(result)
            return
        if watch.operation == KEY_WATCH:
            watch.skip_to(result['head'])
        self.waiting.append(watch)

    def schedule_responses(self, rows: replica.Rows | None) -> None:
        """Schedule responses to watches if the rows that came into force contain events."""
        if any(row[0] in EVENT_TABLES for row in rows or ()):
            self.controller.set_timer('events', EVENT_DELAY)

    def respond_with_events(self) -> None:
        """Respond to the watches with matching events."""
        controller = self.controller
        watches, self.waiting = self.waiting, []
        view = transactions.View(controller.replica, controller.replica.committed, controller.now, controller.guard)
        for watch in watches:
            # Events are returned without a quorum round: committed events stay committed under any leader. Only their
            # absence has to be confirmed.
            result = view.run(self._reader(watch))
            if result['status'] != 200 or result['events']:
                watch.callback(result)
            else:
                self.waiting.append(watch)

    def respond_to_overdue(self) -> None:
        """Respond to the watches that have timed out, with the events so far."""
        now = self.controller.now
        overdue = [watch for watch in self.waiting if watch.deadline <= now]
        self.waiting = [watch for watch in self.waiting if watch.deadline > now]
        for watch in overdue:
            self.controller.read(self._reader(watch), watch.callback)

    def abandon(self) -> None:
        """Refuse all watches when leadership is lost, so that they continue at the next leader."""
        watches, self.waiting = self.waiting, []
        self.starting.clear()
        for watch in watches:
            watch.callback(results.NO_LEADER)
