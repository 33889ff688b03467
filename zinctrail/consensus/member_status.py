"""The metrics and the status page of every process."""

import collections
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.runtime.metrics as metrics

MODES = ('leader', 'follower', 'candidate')


class MemberStatus:
    """Provides the metrics and the status document of a member. Mixed into Member."""

    def figures(self) -> dict[str, typing.Any]:
        """Return the counters of the host, which replaces this method if it has any."""
        return {}

    def measures(self) -> typing.Iterator[tuple]:
        """Yield the rows for zinctrail.runtime.metrics."""
        yield metrics.gauge('term', 'The term this process knows of.', self.term)
        yield metrics.gauge('generation', 'The newest generation in force here.', self.replica.committed[1])
        yield metrics.gauge(
            'lease_seconds',
            'What is left of the lease; 0: acts on nothing.',
            max(0.0, self.lease_remaining().total_seconds()),
        )
        yield metrics.by_label(
            metrics.GAUGE,
            'mode',
            'What it is in the agreement now.',
            'mode',
            {mode: int(self.mode == mode) for mode in MODES},
        )
        yield metrics.counter('bad_frames', 'Frames left unread.', self.bad_frames)
        yield self.endpoint_counts()

    def endpoint_counts(self) -> tuple:
        """Return the metrics row that counts endpoints by service, by state, and by whether they are warming up."""
        counts = collections.Counter(
            (row['service'], row['state'], 'yes' if row.get('chill') or row['cold'] else 'no')
            for row in self.replica.get('endpoints').values()
        )
        return (
            metrics.GAUGE,
            'endpoints',
            'Endpoints as this process knows them.',
            [
                ({'service': service, 'state': state, 'cold': cold}, count)
                for (service, state, cold), count in sorted(counts.items())
            ],
        )

    def status(self) -> dict[str, typing.Any]:
        """Return the status document; its keys are part of the HTTP interface."""
        return {
            'id': self.node,
            'role': self.role,
            'cell': self.location.cell,
            'addr': self.location.addr,
            'http': self.location.http,
            'cluster': self.cluster,
            'mode': self.mode,
            'term': self.term,
            'master': self.leader,
            'accepted': list(self.replica.accepted),
            'generation': list(self.replica.committed),
            'lease_ms': max(0, durations.to_ms(self.lease_remaining())),
            'partners': len(self.known_nodes),
            'bad_frames': self.bad_frames,
            'host': self.figures(),
        }


def age_ms(now: datetime.timedelta, moment: datetime.timedelta | None) -> int:
    """Return how long ago a moment was, in ms; -1 for None."""
    return durations.to_ms(now - moment) if moment is not None else -1
