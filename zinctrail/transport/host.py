"""The host of a state machine: feeds it inputs, and carries out its effects with sockets, files and timers."""

import collections
import datetime
import json
import resource
import typing

import twisted.internet.defer as defer
import twisted.internet.task as task
import twisted.python.failure as failure
from absl import logging

import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.metrics as metrics
import zinctrail.runtime.process_limits as process_limits
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.runtime.settings as settings
import zinctrail.transport.client_connections as client_connections
import zinctrail.transport.clock as clock
import zinctrail.transport.dialect as transport_dialect
import zinctrail.transport.endpoint_client as endpoint_client
import zinctrail.transport.header_names as header_names
import zinctrail.transport.http_client as http_client
import zinctrail.transport.open_traffic_server as open_traffic_server
import zinctrail.transport.payload as payload
import zinctrail.transport.peer_connections as peer_connections
import zinctrail.transport.process_exit as process_exit
import zinctrail.transport.twisted_types as twisted_types
import zinctrail.transport.web as web

# The exit code after an exception in a state machine with a disk (EX_SOFTWARE of sysexits.h: an internal error).
EXIT_INTERNAL_ERROR = 70
# The interval at which the idle connections to endpoints are checked for timeouts.
IDLE_SWEEP_S = 1.0
# An input that takes longer than this is logged, since a slow write or handler blocks everything else on the loop.
STALL = datetime.timedelta(milliseconds=200)


class ListeningLocation(typing.Protocol):
    """The addresses that a process listens on: for frames, for HTTP, and for open traffic ('' for none)."""

    addr: str
    http: str
    front: str


class EffectDisk(typing.Protocol):
    """The interface of disk.Disk and of its simulation: it carries out disk effects."""

    def carry_out(self, effect: typing.Any) -> None:
        """Carry out one of `effects.DISK_EFFECTS`; raises DiskError if the write did not reach the disk."""


class HostedMachine(typing.Protocol):
    """The interface that a host requires of its state machine."""

    # The process's name in its log lines, and its current role in the cluster.
    prefix: str
    mode: str
    location: ListeningLocation
    settings: settings.Settings
    request_sampler: request_sampling.RequestSampler
    # Set by the host: returns the host's counters for the status pages.
    figures: typing.Callable[[], dict[str, typing.Any]]

    def feed(self, kind: str, now: datetime.timedelta, *args: typing.Any) -> list:
        """Handle one input, and return its effects."""

    def next_timer(self) -> datetime.timedelta | None:
        """Return the time at which to feed `wake` next, or None if no timer is set."""

    def measures(self) -> typing.Iterator[metrics.Metric]:
        """Yield the state machine's rows of the metrics page."""


