"""Benchmarks on the simulated network: time without a leader, and bytes published for a change."""

import collections.abc
import json

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.benchmarks.figures as figures
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.world as simulated_world

ms = durations.ms

# Longer than the election of a successor may take.
SUCCESSOR_LIMIT = ms(30000)
# Leaders are stopped at a random time up to this long after the start.
MAX_TIME_TO_LOSS_MS = 2000
CHANGE_LIMIT = ms(5000)
# How long a change continues to be published after it was acknowledged.
PUBLISHED_AFTER = ms(300)
MANY_LABELS = 4000


def start_deployment(seed: int, shape: str) -> client_deployment.Deployment:
    """Start a deployment of a preset shape in a new simulated world and return it."""
    deployment = client_deployment.Deployment(simulated_world.World(seed), deployments.PRESETS[shape])
    deployment.start()
    return deployment


def kill(leader: simulated_node.Node) -> None:
    """Kill a leader immediately."""
    leader.kill()


def freeze(leader: simulated_node.Node) -> None:
    """Pause a leader for SUCCESSOR_LIMIT, longer than the measurement."""
    leader.pause(SUCCESSOR_LIMIT)


def stop_gracefully(leader: simulated_node.Node) -> None:
    """Stop a leader gracefully: it transfers leadership first."""
    leader.feed('stop')


LOSSES = {'killed': kill, 'frozen': freeze, 'handed over': stop_gracefully}


def gap(seeds: int = 100, shape: str = 'small') -> dict:
    """Return virtual ms from a leader's loss to its successor's first version in force, by the kind of loss."""
    found = {}
    lease_ms = durations.to_ms(settings.Settings().lease)
    for name, end in LOSSES.items():
        gaps_ms = [gap_ms(seed, shape, end) for seed in range(1, seeds + 1)]
        found[name] = {**figures.spread(gaps_ms), 'over_lease': sum(each > lease_ms for each in gaps_ms)}
    return found


def gap_ms(seed: int, shape: str, end: collections.abc.Callable[[simulated_node.Node], None]) -> int:
    """Return virtual ms from the loss of one leader to its successor's first version in force."""
    world = start_deployment(seed, shape).world
    world.run(ms(world.rng.uniform(0, MAX_TIME_TO_LOSS_MS)))
    old, began = world.leader(), world.now
    end(old)
    world.run(SUCCESSOR_LIMIT, lambda: world.leader() not in (None, old))
    return durations.to_ms(world.now - began)


def bytes_per_change(shape: str = 'small') -> dict[str, int]:
    """Return the bytes published for each kind of change, and the bytes of all routes for comparison."""
    deployment = start_deployment(1, shape)
    world = deployment.world
    found = {'members': len(world.nodes)}

    def add_label(config):
        config['labels']['10.9.9.9:1'] = {'a': 'b'}

    def evacuate(config):
        config['cells'][deployment.zones[0]]['evacuated'] = True

    def add_many_labels(config):
        addresses = (f'10.8.{number >> 8}.{number & 255}:1' for number in range(MANY_LABELS))
        config['labels'].update({address: {'note': 'x' * 100} for address in addresses})

    for name, change in (('one label', add_label), ('evacuation', evacuate), ('4000 labels', add_many_labels)):
        found[name] = published_bytes(deployment, change)
    found['whole routes'] = len(json.dumps(world.leader().machine.replica.full_state(routes=True)))
    return found


def published_bytes(deployment: client_deployment.Deployment, change: collections.abc.Callable[[dict], None]) -> int:
    """Return the bytes published for a change of the configuration, which `change` applies in place."""
    world = deployment.world
    before = world.bytes.get('pub', 0)
    statuses: list[int] = []
    deployment.operator.change(change, lambda status, document: statuses.append(status))
    world.run(CHANGE_LIMIT, lambda: bool(statuses))
    world.run(PUBLISHED_AFTER)
    return world.bytes['pub'] - before
