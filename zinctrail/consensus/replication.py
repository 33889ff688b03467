"""Log replication on the leader: state versions are computed, published and committed in order."""

import collections
import dataclasses
import datetime
import typing

import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replica as replica
import zinctrail.consensus.results as consensus_results
import zinctrail.consensus.transactions as transactions
import zinctrail.consensus.version_check as version_check

# How many state versions may be published and not yet committed at once.
MAX_IN_FLIGHT = 16
# Further changes are refused once the queue holds this many times `queue_most`.
QUEUE_FACTOR = 4
BUSY = {'status': 503, 'fault': 'busy', 'retry_ms': 200}


@dataclasses.dataclass(slots=True)
class PendingResult:
    """The result of a change or read, withheld until the version that it depends on is committed."""

    callback: typing.Callable[[dict], None]
    result: dict
    # The result to give instead if this node loses its leadership first.
    if_leadership_lost: dict


@dataclasses.dataclass(slots=True)
class Publication:
    """A state version that was published and is not yet committed."""

    version: tuple[int, int]
    # The rows that changed since the previous version: [[table, key, value or None]].
    rows: list
    changes_routes: bool
    changes_voting_set: bool
    # The voting sets {'committed': nodes, 'accepted': nodes}; a majority of each must accept the version.
    voting_set: dict
    accepted_by: set[str]
    published_at: datetime.timedelta
    results: list[PendingResult]


