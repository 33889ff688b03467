"""The guards (rules of the protocol) that ensure the invariants, and the patches that switch each of them off.

If an invariant holds with its guard switched off, either something else ensures
it as well, or the scope is too small to show the violation
(docs/notes/model.md lists these).
"""

import collections.abc
import contextlib
import dataclasses
import typing
import unittest.mock

import zinctrail.consensus.election as election
import zinctrail.consensus.fenced_reads as fenced_reads
import zinctrail.consensus.member as member
import zinctrail.consensus.replica as replica
import zinctrail.consensus.replication as replication
import zinctrail.consensus.results as results
import zinctrail.consensus.voter as voter
import zinctrail.consensus.voting_configuration as voting_configuration
import zinctrail.control.configuration_items as configuration_items
import zinctrail.model.attributes as attributes


@dataclasses.dataclass(frozen=True)
class Patch:
    """The replacement of one attribute of a module or class of the product.

    Creating it raises UnknownAttributeError if the product has no such attribute
    or it takes other parameters, so that a rename there can not silently disable a guard.
    """

    owner: object
    attribute: str
    replacement: typing.Any

    def __post_init__(self):
        attributes.require_replaceable(self.owner, self.attribute, self.replacement)


@dataclasses.dataclass(frozen=True)
class Guard:
    """A rule of the protocol: the patches that switch it off, and the scope in which this shows a violation."""

    scope: str
    patches: tuple[Patch, ...]


# -- replacements ---------------------------------------------------------------

ORIGINAL_ON_START_JOIN = election.Election.on_start_join
ORIGINAL_ON_VOTE = election.Election.on_vote
ORIGINAL_ON_PREVOTE = election.Election.on_pre_vote_response
ORIGINAL_RECORD_ACCEPTED = replication.Replication.record_accepted
ORIGINAL_FOLLOW = member.Member.follow
NOTHING_ACCEPTED = (0, 0)


def raise_term_in_memory(machine, term, vote=None):
    """Change the term and the vote in memory without writing them to disk."""
    machine.term, machine.vote = term, vote
    machine.election.term_raised()


def vote_twice(this_election, message):
    """Vote for a second candidate of the same term as well."""
    machine = this_election.voter
    if message.term == machine.term and machine.mode == 'candidate':
        machine.term -= 1
    ORIGINAL_ON_START_JOIN(this_election, message)


def quorum_of_one_third(nodes, configuration):
    """Treat a third of the voters as a quorum."""
    return bool(configuration) and 3 * len(set(nodes) & set(configuration)) >= len(configuration)


def quorum_of_new_set(nodes, voting_set):
    """Require a majority of the new voting set only."""
    return bool(voting_set) and replica.quorum(nodes, voting_set['accepted'])


def quorum_of_old_set(nodes, voting_set):
    """Require a majority of the old voting set only."""
    return bool(voting_set) and replica.quorum(nodes, voting_set['committed'])


def count_any_vote(this_election, message):
    """Count votes even from voters that have accepted a newer version than the candidate."""
    ORIGINAL_ON_VOTE(this_election, dataclasses.replace(message, accepted=NOTHING_ACCEPTED))


def count_any_prevote(this_election, message):
    """Count pre-votes even from voters that have accepted a newer version than the candidate."""
    ORIGINAL_ON_PREVOTE(this_election, dataclasses.replace(message, accepted=NOTHING_ACCEPTED))


def accept_any_base(self, version, base, full):
    """Accept a change even if its base is not the accepted version."""
    return version > self.accepted


def accept_any_version(self, version, base, full):
    """Accept a version even if it is older than the accepted one."""
    return full or base == self.accepted


def count_acceptance_in_any_term(self, peer):
    """Count a version that a member accepted in another term as if it was accepted in this one."""
    accepted = peer.accepted
    peer.accepted = (self.voter.term, accepted[1])
    ORIGINAL_RECORD_ACCEPTED(self, peer)
    peer.accepted = accepted


def fence_without_quorum(machine, callback):
    """Confirm the leadership without asking a quorum."""
    callback(True)


def follow_any_term(machine, message, pace=None):
    """Follow a leader of an older term."""
    return ORIGINAL_FOLLOW(machine, dataclasses.replace(message, term=max(message.term, machine.term)), pace)


def apply_any_item_version(txn, change):
    """Apply every change of an item, even with an equal or a lower version."""
    for key, version, row in configuration_items.to_changes(change):
        txn.put('items', key, {'v': version, 'row': row})
    return {'status': 200, 'took': 1, 'generation': txn.generation}


def keep_any_size(configuration, voters):
    """Let a voting set shrink, whatever losses it must tolerate."""
    return 0


# -- the table ------------------------------------------------------------------

COUNT_ANY_VOTE = Patch(election.Election, 'on_vote', count_any_vote)
COUNT_ANY_PREVOTE = Patch(election.Election, 'on_pre_vote_response', count_any_prevote)

GUARDS = {
    'vote on disk': Guard('elections', (Patch(voter.Voter, 'raise_term', raise_term_in_memory),)),
    'one vote a term': Guard('elections', (Patch(election.Election, 'on_start_join', vote_twice),)),
    'majority': Guard('elections', (Patch(replica, 'quorum', quorum_of_one_third),)),
    'votes from those behind only': Guard('new-leader', (COUNT_ANY_VOTE,)),
    'votes and pre-votes from those behind only': Guard('new-leader', (COUNT_ANY_VOTE, COUNT_ANY_PREVOTE)),
    'a version fits its base': Guard('late-copies', (Patch(replica.Replica, 'fits', accept_any_base),)),
    'a version is newer': Guard('stale-state', (Patch(replica.Replica, 'fits', accept_any_version),)),
    'answers count for their own term': Guard(
        'succession', (Patch(replication.Replication, 'record_accepted', count_acceptance_in_any_term),)
    ),
    'a leader of an older term is refused': Guard('succession', (Patch(member.Member, 'follow', follow_any_term),)),
    'a majority of the old voting set': Guard('voting-set', (Patch(replica, 'joint_quorum', quorum_of_new_set),)),
    'a majority of the new voting set': Guard('voting-set', (Patch(replica, 'joint_quorum', quorum_of_old_set),)),
    'a voting set keeps its size': Guard(
        'absent-voters', (Patch(voting_configuration.VotingConfiguration, '_least_size', keep_any_size),)
    ),
    'what a lost leader published is unknown': Guard('new-leader', (Patch(results, 'LOST', results.NO_LEADER),)),
    'an item version holds one content': Guard(
        'one-number', (Patch(configuration_items, 'apply', apply_any_item_version),)
    ),
    'reads wait for a quorum': Guard('reads', (Patch(fenced_reads.FencedReads, 'fence', fence_without_quorum),)),
}


@contextlib.contextmanager
def switched_off(name: str | None) -> collections.abc.Iterator[None]:
    """A context in which the named guard is off; all guards are on if `name` is empty."""
    with contextlib.ExitStack() as stack:
        for patch in GUARDS[name].patches if name else ():
            stack.enter_context(unittest.mock.patch.object(patch.owner, patch.attribute, patch.replacement))
        yield
