"""Metrics of a process, independent of a format; transport.metrics_page formats them for Prometheus.

Metrics are built only when they are scraped; between scrapes the process only counts.
"""

import typing

COUNTER, GAUGE, HISTOGRAM = 'counter', 'gauge', 'times'

# {label: value} of a sample.
Labels = dict[str, str]


class Histogram(typing.NamedTuple):
    """The value of a histogram's sample."""

    # The number of observations in each bucket, the last one above all bounds.
    counts: list[int]
    # The upper bounds of the buckets, in seconds.
    bounds_s: list[float]
    # The sum of all observations, in seconds.
    sum_s: float


class Metric(typing.NamedTuple):
    """One metric with its samples."""

    # COUNTER, GAUGE or HISTOGRAM.
    kind: str
    name: str
    help: str
    samples: list[tuple[Labels, typing.Any]]


def counter(name: str, help_text: str, value: float) -> Metric:
    """Return a counter without labels."""
    return Metric(COUNTER, name, help_text, [({}, value)])


def gauge(name: str, help_text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return Metric(GAUGE, name, help_text, [({}, value)])


def histogram(name: str, help_text: str, value: Histogram) -> Metric:
    """Return a histogram of durations without labels."""
    return Metric(HISTOGRAM, name, help_text, [({}, value)])


def by_label(kind: str, name: str, help_text: str, label: str, values: typing.Mapping[str, float]) -> Metric:
    """Return a counter or gauge with a sample for each value of a label."""
    return Metric(kind, name, help_text, [({label: key}, value) for key, value in sorted(values.items())])