class Host:
    """Runs one state machine: feeds it inputs in order, and carries out the effects that it returns."""

    def __init__(
        self,
        machine: HostedMachine,
        reactor: twisted_types.Reactor,
        disk: EffectDisk | None = None,
        dialect: typing.Any = None,
        api_addresses: typing.Sequence[str] = (),
        figures_interval_s: float = 0,
    ) -> None:
        """
        :param disk: carries out disk effects; None for a state machine that stores nothing.
        :param dialect: an `IDialect`, by default our own.
        :param api_addresses: further addresses at which the API is served, in the dialect.
        :param figures_interval_s: seconds between two log lines with the process's counters; 0 for none.
        """
        self.dialect = dialect or transport_dialect.NativeDialect()
        self.api_listeners = [web.DialectResource(self, addr) for addr in api_addresses]
        # Set if the state machine accepts open traffic.
        self.open_server: open_traffic_server.OpenTrafficServer | None = None
        self.machine = machine
        self.reactor = clock.use_steady_clock(reactor)
        self.disk = disk
        self.peers = peer_connections.PeerConnections(
            reactor,
            machine.settings.frame_most,
            lambda frame: self.feed('recv', frame),
            lambda addr: self.feed('lost', addr),
        )
        self.api = web.ApiResource(self)
        self.http_client = http_client.HttpClient(reactor, verifies=True)
        header_names.limit_cache()
        limits = process_limits.process_limits(machine.settings)
        self.clients = client_connections.ClientConnections(limits, reactor)
        self.process_exit = process_exit.ProcessExit(
            self.reactor, self.clients, self.has_open_connections, self.end_inputs
        )
        self.endpoint_client = endpoint_client.EndpointClient(
            reactor, self.clients.account, limits.endpoint_connections
        )
        # {fetch id: outstanding call to an endpoint}.
        self.fetches: dict[int, defer.Deferred[effects.HttpResult]] = {}
        # Inputs that are queued to be fed: (kind, arguments).
        self.inputs: collections.deque[tuple[str, tuple]] = collections.deque()
        self.is_feeding = False
        # The delayed call that feeds the next `wake` input, and the time at which it is due.
        self.wake_up: typing.Any = None
        self.wake_up_at: datetime.timedelta | None = None
        self.has_ended = False
        self.exit_code = 0
        self.stats: collections.Counter[str] = collections.Counter()
        self.figures_interval_s = figures_interval_s
        machine.figures = self.figures

    def figures(self) -> dict:
        """Return the host's own counters, for the status pages."""
        return {
            **self.stats,
            'opened': self.http_client.connector.opened,
            'asked': self.http_client.verifications,
            'relayed_over': self.endpoint_client.opened,
            'frames': self.peers.sent_frames,
            'bytes': self.peers.sent_bytes,
            'wire_bytes': self.peers.wire_bytes,
            'kinds': dict(self.peers.sent_bytes_by_kind),
            'sent': dict(self.peers.sent_by_kind),
            'got': dict(self.peers.received_by_kind),
            'got_bytes': self.peers.received_bytes,
            'rss_kb': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        }

    def log_figures(self) -> None:
        """Log one line with the process's counters and resource usage since its start."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        figures = {
            'mode': self.machine.mode,
            'cpu_ms': round(1000 * (usage.ru_utime + usage.ru_stime)),
            'counts': dict(getattr(self.machine, 'counts', ())),
            **self.figures(),
        }
        logging.info('%s: Figures %s.', self.machine.prefix, json.dumps(figures))

    def start(self) -> None:
        """Listen on all addresses and feed the first input.

        :raises zinctrail.errors.SettingsError: listening on an address failed.
        """
        try:
            self._listen()
        except Exception as error:
            raise errors.SettingsError(f'can not listen: {error}') from error
        if self.figures_interval_s:
            call_periodically(self.log_figures, self.figures_interval_s)
        self.reactor.addSystemEventTrigger('before', 'shutdown', self.shutdown)
        self.feed('start')

    def _listen(self) -> None:
        location = self.machine.location
        self.peers.listen(location.addr)
        # Requests and configurations arrive at the same API, so the larger of the two limits applies.
        body_limit_bytes = max(self.machine.settings.body_most, self.machine.settings.config_most)
        for root, addr in [(self.api, location.http), *((listener, listener.addr) for listener in self.api_listeners)]:
            host, port = peer_connections.split_address(addr)
            site = web.make_site(root, body_limit_bytes, self.reactor, self.clients)
            self.reactor.listenTCP(port, site, interface=host)
        call_periodically(self.clients.sweep, client_connections.SWEEP_S)
        if location.front:
            host, port = peer_connections.split_address(location.front)
            self.open_server = open_traffic_server.OpenTrafficServer(self, self.dialect, self.reactor, self.clients)
            self.open_server.listen(port, host)
            call_periodically(self.endpoint_client.sweep, IDLE_SWEEP_S)

    def now(self) -> datetime.timedelta:
        """Return the current time, with which inputs are fed."""
        return clock.now()

    def feed(self, kind: str, *args: typing.Any) -> None:
        """Feed an input to the state machine and carry out its effects.

        Carrying out an effect may produce another input. Inputs are queued, so
        that it is fed only after all effects of the current one.
        """
        if self.has_ended:
            return
        self.inputs.append((kind, args))
        if self.is_feeding:
            return
        self.is_feeding = True
        try:
            while self.inputs:
                kind, args = self.inputs.popleft()
                began = self.now()
                try:
                    self.run(self.machine.feed(kind, began, *args))
                except Exception:
                    self.handler_failed(kind)
                took = self.now() - began
                if took > STALL:
                    self.log_stall(kind, took)
        finally:
            self.is_feeding = False
        self.set_wake_up()

    def log_stall(self, kind: str, took: datetime.timedelta) -> None:
        """Log and count an input that blocked the event loop for longer than `STALL`."""
        self.stats['stalls'] += 1
        logging.warning(
            '%s: event loop blocked for %d ms by input %s.',
            self.machine.prefix,
            durations.to_ms(took),
            kind,
            extra={'fields': {'event': 'stall', 'ms': durations.to_ms(took), 'input': kind}},
        )

    def handler_failed(self, kind: str) -> None:
        """Log an exception of the state machine, and exit if the process has a disk.

        The state in memory may contain half of a change that the disk does not
        contain. After a restart, a consistent state is loaded from the disk.
        """
        logging.exception('%s: handler of input %s failed.', self.machine.prefix, kind)
        self.stats['broke'] += 1
        if self.disk is not None:
            logging.error('%s: exiting: state in memory may be inconsistent with the disk.', self.machine.prefix)
            self.exit_code = EXIT_INTERNAL_ERROR
            self.inputs.clear()
            self.process_exit.at_once()

    def set_wake_up(self) -> None:
        """Schedule the `wake` input for the state machine's next timer."""
        due = self.machine.next_timer()
        if due == self.wake_up_at and self.wake_up is not None and self.wake_up.active():
            return
        if self.wake_up is not None and self.wake_up.active():
            self.wake_up.cancel()
        self.wake_up, self.wake_up_at = None, due
        if due is not None and not self.has_ended:
            self.wake_up = self.reactor.callLater(max(0.0, (due - self.now()).total_seconds()), self.wake)

    def wake(self) -> None:
        """Feed the `wake` input that was scheduled."""
        self.wake_up = self.wake_up_at = None
        self.feed('wake')

    def run(self, steps: list) -> None:
        """Carry out the effects of one input, in order."""
        for effect in steps:
            if isinstance(effect, effects.DISK_EFFECTS):
                assert self.disk is not None
                try:
                    self.disk.carry_out(effect)
                    self.stats['writes'] += 1
                except errors.DiskError as error:
                    # The effects that follow rely on the failed write, so they are skipped.
                    self.inputs.append(('disk_fault', (str(error),)))
                    return
            else:
                self.carry_out(effect)

    def carry_out(self, effect: typing.Any) -> None:
        """Carry out an effect other than a write; an exception must not keep the effects after it from being carried out."""
        try:
            EFFECT_HANDLERS[type(effect)](self, effect)
        except Exception:
            self.stats['broke'] += 1
            logging.exception('%s: effect %s failed.', self.machine.prefix, type(effect).__name__)

    def respond(self, response: effects.HttpResponse) -> None:
        """Send a response to the API call or the request of open traffic that it belongs to."""
        if isinstance(response.request_id, tuple):
            assert self.open_server is not None
            self.open_server.respond(response)
        else:
            self.api.respond(response)

    def close_endpoint(self, effect: effects.CloseConnections) -> None:
        """Close the idle connections to an incarnation."""
        self.http_client.close(effect.incarnation)
        self.endpoint_client.close(effect.incarnation)

    def fetch(self, effect: effects.HttpFetch) -> None:
        """Send a request to an endpoint, and feed exactly one result, whatever happens, unless it is cancelled first."""
        call = defer.maybeDeferred(self.fetch_plain if effect.plain else self.fetch_verified, effect)
        call.addErrback(self.fetch_failed, effect)
        self.await_result(effect.fetch_id, call)

    def fetch_verified(self, effect: effects.HttpFetch) -> defer.Deferred[effects.HttpResult]:
        """Send a request to an endpoint that links our library, and is asked for its incarnation."""
        return self.http_client.fetch(
            effect.incarnation, effect.address, effect.method, effect.path, effect.headers, effect.body, effect.wait
        )

    def fetch_failed(self, reason: failure.Failure, effect: effects.HttpFetch) -> effects.HttpResult:
        """Return the result of a fetch that raised an exception; a part of the request may have been sent."""
        if not reason.check(defer.CancelledError):
            self.stats['broke'] += 1
            logging.error(
                '%s: request to %s failed: %s', self.machine.prefix, effect.incarnation, reason.getTraceback()
            )
        assert reason.type is not None
        return effects.HttpResult(fault=reason.type.__name__)

    def await_result(self, fetch_id: int, call: defer.Deferred[effects.HttpResult]) -> None:
        """Feed the result of a call, unless the call is cancelled first."""

        def received(result: effects.HttpResult) -> None:
            if self.fetches.pop(fetch_id, None) is None:
                payload.release_body(result.body)
                return
            self.feed('fetched', fetch_id, result)

        self.fetches[fetch_id] = call
        call.addCallback(received)

    def cancel_fetch(self, effect: effects.CancelFetch) -> None:
        """Cancel a call whose result is no longer needed: its connection is closed, and no result is fed."""
        call = self.fetches.pop(effect.fetch_id, None)
        if call is not None:
            call.cancel()

    def fetch_plain(self, effect: effects.HttpFetch) -> defer.Deferred[effects.HttpResult]:
        """Send a request or a health check to a plain endpoint (one without our library)."""
        request_id = effect.headers.get('zt-id')
        # The response to a health check names the incarnation, the response to a request names the request.
        is_request = request_id is not None
        translate = self.dialect.endpoint_response_in if is_request else self.dialect.health_response_in

        def translated(result: effects.HttpResult) -> effects.HttpResult:
            result.headers = translate(result.headers)
            return result

        def is_own_response(headers: dict[str, str]) -> bool:
            # A response without a request id is a malformed response to this request, not a late one to another.
            return self.dialect.endpoint_response_in(headers).get('zt-id') in (None, request_id)

        call = self.endpoint_client.fetch(
            effect.incarnation,
            effect.address,
            effect.method,
            effect.path,
            self.dialect.endpoint_request_out(effect.headers),
            effect.body,
            effect.wait,
            effect.at_most_once,
            is_own_response,
            endpoint_client.MAX_RESPONSE_BYTES if is_request else endpoint_client.HEALTH_LIMIT_BYTES,
        )
        return call.addCallback(translated)

    def apply_limits(self, limits: effects.Limits) -> None:
        """Apply the limits of open traffic."""
        if self.open_server:
            self.open_server.apply_limits(limits)

    def drain_open_traffic(self, effect: effects.DrainOpenTraffic) -> None:
        """Drain open traffic: make its clients connect to other proxies."""
        if self.open_server:
            self.open_server.drain(effect.stops_listening)

    def exit(self, effect: effects.Exit) -> None:
        """Stop the event loop once the responses to clients were sent."""
        self.process_exit.begin(effect.send_until)

    def has_open_connections(self) -> bool:
        """True if any client of open traffic is connected."""
        return self.open_server is not None and bool(self.open_server.connections)

    def end_inputs(self) -> None:
        """Feed no more inputs."""
        self.has_ended = True

    def shutdown(self) -> None:
        """Close the connections to other processes before the event loop stops."""
        self.has_ended = True
        self.peers.close()


def call_periodically(function: typing.Callable[[], typing.Any], interval_s: float) -> None:
    """Call a function every `interval_s` seconds; missed calls are not made up for."""
    task.LoopingCall.withCount(lambda count: function()).start(interval_s, now=False)


# {type of effect: the function that carries it out}; those of `effects.DISK_EFFECTS` go to the disk.
EFFECT_HANDLERS: dict[type, typing.Callable[[Host, typing.Any], None]] = {
    effects.Send: lambda host, effect: host.peers.send(effect.address, effect.frame, effect.may_compress),
    effects.HttpResponse: Host.respond,
    effects.HttpFetch: Host.fetch,
    effects.CancelFetch: Host.cancel_fetch,
    effects.CloseConnections: Host.close_endpoint,
    effects.Limits: Host.apply_limits,
    effects.DrainOpenTraffic: Host.drain_open_traffic,
    effects.Log: lambda host, effect: logging.info('%s', effect.text, extra={'fields': effect.fields}),
    effects.NotifyDurable: lambda host, effect: host.inputs.append(('done', (effect.name,))),
    effects.Exit: Host.exit,
}
