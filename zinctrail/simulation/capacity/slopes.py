"""Slopes of the measured figures over the size of a cluster, and the quality of each fit."""

import collections.abc
import math
import statistics
import typing

import zinctrail.runtime.settings as settings
import zinctrail.simulation.scale.rates as rates
import zinctrail.simulation.scale.records as records

# A measured point, in the format of docs/capacity/points.json or loopback.json.
Point = dict[str, typing.Any]
# Extracts a figure from a point; raises KeyError if the point does not have it.
Value = collections.abc.Callable[[Point], float]


class Line(typing.TypedDict, total=False):
    """The line a + b x fitted to the medians of the seeds; the fitted sizes are not included."""

    a: float
    b: float
    # The largest relative distance of a size from the line; None if no line could be fitted.
    residual: float | None
    # The exponent over the last two sizes after `a` is subtracted; missing if the growth is no more than noise.
    exponent: float


# One figure over one dimension, in the format of docs/capacity/slopes.json: a Line with the sizes `x`, the medians `y`,
# the maximum over the seeds at each size (`most`), the widest `spread` of a size's seeds, the number of `seeds`, and the
# smallest size of the fit (`from`).
Slope = dict[str, typing.Any]
# {sweep: {figure: slope}}; figures are named like 'quiet/master/bytes'.
Slopes = dict[str, dict[str, Slope]]

SLOPES = f'{records.FOLDER}/slopes.json'

ROLES = rates.ROLES
# The roles whose losses and memory are recorded.
EVENT_ROLES = ('master', 'prox')
METRICS = ('messages', 'bytes', 'cpu_ms')
WRITE_METRICS = ('write_bytes', 'writes')
HTTP_METRICS = ('http_bytes', 'beats')
MEMORY_METRICS = ('mb', 'most_mb')

DIMENSIONS = ('nodes', 'endpoints', 'services', 'routes', 'tenants')
SWEEPS = (*DIMENSIONS, 'beats_at_dir', 'pools', 'changes', 'claims', 'headless', 'losses')
# The field of the size that a sweep varies, if it differs from the sweep's name.
FIELDS = {'beats_at_dir': 'endpoints', 'headless': 'nodes', 'losses': 'killed'}

WINDOW_SECONDS = rates.WINDOW.total_seconds()
# The residual above which a fit is called not linear.
NOT_LINEAR = 0.15
# Relative differences below this are noise.
NOISE = 0.02
# The minimum number of sizes to fit a line to.
MIN_SIZES = 3
# Replaces zero in divisors.
TINY = 1e-12
# Up to this many members, heartbeats are sent at the highest rate.
FASTEST_PACE_MEMBERS = settings.Settings().herd


# -- lines --------------------------------------------------------------------


def fit(xs: list[float], ys: list[float]) -> tuple[float, float, float]:
    """Fit y = a + b x with relative residuals; returns (a, b, largest residual)."""
    ys = [max(y, TINY) for y in ys]
    weighted = [(1 / y**2, x, y) for x, y in zip(xs, ys, strict=True)]
    sum_w = sum(w for w, _, _ in weighted)
    sum_x = sum(w * x for w, x, _ in weighted)
    sum_y = sum(w * y for w, _, y in weighted)
    sum_xx = sum(w * x * x for w, x, _ in weighted)
    sum_xy = sum(w * x * y for w, x, y in weighted)
    b = (sum_w * sum_xy - sum_x * sum_y) / (sum_w * sum_xx - sum_x * sum_x)
    a = (sum_y - b * sum_x) / sum_w
    return a, b, max(abs((a + b * x) / y - 1) for x, y in zip(xs, ys, strict=True))


def line(xs: list[float], ys: list[float]) -> Line:
    """Return the line fitted to figures at some sizes."""
    if min(ys) <= 0:
        # Not fitted, because there is no meaningful slope if a measured figure is zero or negative.
        return {'a': ys[0], 'b': max(0.0, (ys[-1] - ys[0]) / (xs[-1] - xs[0])), 'residual': None}
    a, b, residual = fit(xs, ys)
    found: Line = {'a': a, 'b': b, 'residual': residual}
    if b * xs[-1] > 10 * NOISE * ys[-1] and ys[-1] > a and ys[-2] > a:
        found['exponent'] = math.log((ys[-1] - a) / (ys[-2] - a)) / math.log(xs[-1] / xs[-2])
    return found


