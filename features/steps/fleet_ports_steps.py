"""Steps of fleet.feature: the ports that a fleet reserves for its processes."""

import socket

import behave

import zinctrail.fleet.processes as processes

# The range of ports that Linux uses for outgoing connections.
OUTGOING_PORTS_FILE = '/proc/sys/net/ipv4/ip_local_port_range'


def port_of(address: str) -> int:
    """Return the port of an IP:PORT."""
    return int(address.rpartition(':')[2])


@behave.when('a fleet reserves {count:d} ports')
def reserve_ports(context, count: int):
    context.ports = processes.Ports()
    context.addresses = [context.ports.take() for _ in range(count)]
    context.add_cleanup(context.ports.free, *context.addresses)


@behave.then('they are {count:d} different ports, none of them for outgoing connections')
def ports_are_not_outgoing(context, count: int):
    with open(OUTGOING_PORTS_FILE) as file:
        least, greatest = (int(port) for port in file.read().split())
    ports = {port_of(address) for address in context.addresses}
    assert len(ports) == count, sorted(ports)
    assert not [port for port in ports if least <= port <= greatest], sorted(ports)


@behave.then('no other process can use one of them before it is released')
def ports_are_reserved(context):
    for address in context.addresses:
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            assert other.connect_ex((processes.HOST, port_of(address))) != 0, address
            try:
                other.bind((processes.HOST, port_of(address)))
            except OSError:
                continue
            raise AssertionError(f'{address} could be bound by another socket')
