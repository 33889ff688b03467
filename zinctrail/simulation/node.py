"""A simulated process of the system, which hosts a state machine as transport.host does."""

import datetime
import random
import typing

import twisted.internet.defer as defer

import zinctrail.consensus.node_location as node_location
import zinctrail.control.controller as controller
import zinctrail.directory.daemon as daemon
import zinctrail.errors as errors
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.state_machine as state_machine
import zinctrail.simulation.disk as disk

if typing.TYPE_CHECKING:
    import zinctrail.simulation.world as simulated_world

STATE_MACHINES = {'dir': daemon.Directory, 'prox': proxy_node.Proxy}
# Added to the time of a timer on a drifting clock, because rounding must not make it fire early.
ROUNDING = datetime.timedelta(microseconds=2)


class ProcessEvent(typing.NamedTuple):
    """An external event of a process: start, stop, exit, kill, pause or reset."""

    at: datetime.timedelta
    name: str
    kind: str
    until: datetime.timedelta


class LogRecord(typing.NamedTuple):
    """A line that a process logged, and its fields."""

    at: datetime.timedelta
    text: str
    fields: dict


class Node:
    """A process of the system, with its disk and its clock."""

    # Called with (node, effect) for every effect; set by tools that record effects.
    observer: typing.Callable[['Node', typing.Any], typing.Any] | None = None

    def __init__(self, world: 'simulated_world.World', name: str, role: str, location: node_location.NodeLocation):
        self.world = world
        self.name = name
        self.role = role
        self.location = location
        self.disk = disk.Disk()
        # The state machine of the role; None before the first start.
        self.machine: typing.Any = None
        self.up = False
        # Incremented at each start and each end; inputs for an earlier incarnation are dropped.
        self.incarnation = 0
        # The end of the current pause, and the inputs that arrived during it.
        self.paused: datetime.timedelta | None = None
        self.queued_inputs: list[tuple[str, tuple]] = []
        # The time of the next scheduled wake-up.
        self.wake_at: datetime.timedelta | None = None
        # Callbacks of HTTP requests without a response yet, by request id.
        self.requests: dict[int, typing.Callable] = {}
        # Calls to endpoints without a result yet, by fetch id.
        self.fetches: dict[int, defer.Deferred] = {}
        # Log lines with their times; `log_records` also has their fields.
        self.logs: list[tuple[datetime.timedelta, str]] = []
        self.log_records: list[LogRecord] = []
        self.exited = False
        # Whether new connections of open traffic are refused.
        self.refuses_connections = False
        # The log level of the state machine; None for its default.
        self.level: typing.Any = None
        # The rate of this machine's clock; 1.0 is exact.
        self.clock_rate = 1.0
        # Whether the machine is lost permanently; it then never starts again.
        self.destroyed = False

    # -- start and end -----------------------------------------------------

    def start(self) -> None:
        """Start the process from its disk; does nothing if the machine is lost permanently."""
        if self.destroyed:
            return
        self.incarnation += 1
        self.world.record_event(self.name, 'start')
        self.up = True
        self.paused = None
        self.queued_inputs = []
        self.wake_at = None
        self.exited = False
        self.refuses_connections = False
        self.machine = self.new_machine(random.Random(f'{self.world.seed}/{self.name}/{self.incarnation}'))
        # Later starts are not part of the first start of the whole system.
        self.location.first_start = False
        # An exception is a defect that a run must show, whoever could bear it.
        self.machine.guard.passes_on = True
        if self.level is not None:
            self.machine.level = self.level
        self.feed('start')

    def new_machine(self, rng: random.Random) -> state_machine.StateMachine:
        """Create the state machine of this role; a control node whose files are damaged starts empty."""
        settings = self.world.settings
        if self.role != 'core':
            return STATE_MACHINES[self.role](self.location, settings, rng)
        try:
            return controller.Controller(self.location, settings, rng, dict(self.disk.files))
        except errors.CorruptionError as error:
            self.world.log(f'{self.name}: discards its damaged files: {error}')
            self.disk.files = {}
            self.location.first_start = False
            return controller.Controller(self.location, settings, rng, {})

    def kill(self, power: bool = False) -> None:
        """End the process at once; with `power`, also lose unsynced writes, as in a power loss."""
        if not self.up:
            return
        self.world.record_event(self.name, 'exit' if self.exited else 'kill')
        self.up = False
        self.incarnation += 1
        if power:
            self.disk.lose_power()
        for callback in self.requests.values():
            callback(effects.HttpResult(fault='connection lost'))
        self.requests = {}
        # The kernel closes the connections of a dead process, and its peers notice; so do endpoints, unless the machine
        # lost power.
        if not power:
            for deferred in self.fetches.values():
                self.world.after(self.world.delay(), self.world.abandon_call, deferred)
        self.fetches = {}
        for other in self.world.nodes.values():
            if other.up and other is not self and not self.world.is_cut(self.name, other.name):
                self.world.after(
                    self.world.delay(), other.feed_incarnation, other.incarnation, 'lost', self.location.addr
                )

    def pause(self, length: datetime.timedelta) -> None:
        """Pause the process, as if it was stopped or got no CPU time; its inputs are queued."""
        self.world.record_event(self.name, 'pause', self.world.now + length)
        self.paused = self.world.now + length
        self.world.at(self.paused, self.resume)

    def resume(self) -> None:
        """End the pause if its time is over, and feed the queued inputs."""
        if self.paused is not None and self.world.now >= self.paused:
            self.paused = None
            queued = self.queued_inputs
            self.queued_inputs = []
            for kind, args in queued:
                self.feed(kind, *args)
            self.set_wake_up()

    # -- inputs ------------------------------------------------------------

    def feed_incarnation(self, incarnation: int, kind: str, *args: typing.Any) -> None:
        """Feed an input if the process is still the given incarnation."""
        if incarnation == self.incarnation:
            self.feed(kind, *args)

    def feed(self, kind: str, *args: typing.Any) -> None:
        """Feed an input to the state machine and carry out its effects in order."""
        if not self.up:
            return
        if self.paused is not None:
            self.queued_inputs.append((kind, args))
            return
        self.world.inputs += 1
        if kind == 'stop':
            self.world.record_event(self.name, 'stop')
        for effect in self.machine.feed(kind, self.world.now * self.clock_rate, *args):
            if self.observer:
                self.observer(self, effect)
            if not isinstance(effect, effects.DISK_EFFECTS):
                EFFECTS[type(effect)](self, effect)
            elif not self.write(effect):
                break
            elif not self.up:
                return
        self.set_wake_up()

    def write(self, effect: effects.Write | effects.WriteChunk | effects.CommitChunks) -> bool:
        """Carry out a disk write; returns False if the disk refused it. The machine may lose power after the write."""
        try:
            self.disk.carry_out(effect)
        except errors.DiskError as error:
            self.world.after(durations.ZERO, self.feed_incarnation, self.incarnation, 'disk_fault', str(error))
            return False
        if self.disk.stall:
            # The whole process waits for its disk, since it runs a single-threaded event loop.
            self.pause(self.disk.stall)
        if self.world.power_loss_after_write and self.world.power_loss_after_write(self, effect):
            self.kill(power=True)
        return True

    def call(self, call: effects.HttpRequest, callback: typing.Callable, kind: str = 'http') -> int:
        """Receive an HTTP request; returns its id. `callback` gets the result."""
        self.world.sequence += 1
        request_id = self.world.sequence
        self.requests[request_id] = callback
        self.feed(kind, request_id, call)
        return request_id

    def hang_up(self, request_id: int) -> None:
        """Tell the process that the caller of a request closed its connection."""
        if self.requests.pop(request_id, None) is not None:
            self.feed('hung_up', request_id)

    # -- timers ------------------------------------------------------------

    def set_wake_up(self) -> None:
        """Schedule a wake-up at the next timer of the state machine, unless an earlier one is scheduled."""
        if not self.up or self.paused is not None:
            return
        due = self.machine.next_timer()
        if due is None:
            return
        if self.clock_rate != 1.0:
            due = due / self.clock_rate + ROUNDING
        if self.wake_at is None or due < self.wake_at:
            self.wake_at = max(due, self.world.now)
            self.world.at(self.wake_at, self.wake, self.incarnation, self.wake_at)

    def wake(self, incarnation: int, due: datetime.timedelta) -> None:
        """Fire the timers that are due, unless this wake-up was superseded."""
        if incarnation != self.incarnation or self.wake_at != due:
            return
        self.wake_at = None
        if self.paused is None:
            self.feed('wake')

    # -- effects -----------------------------------------------------------

    def do_send(self, effect: effects.Send) -> None:
        """Send a frame."""
        self.world.carry(self, effect.address, effect.frame, effect.may_compress)

    def do_response(self, effect: effects.HttpResponse) -> None:
        """Respond to an HTTP request, unless its caller has closed the connection."""
        callback = self.requests.pop(effect.request_id, None)
        if callback:
            callback(effects.HttpResult(effect.status, dict(effect.headers), effect.body))

    def do_fetch(self, effect: effects.HttpFetch) -> None:
        """Call an endpoint; the result is fed as an input."""
        deferred = self.world.fetch_endpoint(self.name, effect)
        incarnation = self.incarnation

        def received(result: effects.HttpResult) -> None:
            """Feed the result, unless the process has ended or has cancelled the call."""
            if incarnation == self.incarnation and self.fetches.pop(effect.fetch_id, None) is not None:
                self.feed('fetched', effect.fetch_id, result)

        self.fetches[effect.fetch_id] = deferred
        deferred.addCallback(received)

    def do_cancel(self, effect: effects.CancelFetch) -> None:
        """Close the connection of a call; its endpoint notices after the network delay."""
        deferred = self.fetches.pop(effect.fetch_id, None)
        if deferred is not None:
            self.world.after(self.world.delay(), self.world.abandon_call, deferred)

    def do_log(self, effect: effects.Log) -> None:
        """Store a log line, and add it to the world's log."""
        self.logs.append((self.world.now, effect.text))
        self.log_records.append(LogRecord(self.world.now, effect.text, effect.fields))
        self.world.log(f'{self.name}: {effect.text}')

    def do_notify_durable(self, effect: effects.NotifyDurable) -> None:
        """Report that a write is durable, as a separate input."""
        self.world.after(durations.ZERO, self.feed_incarnation, self.incarnation, 'done', effect.name)

    def do_drain(self, effect: effects.DrainOpenTraffic) -> None:
        """Refuse new connections of open traffic if the proxy stops listening for them."""
        self.refuses_connections = self.refuses_connections or effect.stops_listening

    def do_exit(self, effect: effects.Exit) -> None:
        """End the process at its own request."""
        self.exited = True
        self.kill()

    def ignore_effect(self, effect: typing.Any) -> None:
        """Ignore an effect that only concerns real sockets."""


class Ingress:
    """The address at which a proxy accepts open traffic."""

    def __init__(self, node: Node):
        self.node = node
        self.name = node.name

    up = property(lambda self: self.node.up and not self.node.refuses_connections)
    incarnation = property(lambda self: self.node.incarnation)
    refuses_connections = property(lambda self: self.node.refuses_connections)

    def call(self, call: effects.HttpRequest, callback: typing.Callable) -> int:
        """Hand a request of open traffic to the proxy; returns its id."""
        return self.node.call(call, callback, 'front')

    def hang_up(self, request_id: int) -> None:
        """Tell the proxy that the caller of a request closed its connection."""
        self.node.hang_up(request_id)


EFFECTS: dict[type, typing.Callable[[Node, typing.Any], None]] = {
    effects.Send: Node.do_send,
    effects.HttpResponse: Node.do_response,
    effects.HttpFetch: Node.do_fetch,
    effects.CancelFetch: Node.do_cancel,
    effects.CloseConnections: Node.ignore_effect,
    effects.Log: Node.do_log,
    effects.NotifyDurable: Node.do_notify_durable,
    effects.DrainOpenTraffic: Node.do_drain,
    effects.Limits: Node.ignore_effect,
    effects.Exit: Node.do_exit,
}
