"""Benchmarks on the virtual network: how long nobody leads, and the bytes of a change."""

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

# Longer than it may take until another leads.
SUCCESSOR_LIMIT = ms(30000)
# Leaders end at random moments of this time after the start.
LONGEST_CALM_MS = 2000
CHANGE_LIMIT = ms(5000)
# How long a change goes on to be published after it was acknowledged.
PUBLISHED_AFTER = ms(300)
MANY_LABELS = 4000


def start_deployment(seed: int, shape: str) -> client_deployment.Deployment:
    """A deployment of a preset shape that has started, in a world of its own."""
    deployment = client_deployment.Deployment(simulated_world.World(seed), deployments.PRESETS[shape])
    deployment.start()
    return deployment


def kill(leader: simulated_node.Node) -> None:
    """End a leader at once."""
    leader.kill()


def freeze(leader: simulated_node.Node) -> None:
    """Let a leader stand still until all is over."""
    leader.pause(SUCCESSOR_LIMIT)


def hand_over(leader: simulated_node.Node) -> None:
    """Ask a leader to stop: it hands over first."""
    leader.feed('stop')


ENDS = {'killed': kill, 'frozen': freeze, 'handed over': hand_over}


def gap(seeds: int = 100, shape: str = 'small') -> dict:
    """Virtual ms from a leader's end to the successor's first version in force, by how it ends."""
    found = {}
    lease_ms = durations.to_ms(settings.Settings().lease)
    for name, end in ENDS.items():
        gaps_ms = [gap_ms(seed, shape, end) for seed in range(1, seeds + 1)]
        found[name] = {**figures.spread(gaps_ms), 'over_lease': sum(each > lease_ms for each in gaps_ms)}
    return found


def gap_ms(seed: int, shape: str, end: collections.abc.Callable[[simulated_node.Node], None]) -> int:
    """Virtual ms from the end of one leader to its successor's first version in force."""
    world = start_deployment(seed, shape).world
    world.run(ms(world.rng.uniform(0, LONGEST_CALM_MS)))
    old, began = world.leader(), world.now
    end(old)
    world.run(SUCCESSOR_LIMIT, lambda: world.leader() not in (None, old))
    return durations.to_ms(world.now - began)


def bytes_per_change(shape: str = 'small') -> dict[str, int]:
    """Bytes published for one change, by what is changed, beside those of all routes."""
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
    """Bytes published for a change of the configuration, which `change` makes in place."""
    world = deployment.world
    before = world.bytes.get('pub', 0)
    statuses: list[int] = []
    deployment.operator.change(change, lambda status, document: statuses.append(status))
    world.run(CHANGE_LIMIT, lambda: bool(statuses))
    world.run(PUBLISHED_AFTER)
    return world.bytes['pub'] - before
