"""Calls to endpoints that link no library of ours: strict about what comes back, sparing with connections.

Built on twisted.web's own client protocol. A connection that carried anything
but exactly one whole answer to each request is closed, never used again.
"""

import io

import twisted.internet.defer as defer
import twisted.internet.error as neterror
import twisted.internet.protocol as protocol
import twisted.web._newclient as newclient
import twisted.web.client as client
import twisted.web.http_headers as http_headers

import zinctrail.edge.wire as wire
import zinctrail.seam as seam

REPLY_MOST = 64 << 20
CONNECT = 0.5
# Why below what endpoints commonly allow: the side that reuses must give up first.
IDLE = 4.0
# Why shorter: what may run once must not meet a connection that its other side is just closing.
IDLE_ONCE = 1.5
# Why a second: a silent other side must not hold up what could be sent elsewhere.
SILENT_MS = 1500


class Conn(newclient.HTTP11ClientProtocol):

    inc = ''
    idle_at = 0.0
    idle_most = IDLE
    spoilt = False

    def connectionMade(self):
        super().connectionMade()
        wire.watch_peer(self.transport, SILENT_MS)

    def dataReceived(self, data):
        if self._state == 'QUIESCENT':
            # Why: these bytes belong to no request.
            self.spoil()
            return
        super().dataReceived(data)

    def _finishResponse_WAITING(self, rest):
        if rest:
            self.spoilt = True
        super()._finishResponse_WAITING(rest)
    _finishResponse_TRANSMITTING = _finishResponse_WAITING

    def spoil(self):
        self.spoilt = True
        self.transport.abortConnection()


class Body(protocol.Protocol):
    """Reads a reply to its end, or says why it isn't whole."""

    def __init__(self, done):
        self.done = done
        self.parts = []
        self.size = 0

    def dataReceived(self, data):
        self.size += len(data)
        self.parts.append(data)
        if self.size > REPLY_MOST:
            self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone):
        whole = reason.check(client.ResponseDone) and self.size <= REPLY_MOST
        # Why PotentialDataLoss is none: a reply without an end can't be told from a cut one.
        self.done.callback((b''.join(self.parts), '' if whole else 'reply cut short'))


class Relay:

    def __init__(self, reactor):
        self.reactor = reactor
        self.idle = {}
        self.opened = 0

    def close(self, inc):
        for conn in self.idle.pop(inc, ()):
            conn.transport.loseConnection()

    def take(self, inc, once):
        """A kept connection that will do, the one used last."""
        kept = self.idle.get(inc, [])
        now = self.reactor.seconds()
        while kept:
            conn = kept.pop()
            age = now - conn.idle_at
            if conn.spoilt or conn.state != 'QUIESCENT' or age > conn.idle_most:
                conn.transport.loseConnection()
            elif once and age > IDLE_ONCE:
                kept.append(conn)
                return None
            else:
                return conn
        return None

    def give_back(self, conn):
        if conn.spoilt or conn.state != 'QUIESCENT':
            conn.transport.abortConnection()
            return
        conn.idle_at = self.reactor.seconds()
        self.idle.setdefault(conn.inc, []).append(conn)

    def sweep(self):
        """Close what has lain idle for too long."""
        now = self.reactor.seconds()
        for inc, kept in list(self.idle.items()):
            keep = []
            for conn in kept:
                if conn.state != 'QUIESCENT':
                    continue
                if now - conn.idle_at > conn.idle_most:
                    conn.transport.loseConnection()
                else:
                    keep.append(conn)
            if keep:
                self.idle[inc] = keep
            else:
                del self.idle[inc]

    def fetch(self, inc, addr, method, path, headers, body, wait, once):
        """Deferred seam.Fetched; never fails."""
        conn = self.take(inc, once)
        if conn is not None:
            return self.send(conn, method, path, headers, body, wait)
        host, port = wire.split(addr)
        self.opened += 1
        made = protocol.ClientCreator(self.reactor, Conn).connectTCP(
            host, port, timeout=min(CONNECT, max(0.01, wait.total_seconds())))

        def connected(conn):
            conn.inc = inc
            return self.send(conn, method, path, headers, body, wait)

        def refused(reason):
            return seam.Fetched(sent=False, fault=reason.type.__name__)
        return made.addCallbacks(connected, refused)

    def send(self, conn, method, path, headers, body, wait):
        raw = http_headers.Headers({k: [v] for k, v in headers.items()})
        producer = client.FileBodyProducer(io.BytesIO(body)) if body else None
        try:
            d = conn.request(newclient.Request(method.encode(), path.encode('latin-1'), raw, producer, persistent=True))
        except Exception as e:  # Why broad: whatever twisted refuses to send was not sent.
            conn.transport.abortConnection()
            return defer.succeed(seam.Fetched(sent=False, fault=f'{type(e).__name__}: {e}'))
        late = self.reactor.callLater(max(0.001, wait.total_seconds()), conn.spoil)
        d.addCallback(self.read, conn)
        d.addErrback(self.fault)

        def done(res):
            if late.active():
                late.cancel()
            if res.fault or 'close' in res.headers.get('connection', '').lower():
                conn.spoil()
            else:
                self.give_back(conn)
            return res
        return d.addCallback(done)

    def read(self, response, conn):
        whole = defer.Deferred()
        headers = {k.decode('latin-1').lower(): b','.join(v).decode('latin-1')
                   for k, v in response.headers.getAllRawHeaders()}
        response.deliverBody(Body(whole))
        return whole.addCallback(lambda got: seam.Fetched(response.code, headers, got[0], True, got[1]))

    def fault(self, reason):
        unsent = reason.check(newclient.RequestNotSent, neterror.ConnectError)
        return seam.Fetched(sent=not unsent, fault=reason.type.__name__)
