"""A deterministic world: virtual time, network, disks and processes, all derived from one seed.

It hosts the same state machines as transport.host. It does not decide whether a
result is correct: the checkers do, from what callers, endpoints and operators
observed.
"""

import datetime
import random
import typing

import zinctrail.consensus.node_location as node_location
import zinctrail.runtime.settings as settings
import zinctrail.simulation.network as network
import zinctrail.simulation.node as simulated_node

MAX_LOG_LINES = 20000


class World(network.Network):
    """All processes of a deployment and the network between them."""

    def __init__(self, seed: int, custom_settings: settings.Settings | None = None, trace: bool = False):
        super().__init__(random.Random(seed), custom_settings or settings.Settings())
        self.seed = seed
        # Whether log lines are printed.
        self.trace = trace
        self.lines: list[tuple[datetime.timedelta, str]] = []
        # Called with (node, effect) after each disk write; the machine loses power if it returns true.
        self.power_loss_after_write: typing.Callable[[simulated_node.Node, typing.Any], bool] | None = None
        self.process_events: list[simulated_node.ProcessEvent] = []

    def record_event(self, name: str, kind: str, until: datetime.timedelta | None = None) -> None:
        """Record an external event of a process, and the end of its duration."""
        self.process_events.append(simulated_node.ProcessEvent(self.now, name, kind, until or self.now))

    def log(self, text: str) -> None:
        """Append a line to the log, which holds at most the last MAX_LOG_LINES; print it if `trace` is set."""
        if self.trace:
            print(f'{self.now.total_seconds():9.3f} {text}')
        self.lines.append((self.now, text))
        if len(self.lines) > MAX_LOG_LINES:
            del self.lines[: MAX_LOG_LINES // 2]

    def add(
        self,
        name: str,
        role: str,
        cell: str,
        seeds: typing.Sequence[str] = (),
        addr: str | None = None,
        front: bool = False,
        directory: bool = False,
        first_start: bool = True,
    ) -> simulated_node.Node:
        """Add a process, without starting it.

        :param front: whether it also accepts open traffic, at a separate address.
        :param directory: whether a control node also serves as a directory.
        :param first_start: whether its first start is part of the first start of the whole system.
        """
        # Counts all processes ever added: an address is not reused, even after its machine is lost permanently.
        number = len(self.by_address) + 1
        addr = addr or f'10.0.{number >> 8}.{number & 255}:1000'
        http = addr.rpartition(':')[0] + ':80'
        ingress_address = http + '80' if front else ''
        location = node_location.NodeLocation(addr, http, cell, list(seeds), ingress_address, directory, first_start)
        node = simulated_node.Node(self, name, role, location)
        if front:
            self.by_http[node.location.front] = simulated_node.Ingress(node)
        self.nodes[name] = node
        self.by_address[addr] = node
        self.by_http[http] = node
        return node

    def of(self, role: str) -> list[simulated_node.Node]:
        """Return all processes of a role, including those that are down."""
        return [node for node in self.nodes.values() if node.role == role]

    def leaders(self) -> list[simulated_node.Node]:
        """Return all processes that consider themselves leader."""
        return [node for node in self.of('core') if node.up and node.machine.mode == 'leader']

    def leader(self) -> simulated_node.Node | None:
        """Return the leader that a majority follows, as it has committed in its own term; None if there is none."""
        confirmed = [node for node in self.leaders() if node.machine.replica.committed[0] == node.machine.term]
        return max(confirmed, key=lambda node: node.machine.term, default=None)