class Replication(leader_part.LeaderPart):
    """Computes versions from submitted changes, publishes them, and commits those that a quorum accepted."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # Changes that wait for the next version.
        self.queue: list[transactions.Task] = []
        # The published and uncommitted versions, the oldest first.
        self.in_flight: collections.deque[Publication] = collections.deque()
        self.last_published_at: datetime.timedelta | None = None

    # -- changes and reads ------------------------------------------------

    def submit(self, work: typing.Callable, callback: typing.Callable, for_caller: bool):
        """Add a change to the queue; see `Leading.submit`."""
        if len(self.queue) >= self.voter.settings.queue_most * QUEUE_FACTOR:
            callback(dict(BUSY))
        else:
            self.queue.append(transactions.Task(work, callback, for_caller))
            self.try_publish()

    def read(self, work: typing.Callable, callback: typing.Callable):
        """Read the state in force; see `Leading.read`."""
        voter = self.voter

        def read_if_confirmed(is_confirmed):
            if is_confirmed and self.is_current:
                view = transactions.View(voter.replica, voter.replica.committed, voter.now, voter.guard)
                callback(view.run(work))
            else:
                callback(consensus_results.NO_LEADER)

        def retry_read(result):
            if result['status'] == 200:
                voter.read(work, callback)
            else:
                callback(result)

        if voter.replica.committed[0] != voter.term:
            # Until the first version of this term is committed, changes acknowledged in earlier terms may be missing.
            voter.submit(lambda transaction: {'status': 200}, retry_read)
        else:
            self.leadership.fenced_reads.fence(read_if_confirmed)

    def complete_unchanged(self, results: list[PendingResult]):
        """Give the results of tasks that changed nothing.

        They are treated as reads: the results are withheld until a quorum confirms that this node still led after the
        tasks arrived, and until the version that they saw is committed.
        """
        seen = self.voter.replica.accepted

        def confirmed(is_confirmed):
            for publication in self.in_flight if is_confirmed else ():
                if publication.version == seen:
                    publication.results.extend(results)
                    return
            for pending in results:
                pending.callback(pending.result if is_confirmed else pending.if_leadership_lost)

        self.leadership.fenced_reads.fence(confirmed)

    # -- publishing -------------------------------------------------------

    def try_publish(self):
        """Publish all queued changes as the next version, if one may be published now."""
        if not self._may_publish():
            return
        voter = self.voter
        # Changes that arrive within `gather` are batched into one version.
        if self.last_published_at is not None and voter.now < self.last_published_at + voter.settings.gather:
            voter.timers.setdefault('publish', self.last_published_at + voter.settings.gather)
            return
        voter.timers.pop('publish', None)
        self.last_published_at = voter.now
        self.publish()

    def _may_publish(self):
        if not self.is_current or not self.queue or self.leadership.voting_configuration.waits_for_commits:
            return False
        if len(self.in_flight) >= MAX_IN_FLIGHT:
            return False
        # While a majority is silent, nothing is published, because it could not be committed; the callers can then be
        # refused with the certainty that nothing was carried out.
        if self.voter.majority_contact.is_round_overdue():
            return False
        # The first version of a term must be committed before the next is published: the leader's own records besides
        # the state, such as those of locks and endpoint heartbeats, begin once it is in force.
        if self.in_flight and self.voter.replica.committed[0] != self.voter.term:
            return False
        # An uncommitted change of the voting set blocks further versions: a quorum of each set must know the set before.
        return not any(publication.changes_voting_set for publication in self.in_flight)

    def publish(self):
        """Compute the next version from the queued changes, and send it."""
        voter = self.voter
        base, version = voter.replica.accepted, (voter.term, voter.replica.accepted[1] + 1)
        results, rows = self._take_changes(version)
        if not rows:
            for pending in results:
                pending.if_leadership_lost = consensus_results.LEADERSHIP_UNCONFIRMED
            self.complete_unchanged(results)
            return
        changes_routes = bool(replica.routes_of(rows))
        if changes_routes:
            rows.append(['meta', 'routes', list(version)])
        voter.replica.accept(version, rows=rows)
        self.in_flight.append(self._publication(version, rows, changes_routes, results))
        voter.history.add(base, version, rows, voter.replica.size())
        voter.counts['generations'] += 1
        self._send_publication(rows, changes_routes)
        # Written after the sends, so that this disk and those of the other voters write at the same time. Effects are
        # carried out in order, so our own acceptance takes effect only once the write is durable.
        voter.persist(version, base, rows, None)
        if len(self.in_flight) == 1:
            voter.set_timer('publication', voter.settings.publish)
        self.check_commit()

    def _take_changes(self, version) -> tuple[list[PendingResult], replica.Rows]:
        """Take the changes from the queue that one version can carry; return their results, and the rows they write.

        A change that no version can carry is refused, and writes nothing.
        """
        voter = self.voter
        queue, self.queue = self.queue, []
        while True:
            transaction = transactions.Transaction(voter.replica, version, voter.now, voter.guard)
            results = [
                PendingResult(task.callback, transaction.run(task.work), consensus_results.LOST) for task in queue
            ]
            rows = transaction.rows()
            refusal = self._refusal(rows) if rows else None
            if refusal is None:
                return results, rows
            if len(queue) == 1:
                return [PendingResult(queue[0].callback, refusal, consensus_results.LOST)], []
            # The first half alone, until it can be carried or is the one change that can't.
            half = len(queue) // 2
            queue, self.queue = queue[:half], queue[half:] + self.queue
            voter.timers.setdefault('publish', voter.now + voter.settings.gather)

    def _refusal(self, rows: replica.Rows) -> consensus_results.OperationResult | None:
        """Return the result for the caller of a change that a version can't carry; None if it can."""
        voter = self.voter
        try:
            version_check.check(rows, voter.settings.frame_most)
            voter.rehearse(rows)
        except version_check.VersionTooLargeError as error:
            return {'status': 413, 'fault': f'the change is too large: {error}'}
        except Exception:
            if voter.guard.passes_on:
                raise
            return voter.guard.record('a version before it was proposed')
        return None

    def _publication(self, version, rows, changes_routes, results):
        return Publication(
            version=version,
            rows=rows,
            changes_routes=changes_routes,
            changes_voting_set=any(row[:2] == ['meta', 'vc'] for row in rows),
            voting_set=self.voter.voting_set(),
            accepted_by={self.voter.node},
            published_at=self.voter.now,
            results=results,
        )

    def _send_publication(self, rows, changes_routes):
        # New members get the version before it is committed, since their responses may be needed for the quorum.
        for table, node, row in rows:
            if table == 'members' and row:
                self.leadership.membership.add_peer(node, row)
        for peer in self.leadership.peers.values():
            if peer.is_control_node or (changes_routes and not self.awaits_response(peer)):
                self.leadership.member_updates.send_missing(peer)

    def awaits_response(self, peer):
        """True if the leader waits for a non-voting member's response to the last version that it was sent.

        The wait is bounded by the setting `ack`. Changes made meanwhile go to the member in one frame, and no other
        member is delayed.
        """
        return (
            peer.sent_version is not None
            and peer.sent_version != peer.accepted
            and self.voter.now - peer.sent_at < self.voter.settings.ack
        )

    # -- responses and commits --------------------------------------------

    def on_response(self, message: messages.PublishResponse):
        """Handle a member's response to a version that it was sent in this term."""
        peer = self.leadership.peers.get(message.sender.node)
        if peer is None or message.accepted is None:
            # Without `accepted`, the member is in a newer term than the version, and reports only that term.
            return
        peer.accepted = max(peer.accepted or (0, 0), message.accepted) if message.is_accepted else message.accepted
        self.leadership.state_transfers.finish(peer, message.version)
        if not message.is_accepted and message.version == peer.sent_version:
            # Only for the last version sent: each version in flight before it is refused as well.
            peer.sent_version, peer.notified_commit = None, (0, 0)
        self.record_accepted(peer)
        if not self.is_current or peer.node not in self.leadership.peers:
            return
        if peer.accepted != self.leadership.member_updates.latest_for(peer) and self._may_offer_again(peer):
            self.leadership.member_updates.send_missing(peer)
        self.leadership.member_updates.notify_commit(peer)

    def _may_offer_again(self, peer):
        # Voters are sent every version as it is published; further ones are offered only if it is unknown what they
        # have received.
        return peer.sent_version is None or (not peer.is_control_node and peer.sent_version == peer.accepted)

    def record_accepted(self, peer: peers.Peer):
        """Count a member for every version up to the one that it accepted: within a term versions are linear."""
        if peer.accepted[0] != self.voter.term:
            return
        self.leadership.voting_configuration.record_caught_up(peer)
        is_new = False
        for publication in self.in_flight:
            if publication.version > peer.accepted:
                break
            if peer.node not in publication.accepted_by:
                publication.accepted_by.add(peer.node)
                is_new = True
        if is_new:
            self.check_commit()

    def check_commit(self):
        """Commit the publications that a quorum accepted, and run everything that waited for the commit."""
        voter = self.voter
        done = self._take_accepted()
        if not done:
            return
        for publication in done:
            self.leadership.leases.record_commit(publication.version, publication.changes_routes)
        voter.rows_committed(voter.replica.commit(done[-1].version))
        for publication in done:
            for pending in publication.results:
                pending.callback(pending.result)
        if self.is_current:
            self.leadership.fenced_reads.version_committed(done[-1].version)
        if not self.is_current:
            return
        if any(row[0] == 'members' for publication in done for row in publication.rows):
            self.leadership.membership.sync_peers()
        voting_configuration = self.leadership.voting_configuration
        if voting_configuration.waits_for_commits or any(publication.changes_routes for publication in done):
            voting_configuration.reconfigure()
        # Before the members are notified, because a version that is published now carries the commit as well.
        self.try_publish()
        for peer in list(self.leadership.peers.values()):
            self.leadership.member_updates.notify_commit(peer)

    def _take_accepted(self):
        """Remove the oldest publications that a quorum accepted from those in flight, and return them."""
        done = []
        while self.in_flight and replica.joint_quorum(self.in_flight[0].accepted_by, self.in_flight[0].voting_set):
            done.append(self.in_flight.popleft())
        if done and self.in_flight:
            self.voter.timers['publication'] = self.in_flight[0].published_at + self.voter.settings.publish
        elif done:
            self.voter.timers.pop('publication', None)
        return done

    def on_commit_response(self, message: messages.CommitResponse):
        """Handle a non-voting member's report of its committed version."""
        peer = self.leadership.peers.get(message.sender.node)
        if peer is None:
            return
        peer.committed = max(peer.committed, message.version)
        if peer.lease_granted_at is None:
            # A quorum may have responded to the lease's heartbeat round while the member applied the commit.
            self.leadership.leases.grant(peer)

    # -- loss of leadership -----------------------------------------------

    def abandon(self):
        """Give waiting callers their results after the leadership is lost.

        The next leader may still commit the versions in flight, so their outcome is unknown.
        """
        in_flight, self.in_flight = self.in_flight, collections.deque()
        queue, self.queue = self.queue, []
        for publication in in_flight:
            for pending in publication.results:
                pending.callback(pending.if_leadership_lost)
        for task in queue:
            task.callback(consensus_results.NO_LEADER)

    def refuse_callers(self):
        """Refuse the queued changes that callers wait for; the leader's own changes stay in the queue."""
        queue, self.queue = self.queue, []
        self.queue = [task for task in queue if not task.for_caller]
        for task in queue:
            if task.for_caller:
                task.callback(consensus_results.NO_LEADER)