def values_by_size(points: list[Point], field: str, value: Value) -> dict[float, list[float]]:
    """Return a figure of all points that have it, grouped by a field of the size or of the point."""
    found: dict[float, list[float]] = {}
    for point in points:
        try:
            figure = value(point)
        except KeyError:
            continue
        size = point['size'][field] if field in point['size'] else point[field]
        found.setdefault(size, []).append(figure)
    return found


def slope(points: list[Point], field: str, value: Value) -> Slope | None:
    """Return the slope of one figure over one dimension; None if too few sizes were measured."""
    values = values_by_size(points, field, value)
    if len(values) < MIN_SIZES:
        return None
    xs = sorted(values)
    ys = [statistics.median(values[x]) for x in xs]
    spreads = [(max(values[x]) - min(values[x])) / abs(y) if y else 0 for x, y in zip(xs, ys, strict=True)]
    # Smaller sizes are excluded, because up to that many members heartbeats are sent at the highest rate and each
    # member costs more.
    lowest = FASTEST_PACE_MEMBERS if field == 'nodes' and xs[0] < FASTEST_PACE_MEMBERS < xs[-3] else 0
    excluded = sum(x < lowest for x in xs)
    return {
        'x': xs,
        'y': ys,
        'most': [max(values[x]) for x in xs],
        'spread': max(spreads),
        'seeds': max(len(figures) for figures in values.values()),
        'from': lowest,
        **line(xs[excluded:], ys[excluded:]),
    }


# -- figures of a point -------------------------------------------------------


def recorded(*keys: str) -> Value:
    """Return a function that gets the figure under nested keys of a point."""

    def value(point: Point) -> float:
        found: typing.Any = point
        for key in keys:
            found = found[key]
        return found

    return value


def quiet(role: str, metric: str) -> Value:
    """Return a function that gets the cost per second of one process of a role while nothing changes."""
    return recorded('quiet', role, metric)


def per_change(role: str, metric: str, part: str = 'changed', field: str = 'changes') -> Value:
    """Return a function that gets the cost that one change adds at one process of a role."""

    def added(point):
        extra = point[part][role][metric] - point['quiet'][role][metric]
        return extra * WINDOW_SECONDS / point['size'][field]

    return added


def longest_in_force_ms(point: Point) -> float:
    """Return the time until the slowest change was in force."""
    return max(point['in_force_ms'])


def rate_figures() -> dict[str, Value]:
    """Return the figures of roles while nothing changes, and of a change."""
    return {
        **{f'quiet/{role}/{metric}': quiet(role, metric) for role in ROLES for metric in METRICS + HTTP_METRICS},
        **{f'change/{role}/{metric}': per_change(role, metric) for role in ROLES for metric in METRICS + WRITE_METRICS},
    }


def claim_figures() -> dict[str, Value]:
    """Return the figures of a claim."""
    return {
        f'claim/{role}/{metric}': per_change(role, metric, 'claims', 'claims')
        for role in ROLES
        for metric in METRICS + WRITE_METRICS
    }


def lookup_figures() -> dict[str, Value]:
    """Return the figures of a lookup at a directory."""
    return {
        f'answer/dir/{metric}': per_change('dir', metric, 'answers', 'answers') for metric in ('cpu_ms', 'http_bytes')
    }


def event_figures(name: str, *keys: str) -> dict[str, Value]:
    """Return the figures of an event that points hold under nested keys."""
    found = {f'{name}/{role}/{metric}': recorded(*keys, role, metric) for role in EVENT_ROLES for metric in METRICS}
    return {**found, f'{name}/ms': recorded(*keys, 'ms')}


