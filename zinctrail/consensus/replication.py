"""The leader's single line of state versions: computed, published and committed in order."""

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

# How many state versions may be on their way to a quorum at once.
IN_FLIGHT_MOST = 16
# The line of waiting changes is refused further ones from so many times `queue_most` on.
QUEUE_FACTOR = 4
BUSY = {'status': 503, 'fault': 'busy', 'retry_ms': 200}


@dataclasses.dataclass(slots=True)
class PendingResult:
    """The result of a change or read, known but not to be told before what it rests on is committed."""

    callback: typing.Callable[[dict], None]
    result: dict
    # What is told instead where this node stops leading before.
    if_leadership_lost: dict


@dataclasses.dataclass(slots=True)
class Publication:
    """A state version that was published and is not committed yet."""

    version: tuple[int, int]
    # The rows that lead to it from the version before: [[table, key, value or None]].
    rows: list
    changes_routes: bool
    changes_voting_set: bool
    # The voting sets {'committed': nodes, 'accepted': nodes}, a majority of both of which must accept it.
    voting_set: dict
    accepted_by: set[str]
    published_at: datetime.timedelta
    results: list[PendingResult]


class Replication(leader_part.LeaderPart):
    """Computes versions out of submitted changes, publishes them, and commits what a quorum accepted."""

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # Changes that wait for the next version.
        self.queue: list[transactions.Task] = []
        # What is published and not committed, the oldest first.
        self.in_flight: collections.deque[Publication] = collections.deque()
        self.last_published_at: datetime.timedelta | None = None

    # -- changes and reads ------------------------------------------------

    def submit(self, work: typing.Callable, callback: typing.Callable, for_caller: bool):
        """Put a change into the line; see `Leading.submit`."""
        if len(self.queue) >= self.voter.settings.queue_most * QUEUE_FACTOR:
            callback(dict(BUSY))
        else:
            self.queue.append(transactions.Task(work, callback, for_caller))
            self.pump()

    def read(self, work: typing.Callable, callback: typing.Callable):
        """Read what is in force; see `Leading.read`."""
        voter = self.voter

        def look(is_confirmed):
            if is_confirmed and self.is_current:
                callback(transactions.View(voter.replica, voter.replica.committed, voter.now).run(work))
            else:
                callback(consensus_results.NO_LEADER)

        def read_again(result):
            if result['status'] == 200:
                voter.read(work, callback)
            else:
                callback(result)

        if voter.replica.committed[0] != voter.term:
            # What was acknowledged before this term may be missing until its first version is in force.
            voter.submit(lambda transaction: {'status': 200}, read_again)
        else:
            self.leadership.fenced_reads.fence(look)

    def answer_unchanged(self, results: list[PendingResult]):
        """Give the results of work that changed nothing.

        They are those of reads: told once this node is known to have led after they came, and all that they saw is
        committed.
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

    def pump(self):
        """Publish the next version with all changes that wait, as soon as one may follow the last."""
        if not self._may_publish():
            return
        voter = self.voter
        # What comes at about the same time shares a publication.
        if self.last_published_at is not None and voter.now < self.last_published_at + voter.settings.gather:
            voter.timers.setdefault('publish', self.last_published_at + voter.settings.gather)
            return
        voter.timers.pop('publish', None)
        self.last_published_at = voter.now
        self.publish()

    def _may_publish(self):
        if not self.is_current or not self.queue or self.leadership.voting_configuration.waits_for_commits:
            return False
        if len(self.in_flight) >= IN_FLIGHT_MOST:
            return False
        # Nothing is published that could not be committed: its callers can then be refused for certain.
        if self.voter.majority_contact.is_round_overdue():
            return False
        # The first version of a term stands alone: what a leader keeps beside the state, as of locks and heartbeats
        # of endpoints, begins once it is in force.
        if self.in_flight and self.voter.replica.committed[0] != self.voter.term:
            return False
        # Nothing follows an uncommitted change of the voting set: each set's quorums must know of the one before.
        return not any(publication.changes_voting_set for publication in self.in_flight)

    def publish(self):
        """Compute the next version out of the whole line, and send it."""
        voter = self.voter
        queue, self.queue = self.queue, []
        base, version = voter.replica.accepted, (voter.term, voter.replica.accepted[1] + 1)
        transaction = transactions.Transaction(voter.replica, version, voter.now)
        results = [PendingResult(task.callback, transaction.run(task.work), consensus_results.LOST) for task in queue]
        rows = transaction.rows()
        if not rows:
            for pending in results:
                pending.if_leadership_lost = consensus_results.UNSURE
            self.answer_unchanged(results)
            return
        changes_routes = bool(replica.routes_of(rows))
        if changes_routes:
            rows.append(['meta', 'routes', list(version)])
        voter.replica.accept(version, rows=rows)
        self.in_flight.append(self._publication(version, rows, changes_routes, results))
        voter.history.add(base, version, rows, voter.replica.size())
        voter.counts['generations'] += 1
        self._send_publication(rows, changes_routes)
        # After the sends: the other disks and ours may write at the same time. Ours counts only when it is done, since
        # effects are carried out in order.
        voter.persist(version, base, rows, None)
        if len(self.in_flight) == 1:
            voter.set_timer('publication', voter.settings.publish)
        self.check_commit()

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
        # Newcomers get it before it is committed, since their answers may be what makes the quorum.
        for table, node, row in rows:
            if table == 'members' and row:
                self.leadership.membership.add_peer(node, row)
        for peer in self.leadership.peers.values():
            if peer.is_control_node or (changes_routes and not self.owes_answer(peer)):
                self.leadership.member_updates.send_missing(peer)

    def owes_answer(self, peer):
        """Whether a member that does not vote has not yet answered for the last version it was sent.

        It is waited for, a while: what changes meanwhile goes to it in one frame, and it holds up no other member.
        """
        return (
            peer.sent_version is not None
            and peer.sent_version != peer.accepted
            and self.voter.now - peer.sent_at < self.voter.settings.ack
        )

    # -- answers and commits ----------------------------------------------

    def on_response(self, message: messages.PublishResponse):
        """A member answered for a version of this term that it was sent."""
        peer = self.leadership.peers.get(message.sender.node)
        if peer is None or message.accepted is None:
            # Without `accepted` it refused a version of an older term of ours, and says only which term it reached.
            return
        peer.accepted = max(peer.accepted or (0, 0), message.accepted) if message.is_accepted else message.accepted
        self.leadership.state_transfers.finish(peer, message.version)
        if not message.is_accepted and message.version == peer.sent_version:
            # Only for the last: each of those on their way before it was refused, too.
            peer.sent_version, peer.notified_commit = None, (0, 0)
        self.note_accepted(peer)
        if not self.is_current or peer.node not in self.leadership.peers:
            return
        if peer.accepted != self.leadership.member_updates.latest_for(peer) and self._may_offer_again(peer):
            self.leadership.member_updates.send_missing(peer)
        self.leadership.member_updates.notify_commit(peer)

    def _may_offer_again(self, peer):
        # To voters everything is sent as it is published; they are offered more only where it is unknown what arrives.
        return peer.sent_version is None or (not peer.is_control_node and peer.sent_version == peer.accepted)

    def note_accepted(self, peer: peers.Peer):
        """Count a member that has all up to the version it says it accepted: a term makes one line of versions."""
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
        """Commit the publications that a quorum accepted, and do what waited for that."""
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
        # Before the members are notified: what is published now tells of the commit, too.
        self.pump()
        for peer in list(self.leadership.peers.values()):
            self.leadership.member_updates.notify_commit(peer)

    def _take_accepted(self):
        """The oldest publications that a quorum accepted, taken out of those in flight."""
        done = []
        while self.in_flight and replica.joint_quorum(self.in_flight[0].accepted_by, self.in_flight[0].voting_set):
            done.append(self.in_flight.popleft())
        if done and self.in_flight:
            self.voter.timers['publication'] = self.in_flight[0].published_at + self.voter.settings.publish
        elif done:
            self.voter.timers.pop('publication', None)
        return done

    def on_commit_response(self, message: messages.CommitResponse):
        """A member that does not vote says what it has committed."""
        peer = self.leadership.peers.get(message.sender.node)
        if peer is None:
            return
        peer.committed = max(peer.committed, message.version)
        if peer.lease_granted_at is None:
            # The round that its lease rests on may have been answered while it took this.
            self.leadership.leases.grant(peer)

    # -- the end ----------------------------------------------------------

    def abandon(self):
        """The leadership is lost: tell whoever waits for a change; a successor may still commit what is in flight."""
        in_flight, self.in_flight = self.in_flight, collections.deque()
        queue, self.queue = self.queue, []
        for publication in in_flight:
            for pending in publication.results:
                pending.callback(pending.if_leadership_lost)
        for task in queue:
            task.callback(consensus_results.NO_LEADER)

    def refuse_callers(self):
        """Refuse what callers wait for and that was not published; the leader's own changes stay in the line."""
        queue, self.queue = self.queue, []
        self.queue = [task for task in queue if not task.for_caller]
        for task in queue:
            if task.for_caller:
                task.callback(consensus_results.NO_LEADER)
