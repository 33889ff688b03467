"""Where open traffic comes in: any path is a request, handed to the machine as one input."""

import twisted.web.http as http

import zinctrail.seam as seam


class FrontRequest(http.Request):
    """One request; its body is bounded while it comes in."""

    got = 0
    rid = None
    site = None

    def handleContentChunk(self, data):
        self.got += len(data)
        if self.got <= self.channel.site.body_most:
            super().handleContentChunk(data)

    def process(self):
        self.channel.site.came(self)

    def connectionLost(self, reason):
        super().connectionLost(reason)
        if self.site is not None:
            self.site.left(self)


class Channel(http.HTTPChannel):
    """One connection of a client."""

    site = None

    def connectionMade(self):
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason):
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def resting(self):
        """Whether no request is in it, nor the beginning of one."""
        return not self.requests and not self._receivedHeaderSize and not self._buffer


class Front(http.HTTPFactory):
    """The listener; `answer` is given the machine's outcomes."""

    noisy = False
    protocol = Channel

    def __init__(self, host, dialect, reactor):
        super().__init__(reactor=reactor)
        self.host = host
        self.dialect = dialect
        self.no = 0
        self.open = {}
        self.channels = set()
        self.port = None
        self.body_most = 64 << 20
        self.idle = 15
        self.closing = False

    def log(self, request):
        """Why nothing: twisted's access log is not ours."""

    def listen(self, port, interface):
        self.port = self.reactor.listenTCP(port, self, interface=interface)

    def buildProtocol(self, addr):
        self.timeOut = self.idle
        channel = super().buildProtocol(addr)
        channel.requestFactory = FrontRequest
        channel.site = self
        return channel

    def leave(self, shut):
        """Every answer from here on is its connection's last; with `shut`, no new connection is taken either."""
        self.closing = True
        if not shut or self.port is None:
            return
        self.port.stopListening()
        self.port = None
        for channel in [c for c in self.channels if c.resting()]:
            channel.loseConnection()

    def came(self, request):
        request.site = self
        if request.got > self.body_most:
            request.channel.persistent = False
            write(request, 413, {'connection': 'close'}, b'')
            return
        self.no += 1
        rid = request.rid = ('front', self.no)
        self.open[rid] = request
        headers = {k.decode('latin-1').lower(): b','.join(v).decode('latin-1')
                   for k, v in request.requestHeaders.getAllRawHeaders()}
        call = seam.Call(request.method.decode('latin-1'), request.uri.decode('latin-1'), headers,
                         request.content.read())
        self.host.feed('front', rid, self.dialect.request_in(call))

    def left(self, request):
        if self.open.pop(request.rid, None) is not None:
            self.host.feed('hung_up', request.rid)

    def answer(self, out):
        request = self.open.pop(out.rid, None)
        if request is None:
            return
        headers = self.dialect.outcome_out(out.headers)
        if self.closing:
            # Why told: whoever reuses the connection had better open the next one elsewhere.
            headers['connection'] = 'close'
            request.channel.persistent = False
        write(request, out.status, headers, out.body)


def write(request, status, headers, body):
    request.setResponseCode(status)
    for k, v in headers.items():
        request.responseHeaders.setRawHeaders(k, [v])
    if status not in (204, 304):
        request.responseHeaders.setRawHeaders('content-length', [str(len(body))])
    if request.method != b'HEAD' and body:
        request.write(body)
    request.finish()
