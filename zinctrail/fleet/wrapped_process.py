"""Runs one product program with fault injection: cut links to peers, and a shifted wall clock.

  python -m zinctrail.fleet.wrapped_process FILE PROGRAM FLAGS...

FILE contains {"cut": [IP:PORT of peers], "wall_s": N}, and may change at any
time. Frames to and from a peer that is cut off are dropped silently, as in a
network partition; the wall clock of this process is off by N seconds.
"""

import importlib
import json
import sys
import time
import typing


class Faults(typing.TypedDict):
    """The faults that are read from the file."""

    # IP:PORT of the peers that are cut off.
    cut: list[str]
    # How far off the wall clock is, in seconds.
    wall_s: float


FAULTS: Faults = {'cut': [], 'wall_s': 0.0}
RELOAD_INTERVAL_S = 0.05
_wall_clock = time.time
# Replaced before anything else is imported, because Twisted stores a reference to time.time at import.
time.time = lambda: _wall_clock() + FAULTS['wall_s']


def watch(name: str, reactor: typing.Any) -> None:
    """Read the faults from a file every `RELOAD_INTERVAL_S`."""
    import twisted.internet.task as task

    def reload() -> None:
        try:
            with open(name) as file:
                FAULTS.update(json.load(file))
        except (OSError, ValueError):
            # The file may be missing or incomplete for a moment; the next read succeeds.
            pass

    loop = task.LoopingCall(reload)
    loop.clock = reactor
    loop.start(RELOAD_INTERVAL_S)


def install_network_cuts() -> None:
    """Make the connections between processes drop frames to and from the peers that are cut off."""
    import zinctrail.transport.peer_connections as peer_connections

    connections: typing.Any = peer_connections.PeerConnections
    send, listen = connections.send, connections.listen

    def send_unless_cut(self, addr: str, frame: dict, may_compress: bool = False) -> None:
        if addr not in FAULTS['cut']:
            send(self, addr, frame, may_compress)

    def listen_unless_cut(self, addr: str) -> typing.Any:
        receive = self.on_frame
        self.on_frame = lambda frame: None if frame.get('a') in FAULTS['cut'] else receive(frame)
        return listen(self, addr)

    connections.send = send_unless_cut
    connections.listen = listen_unless_cut


def main(argv: list[str]) -> None:
    """Run one of our programs with fault injection installed."""
    import twisted.internet.reactor as reactor

    import zinctrail.transport.clock as clock

    install_network_cuts()
    name, program = argv[1:3]
    sys.argv = [program] + argv[3:]
    watch(name, clock.use_steady_clock(reactor))
    importlib.import_module(f'zinctrail.cli.{program}').run()


if __name__ == '__main__':
    main(sys.argv)
