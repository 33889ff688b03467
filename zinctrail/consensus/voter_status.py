"""The metrics and status fields that a voter adds to those of every member."""

import collections
import typing

import zinctrail.consensus.member_status as member_status
import zinctrail.runtime.metrics as metrics

if typing.TYPE_CHECKING:
    import zinctrail.consensus.voter as voter

# The counters exported as metrics, with their descriptions.
COUNTERS = (
    ('elections', 'Elections it stood in.'),
    ('prevotes', 'Pre-votes before an election.'),
    ('generations', 'Versions it made as leader.'),
    ('full', 'Whole states sent, not changes.'),
    ('transfers', 'Whole states and changes sent in chunks.'),
    ('internal_errors', 'Calls, frames and timers that an unforeseen exception ended.'),
    ('pieces', 'Pieces of those that were sent.'),
    ('probes', 'Probes of endpoints it gave out.'),
)


def measures(node: 'voter.Voter') -> typing.Iterator[tuple]:
    """Yield the rows for zinctrail.runtime.metrics."""
    for name, text in COUNTERS:
        yield metrics.counter(name, text, node.counts[name])
    yield metrics.gauge('queue', 'Changes that wait for the next version.', waiting_changes(node))
    yield metrics.gauge('unfit', 'Whether its disk can not be written.', int(node.disk_failed))
    has_vote = node.node in (node.voting_set() or {}).get('accepted', ())
    yield metrics.gauge('voter', 'Whether it is in the voting set.', int(has_vote))
    if node.is_leader:
        yield from leader_measures(node)


def leader_measures(node: 'voter.Voter') -> typing.Iterator[tuple]:
    """Yield the additional rows of a leader."""
    yield metrics.gauge(
        'losses_borne', 'Voters that may be lost now and a majority still be there.', node.losses_tolerated()
    )
    yield metrics.gauge(
        'voting_set_waits', 'What a better voting set waits for: how many things.', len(node.voting_set_waits())
    )
    yield metrics.by_label(
        metrics.GAUGE,
        'members',
        'Members, as the leader knows them.',
        'role',
        collections.Counter(row['role'] for row in node.replica.get('members').values()),
    )


def status(node: 'voter.Voter') -> dict[str, typing.Any]:
    """Return the voter's fields of the status document; its keys are part of the HTTP interface."""
    document: dict[str, typing.Any] = {}
    if node.is_empty():
        counts = node.bootstrap.seed_counts()
        document['waits_to_form'] = {
            'seeds_named': counts.named,
            'answer': counts.reachable,
            'silent': counts.unreachable,
            'control_nodes': node.bootstrap.control_nodes_seen(),
            'only_joins': not node.formation.may_form,
        }
    if node.cluster_replacement.replaced_by:
        document['given_up_for'] = node.cluster_replacement.replaced_by
    return document | {
        'unfit': node.disk_failed,
        'voters': node.voting_set(),
        'losses_borne': node.losses_tolerated(),
        'voting_set_waits': node.voting_set_waits(),
        'counts': dict(node.counts),
        'queue': waiting_changes(node),
        'members': members(node),
    }


def waiting_changes(node: 'voter.Voter') -> int:
    """Return the number of changes that wait for the next version."""
    return len(node.leadership.replication.queue) if node.leadership else 0


def members(node: 'voter.Voter') -> dict[str, dict[str, typing.Any]]:
    """Return the members; on the leader, with what it knows of each."""
    rows = node.replica.get('members')
    if not node.is_leader:
        return dict(rows)
    return {name: {**row, **member_as_led(node, name)} for name, row in rows.items()}


def member_as_led(node: 'voter.Voter', name: str) -> dict[str, typing.Any]:
    """Return the status fields that a leader adds for one member."""
    peer = node.peers.get(name)
    if peer is None or node.leadership is None:
        return {'ack_ms': 0, 'generation': list(node.replica.committed), 'leased': name == node.node}
    is_current = node.leadership.leases.has_all_committed(peer, peer.responded_at)
    return {
        'ack_ms': member_status.age_ms(node.now, peer.last_seen_at),
        'generation': list(peer.committed),
        'leased': is_current and node.now - peer.last_seen_at < node.settings.lease,
    }
