"""The small deployment with traffic, simulated in virtual time."""

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

SEED = 5
WARM_UP = durations.ms(3000)
# The minimum number of requests for a check of the failed share.
MIN_REQUESTS = 100


def start(context) -> None:
    """Start a small world with traffic.

    Stores the world in `context.world`, and its endpoints and callers in `context.deployment`.
    """
    context.world = world.World(SEED)
    context.deployment = client_deployment.Deployment(context.world, deployments.PRESETS['small'])
    context.deployment.start()
    context.deployment.start_callers()
    context.world.run(WARM_UP)


def assert_failures(context, most_percent: float) -> None:
    """Stop the traffic, and assert that at most this percentage of all requests so far failed."""
    context.deployment.stop_load()
    tally = context.deployment.tally()
    total = sum(tally.values())
    assert total > MIN_REQUESTS, tally
    failed = total - tally.get('ran', 0)
    assert failed / total <= most_percent / 100, tally


def node_by_id(simulated: world.World, identity: str):
    """Return the simulated node whose machine has an id."""
    return next(node for node in simulated.nodes.values() if node.machine.node == identity)
