"""Figures at the target size, projected from the slopes, and the budgets that they are compared with."""

import statistics

import zinctrail.runtime.settings as settings
import zinctrail.simulation.capacity.slopes as capacity_slopes
import zinctrail.simulation.scale.sizes as sizes

Point = capacity_slopes.Point
Slopes = capacity_slopes.Slopes

# The fixed values of the other dimensions in a sweep over one dimension.
SMALLEST_SIZE = {'nodes': 30, 'endpoints': 0, 'services': 10, 'routes': 100, 'tenants': 0}
TARGET = sizes.TARGET

# The users' budgets for the control plane on a node: bytes per second, cores and MB of memory.
NODE_BUDGET = {'bytes': 8000, 'cores': 0.049, 'mb': 64}
# One core, because each process runs one event loop on one thread.
CORE_BUDGET = 1.0
IN_FORCE_LIMIT_S = 8.0
ADDED_LIMIT_MS = 2.0

CONTROL_MACHINES = 27
VOTERS = 5

DAY_SECONDS = 86400
FAILURES_A_DAY, RESTARTS_A_DAY = 120, 5000
FAILURES_PER_SECOND, RESTARTS_PER_SECOND = FAILURES_A_DAY / DAY_SECONDS, RESTARTS_A_DAY / DAY_SECONDS
CHANGES_PER_SECOND = TARGET['changes_a_day'] / DAY_SECONDS
EPOCHS_PER_SECOND = 1 / settings.Settings().epoch.total_seconds()
HEARTBEAT_INTERVAL_S = settings.Settings().beat.total_seconds()
HEARTBEATS_PER_SECOND = TARGET['endpoints'] / HEARTBEAT_INTERVAL_S
LOOKUP_INTERVAL_S = settings.Settings().answer.total_seconds()

# The number of known nodes at which the processor time of a heartbeat is read; it hardly depends on that number.
NODES_FOR_HEARTBEATS = 100


def figure_at(
    found: Slopes, figure: str, size: dict[str, int], dimensions: tuple[str, ...] = capacity_slopes.DIMENSIONS
) -> float | None:
    """Return a figure at a size: its line over nodes plus the increase by each other dimension; None if unmeasured."""
    over_nodes = found['nodes'].get(figure)
    if over_nodes is None:
        return None
    total = over_nodes['a'] + over_nodes['b'] * size['nodes']
    for dimension in dimensions:
        more = found.get(dimension, {}).get(figure)
        if dimension != 'nodes' and more and more['b'] > 0 and capacity_slopes.is_significant(more):
            total += more['b'] * (size[dimension] - SMALLEST_SIZE[dimension])
    return max(0.0, total)


def memory_at(found: Slopes, role: str, size: dict[str, int]) -> float:
    """Return the memory of a process of a role at a size, in MB."""
    over_nodes = found['memory_nodes'][f'{role}/mb']
    total = over_nodes['a'] + over_nodes['b'] * size['nodes']
    for dimension in capacity_slopes.DIMENSIONS[1:]:
        more = found[f'memory_{dimension}'].get(f'{role}/mb')
        if more and more['b'] > 0:
            total += more['b'] * (size[dimension] - SMALLEST_SIZE[dimension])
    return total


class Projection:
    """All figures at the target size, projected from the slopes.

    :param points: the content of docs/capacity/points.json.
    :param loopback: the content of docs/capacity/loopback.json.
    """

    def __init__(self, found: Slopes, points: dict[str, list[Point]], loopback: dict[str, list[Point]]):
        self.found, self.points, self.loopback = found, points, loopback
        self.size = TARGET
        self.nodes = TARGET['nodes']

    def figure(self, name: str) -> float:
        """Return a figure at the target size in all dimensions."""
        return self.projected(name, capacity_slopes.DIMENSIONS)

    def over_nodes(self, name: str) -> float:
        """Return a figure at the target number of nodes, with all other dimensions at their smallest."""
        return self.projected(name, ())

    def projected(self, name: str, dimensions: tuple[str, ...]) -> float:
        """Return a figure at the target size in some dimensions; raises AssertionError if it was not measured."""
        found = figure_at(self.found, name, self.size, dimensions)
        assert found is not None, f'{name} was not measured'
        return found

    def quiet(self, role: str, metric: str) -> float:
        """Return the cost per second of one process of a role while nothing changes."""
        return self.figure(f'quiet/{role}/{metric}')

    def change(self, role: str, metric: str) -> float:
        """Return the cost of one change at one process of a role."""
        return self.figure(f'change/{role}/{metric}')

    def versions_per_second(self) -> float:
        """Return the versions of the routes per second: requested changes, epochs, members that join and leave."""
        return CHANGES_PER_SECOND + EPOCHS_PER_SECOND + FAILURES_PER_SECOND + 2 * RESTARTS_PER_SECOND

    def total(self, role: str, metric: str) -> float:
        """Return the cost per second of one process of a role, including the changes of a usual day."""
        return self.quiet(role, metric) + self.change(role, metric) * self.versions_per_second()

    def memory_mb(self, role: str) -> float:
        """Return the memory of one process of a role in MB."""
        return memory_at(self.found, role, self.size)

    def routes_bytes(self) -> float:
        """Return the size of the routes as JSON."""
        return self.figure('state/routes/bytes')

    def compressed_bytes(self) -> float:
        """Return the size of the compressed frame that sends all routes to a new member."""
        return self.figure('packed_bytes')

    def routes_rows(self) -> float:
        """Return the number of rows of the routes."""
        return self.figure('state/routes/rows')

    def routes_ms(self) -> float:
        """Return the processor time in which a proxy rebuilds its route index, once per version."""
        return self.figure('routes_ms')

    def heartbeat_ms(self) -> float:
        """Return the processor time of an endpoint's heartbeat."""
        points = self.loopback['beat']
        return statistics.median(point['cpu_ms'] for point in points if point['size']['nodes'] == NODES_FOR_HEARTBEATS)

    def lookup_ms(self) -> float:
        """Return the processor time of a lookup."""
        over_nodes = self.found['answer']['cpu_ms']
        return over_nodes['a'] + over_nodes['b'] * self.nodes

    def claim_cost(self, metric: str) -> float:
        """Return the cost of a claim at the leader."""
        return capacity_slopes.cost_at_largest_size(self.found['claims'][f'claim/master/{metric}'])
