"""The table in docs/CAPACITY.md that compares predictions of the slopes with clusters scaled in all dimensions."""

import zinctrail.simulation.capacity.formats as formats
import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.slopes as capacity_slopes

Projection = capacity_projection.Projection
Point = capacity_slopes.Point
three_figures = formats.three_figures

HEAD = ('nodes (all else in proportion)', 'figure', 'foretold', 'measured', 'ratio')
# The points of this seed are compared.
SEED = 1

FIGURES: dict[str, capacity_slopes.Value] = {
    'quiet/master/messages': capacity_slopes.quiet('master', 'messages'),
    'quiet/master/bytes': capacity_slopes.quiet('master', 'bytes'),
    'quiet/master/cpu_ms': capacity_slopes.quiet('master', 'cpu_ms'),
    'quiet/prox/bytes': capacity_slopes.quiet('prox', 'bytes'),
    'quiet/prox/cpu_ms': capacity_slopes.quiet('prox', 'cpu_ms'),
    'change/master/bytes': capacity_slopes.per_change('master', 'bytes'),
    'change/master/cpu_ms': capacity_slopes.per_change('master', 'cpu_ms'),
    'change/prox/cpu_ms': capacity_slopes.per_change('prox', 'cpu_ms'),
    'state/routes/bytes': capacity_slopes.recorded('state', 'routes', 'bytes'),
    'routes_ms': capacity_slopes.recorded('routes_ms'),
}


def row(nodes: int, figure: str, predicted: float | None, measured: float) -> tuple:
    """Return the row of one figure."""
    ratio = f'{measured / predicted:.2f}' if predicted else formats.DASH
    return three_figures(nodes), figure, three_figures(predicted), three_figures(measured), ratio


def size_of(point: Point) -> dict[str, int]:
    """Return the size of a point, by dimension."""
    return {dimension: point['size'][dimension] for dimension in capacity_slopes.DIMENSIONS}


def point_rows(projection: Projection, point: Point) -> list[tuple]:
    """Return the rows of a point."""
    size = size_of(point)
    return [
        row(size['nodes'], figure, capacity_projection.figure_at(projection.found, figure, size), value(point))
        for figure, value in FIGURES.items()
    ]


def memory_rows(projection: Projection, point: Point) -> list[tuple]:
    """Return the rows of the memory at a size."""
    size = size_of(point)
    return [
        row(
            size['nodes'],
            f'memory of a {role}, MB',
            capacity_projection.memory_at(projection.found, role, size),
            point[role]['mb'],
        )
        for role in capacity_slopes.EVENT_ROLES
    ]


def check_table(projection: Projection) -> str:
    """Return the table in Markdown."""
    rows = []
    for point in projection.points.get('whole', []) + projection.points.get('full', []):
        if point['seed'] == SEED:
            rows += point_rows(projection, point)
    for point in projection.points['memory_whole']:
        rows += memory_rows(projection, point)
    return formats.table(HEAD, rows)
