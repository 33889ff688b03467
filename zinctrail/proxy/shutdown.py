"""The end of a proxy: no new requests, those in flight are answered, then the process exits."""

import zinctrail.consensus.messages as messages
import zinctrail.proxy.proxy_part as proxy_part
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

# What the exit itself takes at the end of the grace: the `leave` frame and the last responses.
EXIT_MARGIN = durations.ms(600)
# How often it is looked whether all requests are answered.
DRAIN_CHECK_INTERVAL = durations.ms(50)
# How long the last frames and responses have to leave the process.
EXIT_WAIT = durations.ms(200)


class Shutdown(proxy_part.ProxyPart):
    """Readiness, and draining until the process exits."""

    def __init__(self, proxy: proxy_part.ProxyNode) -> None:
        """Set up as running."""
        super().__init__(proxy)
        # Whether open traffic is refused, because the process ends soon.
        self.refuses_open_traffic = False
        # When the process exits at the latest, with requests in flight or not; set once it is told to stop.
        self.drain_deadline = durations.ZERO

    def begin(self) -> None:
        """Refuse what is new before long, and end the process once the rest is answered."""
        if self.proxy.stopping:
            return
        self.proxy.stopping = True
        self.proxy.log(
            'Draining: no longer ready, finishes the requests in flight.',
            'leave',
            node=self.proxy.node,
            open=len(self.proxy.runner.requests),
        )
        if self.proxy.leader:
            self.proxy.send_message(self.proxy.leader['addr'], messages.Draining(successors={}))
        # Clients go on using this proxy until the answer that named it expires. Half the grace is kept for the
        # requests that came last.
        settings = self.proxy.settings
        self.proxy.set_timer('drain', min(settings.answer + settings.check * 2, settings.grace / 2))
        self.drain_deadline = self.proxy.now + settings.grace - EXIT_MARGIN
        if self.proxy.location.front:
            self.proxy.out.append(effects.DrainOpenTraffic())

    def drain(self) -> None:
        """Exit once all is answered, or the grace is over."""
        if self.proxy.location.front and not self.refuses_open_traffic:
            # New requests are refused first: while they are accepted the table may never be empty.
            self.refuses_open_traffic = True
            self.proxy.out.append(effects.DrainOpenTraffic(shut=True))
        if self.proxy.runner.requests and self.proxy.now < self.drain_deadline:
            self.proxy.set_timer('drain', DRAIN_CHECK_INTERVAL)
            return
        if self.proxy.leader:
            self.proxy.send_message(self.proxy.leader['addr'], messages.Leave())
        self.proxy.set_timer('exit', EXIT_WAIT)

    def ready(self) -> tuple[bool, str]:
        """Whether traffic may be sent here, else why not."""
        if self.proxy.stopping:
            return False, 'leaving'
        if not self.proxy.leased():
            return False, 'no lease'
        if self.proxy.routes.is_evacuated(self.proxy.location.cell):
            return False, 'evacuated'
        return True, ''
