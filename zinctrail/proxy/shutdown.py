"""Graceful shutdown of a proxy: new requests are refused, those in flight finish, then the process exits."""

import zinctrail.consensus.messages as messages
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

# The time reserved at the end of the grace period for the exit itself: the `leave` frame and the last responses.
EXIT_MARGIN = durations.ms(600)
# How often the shutdown checks whether any requests are pending.
DRAIN_CHECK_INTERVAL = durations.ms(50)
# How long the process waits before it exits, so that its last frames and responses are sent.
EXIT_WAIT = durations.ms(200)


class Shutdown(proxy_part.ProxyPart):
    """Reports readiness, and drains the proxy before the process exits."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Start as running."""
        super().__init__(proxy)
        # Whether open traffic is refused, because the process exits soon.
        self.refuses_open_traffic = False
        # When draining ends at the latest, even with requests in flight; set once the process is asked to stop.
        self.drain_deadline = durations.ZERO

    def begin(self) -> None:
        """Begin the shutdown: report it to the leader, and start to drain after a delay."""
        if self.proxy.stopping:
            return
        self.proxy.begin_stop()
        self.proxy.log(
            f'Draining: proxy is no longer ready and finishes its {len(self.proxy.runner.requests)} pending requests.',
            'leave',
            node=self.proxy.node,
            open=len(self.proxy.runner.requests),
        )
        if self.proxy.leader:
            self.proxy.send_message(self.proxy.leader['addr'], messages.Draining(successors={}))
        # Clients continue to use this proxy until the lookup response that named it expires. Half of the grace period
        # is reserved for the requests that come last.
        settings = self.proxy.settings
        self.proxy.set_timer('drain', min(settings.answer + settings.check * 2, settings.grace / 2))
        self.drain_deadline = self.proxy.now + settings.grace - EXIT_MARGIN
        if self.proxy.location.front:
            self.proxy.out.append(effects.DrainOpenTraffic())

    def drain(self) -> None:
        """Refuse new open traffic; exit once no request is pending or the grace period is over."""
        if self.proxy.location.front and not self.refuses_open_traffic:
            # New requests are refused from here on: while they are accepted, there may always be a pending one.
            self.refuses_open_traffic = True
            self.proxy.out.append(effects.DrainOpenTraffic(stops_listening=True))
        if self.proxy.runner.requests and self.proxy.now < self.drain_deadline:
            self.proxy.set_timer('drain', DRAIN_CHECK_INTERVAL)
            return
        if self.proxy.leader:
            self.proxy.send_message(self.proxy.leader['addr'], messages.Leave())
        self.proxy.set_timer('exit', EXIT_WAIT)

    def ready(self) -> tuple[bool, str]:
        """Return (whether traffic may be sent to this proxy, the reason if not)."""
        if self.proxy.stopping:
            return False, 'leaving'
        if not self.proxy.has_lease():
            return False, 'no lease'
        if self.proxy.routes.is_evacuated(self.proxy.location.cell):
            return False, 'evacuated'
        return True, ''
