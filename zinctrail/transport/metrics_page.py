"""GET /v1/metrics: the metrics of a process, in the Prometheus text format."""

import os
import typing

import zinctrail.runtime.metrics as metrics

if typing.TYPE_CHECKING:
    import prometheus_client.metrics_core as metrics_core

    import zinctrail.transport.host as transport_host


def host_rows(host: 'transport_host.Host') -> typing.Iterator[metrics.Metric]:
    """Yield the host's own metrics, as rows of `runtime.metrics`."""
    stats, peers = host.stats, host.peers
    yield metrics.counter('stalls', 'Times the loop was held up for 200 ms or more.', stats['stalls'])
    yield metrics.counter('broken_inputs', 'Inputs whose handler broke.', stats['broke'])
    yield metrics.counter('disk_writes', 'Files brought durably to disk.', stats['writes'])
    yield metrics.by_label(metrics.COUNTER, 'frames', 'Frames sent to our other processes.', 'kind', peers.sent_by_kind)
    yield metrics.by_label(metrics.COUNTER, 'frames_got', 'Frames got from them.', 'kind', peers.received_by_kind)
    yield metrics.by_label(metrics.COUNTER, 'frame_bytes', 'Bytes of those frames.', 'kind', peers.sent_bytes_by_kind)
    yield metrics.by_label(
        metrics.COUNTER,
        'connections_opened',
        'New connections to endpoints.',
        'way',
        {'library': host.http_client.connector.opened, 'plain': host.endpoint_client.opened},
    )
    clients = host.clients
    yield metrics.gauge('clients', 'Connections of clients that are open.', len(clients.channels))
    yield metrics.gauge('clients_held_bytes', 'Bytes that are held for clients.', clients.account.held_bytes)
    yield metrics.counter('clients_evicted', 'Connections of clients closed to make room.', clients.evicted)
    yield metrics.counter('clients_refused', 'Clients refused for lack of room.', clients.refused)
    yield metrics.gauge('memory_bytes', 'Memory that is resident now.', resident_bytes())
    yield metrics.gauge('descriptors', 'Descriptors that are open.', open_descriptors())


def resident_bytes() -> float:
    """Return the resident memory of this process in bytes, or NaN if it can't be read."""
    try:
        with open('/proc/self/statm', encoding='ascii') as file:
            return int(file.read().split()[1]) * os.sysconf('SC_PAGE_SIZE')
    except (OSError, ValueError, IndexError):
        return float('nan')


def open_descriptors() -> float:
    """Return the number of open file descriptors of this process, or NaN if they can't be listed."""
    try:
        # Minus the descriptor that listing the folder opens.
        return len(os.listdir('/proc/self/fd')) - 1
    except OSError:
        return float('nan')


class RowCollector:
    """A prometheus_client collector for the rows of one scrape."""

    def __init__(self, rows: list[metrics.Metric]) -> None:
        self.rows = rows

    def collect(self) -> typing.Iterator['metrics_core.Metric']:
        """Yield a metric family for each row."""
        import prometheus_client.core as core

        for kind, name, text, values in self.rows:
            name = f'zinctrail_{name}'
            labels = list(values[0][0]) if values else []
            if kind == metrics.HISTOGRAM:
                histogram = core.HistogramMetricFamily(name, text, labels=labels)
                for found, (counts, bounds, total) in values:
                    histogram.add_metric(list(found.values()), cumulative_buckets(counts, bounds), total)
                yield histogram
            else:
                make = core.CounterMetricFamily if kind == metrics.COUNTER else core.GaugeMetricFamily
                family = make(name, text, labels=labels)
                for found, value in values:
                    family.add_metric(list(found.values()), value)
                yield family


def cumulative_buckets(counts: list[int], bounds: list[float]) -> list[tuple[str, int]]:
    """Return the cumulative buckets of a histogram that the text format requires: each includes those below it."""
    buckets, so_far = [], 0
    for bound, count in zip([*map(str, bounds), '+Inf'], counts, strict=True):
        so_far += count
        buckets.append((bound, so_far))
    return buckets


def page(host: 'transport_host.Host') -> tuple[str, bytes]:
    """Return the content type and the body of the metrics page."""
    # Imported here because most processes are never scraped, and the import costs 0.7 MB and 22 ms of processor
    # time (docs/operate/figures.md).
    import prometheus_client.exposition as exposition

    rows = [*host.machine.measures(), *host_rows(host)]
    return exposition.CONTENT_TYPE_LATEST, exposition.generate_latest(RowCollector(rows))
