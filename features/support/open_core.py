"""A small simulated deployment of open traffic that runs until a condition holds."""

import collections.abc

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.open_actors.world as open_world

SEED = 5
# How long a condition may take to hold.
MAX_WAIT = durations.ms(20000)


def start(context) -> None:
    """Start the deployment, as `context.world` and `context.deployment`."""
    shape = terms.SHAPES['small']
    context.world = open_world.World(SEED, terms.bound(shape))
    context.world.callers_hang_up = True
    context.deployment = open_deployment.Deployment(context.world, shape)
    context.deployment.start()


def run_until(context, condition: collections.abc.Callable[[], bool]) -> None:
    """Run the simulation until a condition holds."""
    assert context.world.run(MAX_WAIT, condition), 'the condition did not hold in time'
