"""zinctrail-directory: the daemon on each machine. Answers lookups from its replica, relays calls, distributes credit.

zinctrail-directory --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C
"""

import random

import zinctrail.consensus.node_location as node_location
import zinctrail.directory.daemon as daemon
import zinctrail.runtime.settings as settings
import zinctrail.transport.program as program


def make(
    location: node_location.NodeLocation, settings_: settings.Settings, rng: random.Random
) -> tuple[daemon.Directory, None]:
    """Create the state machine; a directory stores nothing on disk."""
    return daemon.Directory(location, settings_, rng), None


def run() -> None:
    """Run the program."""
    program.serve(__doc__, make)


if __name__ == '__main__':
    run()