def loss_figures() -> dict[str, Value]:
    """Return the figures of losses, restarts and partitions."""
    return {
        **event_figures('killed', 'killed'),
        **event_figures('restarted', 'restarted'),
        **event_figures('headless', 'headless'),
        **event_figures('back', 'parted', 'back'),
        **{f'apart/prox/{metric}': recorded('parted', 'apart', metric) for metric in ('messages', 'bytes')},
    }


def state_figures() -> dict[str, Value]:
    """Return the figures of the state and of the work that it causes."""
    return {
        'in_force_ms': longest_in_force_ms,
        'routes_ms': recorded('routes_ms'),
        'packed_bytes': recorded('packed_bytes'),
        **{
            f'state/{part}/{unit}': recorded('state', part, unit)
            for part in ('core', 'routes')
            for unit in ('rows', 'bytes')
        },
    }


def figures_of(sweep: str) -> dict[str, Value]:
    """Return the figures that are fitted over a sweep."""
    return {
        **(claim_figures() if sweep == 'claims' else rate_figures()),
        **(lookup_figures() if sweep == 'nodes' else {}),
        **loss_figures(),
        **state_figures(),
    }


def memory_figures() -> dict[str, Value]:
    """Return the figures of the memory sweeps."""
    return {f'{role}/{metric}': recorded(role, metric) for role in EVENT_ROLES for metric in MEMORY_METRICS}


def cpu_share(point: Point) -> float:
    """Return the share of a core that a proxy uses for open traffic."""
    return point['cpu_ms'] * point['through']['n'] / point['wall'] / 1000


# The figures of loopback.json, with the field that each measurement varies.
LOOPBACK_FIELDS = {'open': 'rate', 'open_pool': 'endpoints', 'beat': 'nodes', 'answer': 'nodes'}


def loopback_figures(name: str) -> dict[str, Value]:
    """Return the figures that are fitted over a measurement on loopback."""
    found: dict[str, Value] = {'cpu_ms': recorded('cpu_ms')}
    if name == 'open':
        found['cpu_share'] = cpu_share
    return found


def fit_all(points: list[Point], field: str, figures: dict[str, Value]) -> dict[str, Slope]:
    """Return the slopes of some figures over one dimension; those measured at too few sizes are omitted."""
    fitted = {name: slope(points, field, value) for name, value in figures.items()}
    return {name: found for name, found in fitted.items() if found}


def slopes(points: dict[str, list[Point]], loopback: dict[str, list[Point]]) -> Slopes:
    """Return the slopes of all measured figures, by sweep."""
    found = {}
    for sweep in SWEEPS:
        found[sweep] = fit_all(points.get(sweep, []), FIELDS.get(sweep, sweep), figures_of(sweep))
    for field in DIMENSIONS:
        found[f'memory_{field}'] = fit_all(points.get(f'memory_{field}', []), field, memory_figures())
    for name, field in LOOPBACK_FIELDS.items():
        found[name] = fit_all(loopback.get(name, []), field, loopback_figures(name))
    return found


# -- quality of the fits ------------------------------------------------------


def confidence(found: Slope) -> tuple[str, str, str]:
    """Return the residual, spread and linearity of a slope, as texts."""
    if found['residual'] is None:
        return '–', f'{found["spread"]:.2f}', 'nothing measured at the smallest size'
    straight = 'linear' if found['residual'] <= NOT_LINEAR else 'not linear'
    if 'exponent' in found:
        straight += f', x^{found["exponent"]:.2f} at the end'
    if found['from']:
        straight += f', from {found["from"]} on'
    return f'{found["residual"]:.2f}', f'{found["spread"]:.2f}', straight


def is_significant(found: Slope) -> bool:
    """True if a slope is more than noise: its growth over the measured sizes exceeds the seeds' spread."""
    return found['b'] * found['x'][-1] > max(3 * NOISE, found['spread']) * max(abs(found['a']), 1e-9)


def cost_each_at_small_size(found: Slope) -> float:
    """Return the cost per unit at the second size of a sweep."""
    return found['y'][1] / found['x'][1]


def cost_at_largest_size(found: Slope) -> float:
    """Return the cost per unit at the largest measured size, because batching lowers it as the rate grows."""
    return found['y'][-1]
