"""Decides which control nodes vote: changed by joint consensus, one step at a time."""

import collections.abc
import datetime

import zinctrail.consensus.leader_part as leader_part
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.peers as peers
import zinctrail.consensus.replication as replication
import zinctrail.runtime.durations as durations

# The largest set, unless the losses to tolerate need a larger one.
MAX_VOTERS = 5
# A set of this size tolerates one loss; the leader never shrinks a set below it.
MIN_VOTERS = 3
# How long an absent voter that may return with the same identity keeps its place: a restart should cost no change.
RETURN_WAIT = durations.ms(2000)
# The same if removing it would shrink the set without tolerating more losses than before.
SHRINK_WAIT = durations.ms(10000)
# How long after a change of the set its spread over regions is not improved: in a rolling restart the next
# replacement may improve it anyway, and each node should cost one change of the set, not two.
SPREAD_WAIT = durations.ms(15000)


def odd_size(count: int) -> int:
    """Return the largest odd size of a voting set that `count` nodes can fill."""
    return count - 1 + count % 2


def quorum_margin(voters: collections.abc.Collection, live: collections.abc.Collection) -> int:
    """Return how many live voters may be lost while the others are still a majority; negative without a majority."""
    return len(set(voters) & set(live)) - (len(voters) // 2 + 1)


class VotingConfiguration(leader_part.LeaderPart):
    """Changes the voting set so that it tolerates the most losses.

    The set is a row of the state, {'committed': nodes, 'accepted': nodes}. A change takes two versions: first the
    joint set, in which the two differ and a majority of each is needed, then the new set alone.
    """

    def __init__(self, voter, leadership):
        super().__init__(voter, leadership)
        # Whether a change waits until all published versions are committed; nothing new is published until then.
        self.waits_for_commits: bool = False
        # The submitted change that waits for the next version: the row that it writes.
        self.pending_change: dict | None = None
        # When each voter that is not a live member became absent: {node: when}.
        self.absent_since: dict[str, datetime.timedelta] = {}
        # The control nodes that have caught up at least once in this term.
        self.caught_up: set[str] = set()

    # -- changing the set -------------------------------------------------

    def reconfigure(self):
        """Take one step towards the best voting set, then release the members that wait to leave."""
        replica = self.voter.replica
        if not self.is_current or not replica.get('meta', 'vc') or replica.committed[0] != self.voter.term:
            self.waits_for_commits = False
            return
        self.voter.forget_addresses()
        self._change_voting_set()
        self.release_leaving()

    def _change_voting_set(self):
        committed = self.voter.replica.get('meta', 'vc')
        self.waits_for_commits, waited = False, self.waits_for_commits
        if committed['committed'] != committed['accepted']:
            changed = {'committed': committed['accepted'], 'accepted': committed['accepted']}
        else:
            next_voters = self.next_voting_set(committed['accepted'])
            if next_voters == committed['accepted']:
                if waited:
                    self.leadership.replication.try_publish()
                return
            changed = {'committed': committed['accepted'], 'accepted': next_voters}
        if self.pending_change == changed:
            return
        if self.leadership.replication.in_flight:
            # A new set may take effect only after the previous set has committed all earlier versions.
            self.waits_for_commits = True
            return
        self._submit_change(committed, changed)

    def _submit_change(self, committed, changed):
        voter = self.voter

        def change(transaction):
            if transaction.get('meta', 'vc') == committed:
                transaction.put('meta', 'vc', changed)
            return {'status': 200}

        voter.log(f'Voting set becomes {changed["accepted"]}.', 'voters', term=voter.term, voters=changed['accepted'])
        self.pending_change = changed
        voter.submit(change, self._change_done)

    def _change_done(self, result):
        self.pending_change = None

    # -- candidates for the voting set ------------------------------------

    def is_nearly_caught_up(self, peer: peers.Peer) -> bool:
        """True if a member has caught up far enough to vote.

        It may lack the newest versions: under load some are always in flight.
        """
        return (
            peer.accepted is not None
            and peer.accepted[0] == self.voter.term
            and self.voter.replica.accepted[1] - peer.accepted[1] <= 2 * replication.MAX_IN_FLIGHT
        )

    def record_caught_up(self, peer: peers.Peer):
        """Reconfigure at once if a control node has just caught up: the next heartbeat interval would be too late."""
        if peer.is_control_node and peer.node not in self.caught_up and self.is_nearly_caught_up(peer):
            self.caught_up.add(peer.node)
            self.reconfigure()

    def live_control_nodes(self) -> list[str]:
        """Return the control nodes that are members and do not shut down, including the leader."""
        leaving = self.leadership.membership.leaving
        others = [n for n, peer in self.leadership.peers.items() if peer.is_control_node and n not in leaving]
        return [self.voter.node, *others]

    def non_voters(self, voters: list[str]) -> list[str]:
        """Return the live control nodes outside the voting set, including those still catching up."""
        voter = self.voter
        return [n for n in self.live_control_nodes() if n not in voters and not (n == voter.node and voter.stopping)]

    def caught_up_non_voters(self, voters: list[str]) -> list[str]:
        """Return the live control nodes outside the voting set that have caught up, so that they could vote at once."""
        peers_here = self.leadership.peers
        return [n for n in self.non_voters(voters) if n == self.voter.node or self.is_nearly_caught_up(peers_here[n])]

    def is_permanently_lost(self, node: str) -> bool:
        """True if a voter has announced its shutdown, or another identity was admitted at its address."""
        if node in self.leadership.membership.leaving:
            return True
        address = self.voter.control_node_addresses.get(node)
        members = self.voter.replica.get('members')
        return any(row['addr'] == address and other != node for other, row in members.items())

    def absent_for(self, node: str) -> datetime.timedelta:
        """Return how long a voter has not been a live member."""
        return self.voter.now - self.absent_since[node]

    # -- choice of the next set -------------------------------------------

    def _required_size(self) -> int:
        """Return the smallest odd size whose voters without the losses to tolerate are still a majority."""
        least_voters = self.voter.settings.least_voters
        return least_voters + 1 - least_voters % 2

    def _best_size(self, ready: collections.abc.Sized) -> int:
        """Return the size of the set that tolerates the most losses of the nodes that are ready to vote."""
        return min(odd_size(len(ready)), max(MAX_VOTERS, self._required_size()))

    def _least_size(self, voters: list[str]) -> int:
        """Return the size below which the set is not shrunk, however long its voters are absent.

        An absent voter still has its disk. A set that is too small for the losses of disks to tolerate may lose its
        majority for good, even after all absent voters are back.
        """
        return min(self._required_size(), odd_size(len(voters)))

    def next_voting_set(self, voters: list[str]) -> list[str]:
        """Return the next set on the way to the best one; `voters` itself if no change is needed."""
        live = [n for n in self.live_control_nodes() if n in voters]
        absent = [n for n in voters if n not in live]
        self.absent_since = {n: self.absent_since.get(n, self.voter.now) for n in absent}
        # A voter that may return soon keeps its place: a restart should not cost two versions.
        awaited = [n for n in absent if not self.is_permanently_lost(n) and self.absent_for(n) < RETURN_WAIT]
        ready = live + self.caught_up_non_voters(voters) + awaited
        size = self._best_size(ready)
        if size < MIN_VOTERS:
            # The leader never shrinks the set below three by itself: a single surviving node must not decide alone.
            return voters if len(voters) >= MIN_VOTERS or len(ready) <= len(voters) else sorted(ready)
        size = max(size, self._least_size(voters))
        if size < self._best_size(voters) and not self._may_shrink(voters, live, absent, size):
            return voters
        picked = self._pick_voters(ready, min(size, len(ready)), voters, awaited)
        kept = self._most_likely_to_return(n for n in absent if n not in ready)
        return self._next_step(voters, sorted(picked + kept[: size - len(picked)]))

    def _most_likely_to_return(self, absent: collections.abc.Iterable[str]) -> list[str]:
        """Return absent voters, first those that may return with their disks, then those absent for the shortest time."""
        return sorted(absent, key=lambda n: (self.is_permanently_lost(n), self.absent_for(n), n))

    def _may_shrink(self, voters: list[str], live: list[str], absent: list[str], size: int) -> bool:
        """True if a smaller set tolerates more losses now, or all absent voters have been absent for SHRINK_WAIT."""
        if quorum_margin(range(size), range(size)) > quorum_margin(voters, live):
            return True
        return all(self.absent_for(n) >= SHRINK_WAIT for n in absent)

    def _pick_voters(
        self, ready: list[str], size: int, voters: list[str], awaited: collections.abc.Collection[str]
    ) -> list[str]:
        """Pick `size` of the ready nodes, spread over regions, then zones; current voters are preferred."""
        members = self.voter.replica.get('members')
        zones = self.voter.replica.get('cells')
        changed_at = self.voter.voting_set_changed_at
        keeps_voters = changed_at is not None and self.voter.now - changed_at < SPREAD_WAIT
        picked: list[str] = []

        def zone_of(node: str) -> str:
            return (members.get(node) or {'cell': ''})['cell']

        def region_of(node: str) -> str:
            return node_location.region_of(zones, zone_of(node))

        def cost(node: str) -> tuple:
            same_region = sum(1 for other in picked if region_of(other) == region_of(node))
            same_zone = sum(1 for other in picked if zone_of(other) == zone_of(node))
            is_new = node not in voters
            return keeps_voters and is_new, same_region, same_zone, is_new, node in awaited, node

        while len(picked) < size:
            picked.append(min((n for n in ready if n not in picked), key=cost))
        return sorted(picked)

    def _next_step(self, voters: list[str], target: list[str]) -> list[str]:
        """Return the next set on the way to the set `target`.

        Quorums of the sets before and after each step overlap in more than one node.
        """
        added = [n for n in target if n not in voters][:1]
        removed = [n for n in voters if n not in target]
        # Permanently lost voters are removed first: they reduce the number of losses that the set tolerates.
        removed.sort(key=lambda n: (not self.is_permanently_lost(n), n in self.leadership.peers, n))
        if len(target) <= len(voters):
            removed = removed[: 1 if added else 2]
        elif not removed:
            added = [n for n in target if n not in voters][:2]
        else:
            removed = removed[:1]
        return sorted((set(voters) | set(added)) - set(removed))

    # -- release of members that shut down --------------------------------

    def _is_stable(self):
        """True if no change of the voting set is in progress."""
        committed = self.voter.replica.get('meta', 'vc')
        is_joint = committed['committed'] != committed['accepted']
        return self.voter.voting_set() == committed and not is_joint and not self.waits_for_commits

    def release_leaving(self):
        """Release the waiting members that no longer vote, or whose place no other node can take."""
        if not self._is_stable():
            return
        voters = self.voter.voting_set()['accepted']
        for node in [n for n in self.leadership.membership.leaving if n in self.leadership.peers]:
            if node not in voters or not self._has_replacement(voters):
                peer = self.leadership.peers[node]
                self.voter.send_message(peer.address, messages.LeaveResponse())
                self.leadership.membership.remove(peer, 'left')

    def _has_replacement(self, voters: list[str]) -> bool:
        """True if the voting set is about to change, or a live control node could join it, perhaps after catching up."""
        return self.next_voting_set(voters) != voters or bool(self.non_voters(voters))

    # -- status -----------------------------------------------------------

    def losses_tolerated(self) -> int:
        """Return how many more voters may be lost now while each set keeps a majority; -1 without a majority."""
        voting_set = self.voter.voting_set()
        live = self.live_control_nodes()
        return max(-1, min(quorum_margin(voting_set['committed'], live), quorum_margin(voting_set['accepted'], live)))

    def pending_conditions(self) -> list[str]:
        """Return descriptions of the conditions that a better voting set waits for."""
        voting_set = self.voter.voting_set()
        waits = [] if voting_set['committed'] == voting_set['accepted'] else ['joint change under way']
        if self.waits_for_commits:
            waits.append('earlier generations to be committed')
        live, voters = self.live_control_nodes(), voting_set['accepted']
        waits += [f'catching up {n}' for n in self.non_voters(voters) if n not in self.caught_up]
        waits += [self._condition_for(n) for n in voters if n not in live]
        return waits

    def _condition_for(self, node: str) -> str:
        if node in self.leadership.membership.leaving:
            return f'a control node in the place of {node}, which leaves'
        if self.is_permanently_lost(node):
            return f'a control node in the place of {node}, which is gone for good'
        return f'{node} to come back, or a control node in its place'
