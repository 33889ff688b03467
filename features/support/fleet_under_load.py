"""A small fleet of real processes on loopback, with endpoints and callers; a scenario keeps it in `context.fleet`."""

import random
import tempfile
import typing

import twisted.internet.reactor as reactor

import features.support.command_line as command_line
import features.support.http_calls as http_calls
import features.support.reactor_thread as reactor_thread
import zinctrail.fleet.deployments as deployments
import zinctrail.fleet.processes as processes
import zinctrail.transport.blocking_client as blocking_client

# Limit for many requests or all processes; generous, because it only guards against hanging.
LONG_WAIT_S = 120
RAW_TIMEOUT_S = 30


def start(context, injects_faults: bool) -> None:
    """Start a fleet, and wait until all endpoints are known and all control nodes are voters.

    With `injects_faults`, links between its processes can be cut and their clocks can be set.
    """
    folder = tempfile.mkdtemp(prefix='zt-fleet-')
    # Stored before anything is started, so that every process is stopped at the end of the scenario.
    fleet = context.fleet = processes.Fleet(
        deployments.PRESETS['small'], folder, reactor, injects_faults=injects_faults
    )
    fleet.start()
    fleet.configure()
    reactor_thread.call(fleet.start_endpoints, random.Random(1))
    endpoint_count = sum(fleet.shape['services'].values())
    fleet.until(lambda: len(state(fleet)['endpoints']) == endpoint_count, 'all endpoints')
    # Where a control node takes seconds to start, two form the cluster without it, and losing one of two leaves no
    # quorum.
    fleet.until(
        lambda: all(len(voters) == fleet.shape['cores'] for voters in state(fleet)['voters'].values()),
        'all control nodes to become voters',
    )
    reactor_thread.call(lambda: fleet.start_callers(random.Random(2)) and None)


def state(fleet: processes.Fleet) -> dict[str, typing.Any]:
    """Wait for a status, and return the state that the leader reports."""

    def read():
        status, document = fleet.call('GET', '/v1/status')
        return document['state'] if status == 200 else None

    return fleet.until(read, 'a status')


def leader(fleet: processes.Fleet) -> processes.FleetProcess:
    """Wait for a leader, and return its process."""
    found = fleet.until(fleet.leader, 'a leader')
    assert found is not None
    return found


def configuration(fleet: processes.Fleet) -> dict[str, typing.Any]:
    """Return the configuration and its version from the first call that succeeds."""

    def read():
        status, document = fleet.call('GET', '/v1/config')
        return document if status == 200 else None

    return fleet.until(read, 'the configuration')


def next_outcomes(fleet: processes.Fleet, count: int) -> dict[str, int]:
    """Wait for `count` more outcomes of requests; return how many of each kind arrived."""
    before = dict(fleet.counts)
    target = sum(before.values()) + count
    fleet.until(lambda: sum(fleet.counts.values()) >= target, f'{count} outcomes', LONG_WAIT_S)
    return {outcome: number - before.get(outcome, 0) for outcome, number in fleet.counts.items()}


def command(fleet: processes.Fleet, *arguments: str, stdin: str | None = None) -> command_line.CommandResult:
    """Run zinctrailctl with the addresses of all directories and control nodes."""
    addresses = [process.http for process in fleet.of('dir') + fleet.of('core')]
    return command_line.run(addresses, *arguments, stdin=stdin)


def send_raw(address: str, data: bytes) -> bytes:
    """Send raw bytes, and return the bytes received until the peer closes or responds."""
    return http_calls.exchange_bytes(address, data, timeout_s=RAW_TIMEOUT_S)


def status_line(response: bytes) -> bytes:
    """Return the first line of a response."""
    return response.split(b'\r\n')[0]


def is_ready(process: processes.FleetProcess) -> bool:
    """Return True if a process reports that it is ready."""
    return blocking_client.try_call(process.http, 'GET', '/v1/ready')[0] == 200
