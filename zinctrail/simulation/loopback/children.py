"""Child processes of a measurement: an endpoint, and the proxy or control node under load."""

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import typing

import twisted.internet.reactor as reactor
import twisted.web.http as http

import zinctrail.consensus.node_location as node_location
import zinctrail.control.controller as controller
import zinctrail.fleet.processes as processes
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as scale_state
import zinctrail.transport.host as host

# The endpoints of the pool that requests go to.
POOL_SIZE = 40
POOL = 'service-0'
RESPONSE_BODY = b'{"done": true}'
# Longer than any measurement.
ENDLESS_LEASE = durations.ms(10**8)
# The line that a child process prints once it listens.
READY = 'ready'


class EndpointRequest(http.Request):
    """Responds immediately, as a plain endpoint does (one that does not use the zinctrail library)."""

    def process(self):
        """Send the fixed response."""
        self.setHeader('zt-id', self.getHeader('zt-id') or '')
        self.setHeader('zt-stamp', 'x' * 24)
        self.setHeader('zt-load', '1,0,6')
        self.setHeader('content-length', str(len(RESPONSE_BODY)))
        self.write(RESPONSE_BODY)
        self.finish()


class EndpointFactory(http.HTTPFactory):
    """Creates the server connections of an endpoint, without an access log."""

    noisy = False

    def log(self, request):
        """Log nothing."""

    def buildProtocol(self, addr):  # noqa: N802  The name is Twisted's.
        """Return a connection whose requests are handled by EndpointRequest."""
        channel = super().buildProtocol(addr)
        getattr(channel, '_channel', channel).requestFactory = EndpointRequest
        return channel


class NullDisk:
    """A disk that discards all effects, because disk work is not measured here."""

    def carry_out(self, effect) -> None:
        """Discard a disk effect."""


class Addresses(typing.NamedTuple):
    """The addresses on which the processes of one measurement listen."""

    peers: str
    api: str
    ingress: str
    endpoint: str


def serve_endpoint(address: str) -> None:
    """Start an endpoint that listens on an address."""
    ip, _, port = address.rpartition(':')
    reactor.listenTCP(int(port), EndpointFactory(), interface=ip)


def serve_role(role: str, size: sizes.Size, addresses: Addresses) -> None:
    """Start a proxy ('prox') or a control node ('core') that holds the state of a size and a lease."""
    is_proxy = role == 'prox'
    ingress = addresses.ingress if is_proxy else ''
    location = node_location.NodeLocation(addresses.peers, addresses.api, 'r0/z0', [], ingress, directory=True)
    machine_class = proxy_node.Proxy if is_proxy else controller.Controller
    machine = machine_class(location, settings.Settings(), random.Random(1))
    served = host.Host(machine, reactor, NullDisk())
    served.start()
    machine.timers.clear()
    machine.cluster, machine.term, machine.mode = scale_state.CLUSTER, 1, 'follower'
    machine.replica.tables = tables_with_endpoint(size, addresses.endpoint)
    machine.replica.accepted = machine.replica.committed = scale_state.VERSION
    machine.lease_until = served.now() + ENDLESS_LEASE
    machine.applied(None)
    machine.routes.rule_for_path('x', '/')


def tables_with_endpoint(size: sizes.Size, address: str) -> scale_state.Tables:
    """Return the state of a size, with all endpoints at one address."""
    tables = scale_state.state_tables(size)
    for number, row in enumerate(tables['endpoints'].values()):
        row['addr'] = address
        # The first POOL_SIZE endpoints form the one pool that requests go to.
        if number < POOL_SIZE:
            row['service'] = POOL
    tables['items']['rules/route-0']['row'].update(pool=POOL, once=False)
    return tables


def serve(arguments: list[str]) -> None:
    """Run one of the child processes: `end ADDRESS`, or `ROLE SIZE ADDRESS...`."""
    role, *rest = arguments
    if role == 'end':
        serve_endpoint(rest[0])
    else:
        serve_role(role, sizes.Size(**json.loads(rest[0])), Addresses(*rest[1:]))
    reactor.callWhenRunning(lambda: print(READY, flush=True))
    reactor.run()


@contextlib.contextmanager
def child(*arguments: str):
    """Start a child process, wait until it listens, and kill it at the end of the context."""
    command = [sys.executable, '-m', 'zinctrail.simulation.loopback', 'child', *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        if process.stdout.readline() != f'{READY}\n':
            raise AssertionError(f'child process {arguments[0]} did not start')
        yield process
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def free_addresses() -> Addresses:
    """Return unused addresses on loopback."""
    ports = processes.Ports()
    addresses = Addresses(*(ports.take() for _ in Addresses._fields))
    ports.free(*addresses)
    return addresses


def spent_ms(process: subprocess.Popen) -> float:
    """Return the processor time of a process so far, in ms."""
    with open(f'/proc/{process.pid}/schedstat') as file:
        return int(file.read().split()[0]) / 1e6


def rss_mb(process: subprocess.Popen) -> float:
    """Return the resident memory of a process in MB."""
    with open(f'/proc/{process.pid}/statm') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / (1 << 20)
