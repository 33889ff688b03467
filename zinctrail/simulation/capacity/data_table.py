"""The table of data-plane costs, measured on loopback, in docs/CAPACITY.md."""

import statistics

import zinctrail.simulation.capacity.formats as formats
import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.slopes as capacity_slopes

three_figures = formats.three_figures

ADDED_LIMIT_MS = capacity_projection.ADDED_LIMIT_MS
RUNS = ('open', 'open_large')
PERCENTILES = ('p50', 'p90', 'p99')
HEAD = (
    'run',
    'a second',
    'requests',
    'processor ms each (least to most)',
    'cores',
    'added p50 ms',
    'added p90',
    'added p99',
    f'{ADDED_LIMIT_MS:g} ms at p99',
    'faults',
    'MB',
)


def rate_row(run: str, rate: int, points: list[capacity_slopes.Point]) -> tuple:
    """Return the row of a rate, aggregated over the points of all seeds."""
    request_ms = [point['cpu_ms'] for point in points]
    median_ms = statistics.median(request_ms)
    added_ms = {key: statistics.median(point['added'][key] for point in points) for key in PERCENTILES}
    return (
        run,
        rate,
        sum(point['through']['n'] for point in points),
        f'{three_figures(median_ms)} ({three_figures(min(request_ms))} to {three_figures(max(request_ms))})',
        three_figures(median_ms * rate / 1000),
        *(three_figures(added_ms[key]) for key in PERCENTILES),
        formats.verdict(added_ms['p99'] <= ADDED_LIMIT_MS),
        sum(point['faults'] for point in points),
        three_figures(statistics.median(point['rss_mb'] for point in points)),
    )


def data_table(projection: capacity_projection.Projection) -> str:
    """Return the table in Markdown."""
    rows = []
    for run in RUNS:
        points = projection.loopback[run]
        for rate in sorted({point['rate'] for point in points}):
            rows.append(rate_row(run, rate, [point for point in points if point['rate'] == rate]))
    return formats.table(HEAD, rows)
