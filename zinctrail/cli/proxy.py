"""zinctrail-proxy: a proxy. Forwards requests to endpoints, according to its rules, credit and lease.

zinctrail-proxy --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C
"""

import random

import zinctrail.consensus.node_location as node_location
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.settings as settings
import zinctrail.transport.program as program


def make(
    location: node_location.NodeLocation, settings_: settings.Settings, rng: random.Random
) -> tuple[proxy_node.Proxy, None]:
    """Create the state machine; a proxy stores nothing on disk."""
    return proxy_node.Proxy(location, settings_, rng), None


def run(dialect=None, argv: list[str] | None = None, changed_command_line=None) -> None:
    """Run the program; the parameters are those of `transport.program.serve`."""
    program.serve(__doc__, make, dialect, argv, changed_command_line)


if __name__ == '__main__':
    run()
