"""The invariants that must hold in every state, under the names usual in the literature.

An invariant is a function that returns a description of its violation, or an empty text.
"""

import collections.abc
import dataclasses
import functools
import json
import typing

import zinctrail.model.digest as digest

# Statuses that promise that the request was not carried out and will not be.
REFUSALS = (421, 429, 503)
# The version of a node that has committed nothing yet.
NOTHING_COMMITTED = (0, 0)


@functools.cache
def digest_of(history: 'History') -> bytes:
    """Return the digest of a history."""
    return digest.of_text(repr([sorted(map(repr, rows)) for rows in vars(history).values()]))


@dataclasses.dataclass(frozen=True)
class History:
    """Events on the way to a state that later states must not contradict, such as votes, commits and responses."""

    # (term, node)
    leaders: frozenset = frozenset()
    # (node, term, the node voted for)
    votes: frozenset = frozenset()
    # (version, term, digest of the tables in force)
    committed: frozenset = frozenset()
    # (request, term of the node that responded)
    acknowledged: frozenset = frozenset()
    # Requests refused with the promise that they were not carried out and will not be.
    refused: frozenset = frozenset()
    # (read, requests acknowledged before it was made)
    reads: frozenset = frozenset()
    # (key, version, digest of the content)
    items: frozenset = frozenset()

    def digest(self) -> bytes:
        """Return a digest that is equal for equal histories."""
        return digest_of(self)

    def add(self, **additions: collections.abc.Iterable) -> 'History':
        """Return the history with further elements; itself if it has them all."""
        grown = {name: getattr(self, name) | set(elements) for name, elements in additions.items()}
        if all(len(elements) == len(getattr(self, name)) for name, elements in grown.items()):
            return self
        return dataclasses.replace(self, **grown)


def observe(history: History, result, requests: dict[str, typing.Any]) -> History:
    """Return the history after a step with this result of a node."""
    view = result.state.view
    if view.mode == 'leader':
        history = history.add(leaders={(view.term, view.node)})
    for frame in result.sent:
        if frame.kind in ('sjoin', 'vote'):
            history = history.add(votes={vote_of(frame)})
    if view.committed_content is not None and view.committed > NOTHING_COMMITTED:
        term, version = view.committed
        history = history.add(
            committed={(version, term, view.committed_content)},
            items={(key, item_version, content) for (key, item_version), content in view.items.items()},
        )
    for name, text in result.responses:
        history = observe_response(history, view, requests[name], json.loads(text))
    return history


def vote_of(frame) -> tuple[str, int, str]:
    """Return (voter, term, candidate) of a frame that grants a vote; a candidate votes for itself."""
    message = json.loads(frame.text)
    candidate = message['f'] if frame.kind == 'sjoin' else f'node {frame.target}'
    return message['f'], message['term'], candidate


def observe_response(history: History, view, request, result: dict[str, typing.Any]) -> History:
    """Return the history after a node's response to a request."""
    if request.is_read:
        return history
    if result['status'] == 200:
        return history.add(acknowledged={(request.name, view.term)})
    if result['status'] in REFUSALS and not result.get('unknown'):
        return history.add(refused={request.name})
    return history


def first_violation(state, responses, requests, voters: int, least_voters: int) -> tuple[str, str] | None:
    """Return (name, reason) of the first invariant that does not hold; None if all hold.

    `responses` are those of the step that led to the state. `voters` is the number of
    voters, or 0 if majorities can not be checked, since voters change or disks may be lost.
    `least_voters` is the size below which no voting set may shrink.
    """
    for check in (
        election_safety,
        one_vote_a_term,
        state_machine_safety,
        one_content_a_version,
        refused_is_not_done,
        log_matching,
        leader_completeness,
    ):
        reason = check(state)
        if reason:
            return check.__name__, reason
    reason = durability(state, voters)
    if reason:
        return 'durability', reason
    reason = large_voting_sets(state, least_voters)
    if reason:
        return 'large_voting_sets', reason
    reason = fresh_reads(state, responses, requests)
    if reason:
        return 'fresh_reads', reason
    return None


def contradiction(pairs: collections.abc.Iterable[tuple]) -> tuple | None:
    """Return (key, value, other value) of the first key with two different values; None if there is none."""
    seen = {}
    for key, value in pairs:
        if seen.setdefault(key, value) != value:
            return key, seen[key], value
    return None


def election_safety(state) -> str:
    """There is at most one leader per term."""
    found = contradiction(state.history.leaders)
    return f'term {found[0]} has two leaders, {found[1]} and {found[2]}' if found else ''


def one_vote_a_term(state) -> str:
    """A node votes for at most one candidate per term, even across a restart."""
    found = contradiction(((node, term), chosen) for node, term, chosen in state.history.votes)
    return f'{found[0][0]} voted in term {found[0][1]} for {found[1]} and {found[2]}' if found else ''


def state_machine_safety(state) -> str:
    """All nodes commit the same version, with the same content, under each version number."""
    found = contradiction((version, (term, content)) for version, term, content in state.history.committed)
    if not found:
        return ''
    return f'version {found[0]} was committed with term {found[1][0]} and with term {found[2][0]}, or with two contents'


def one_content_a_version(state) -> str:
    """A version of an item never has two contents."""
    found = contradiction(((key, version), content) for key, version, content in state.history.items)
    return f'{found[0][0]} version {found[0][1]} was in force with two contents' if found else ''


def refused_is_not_done(state) -> str:
    """A request refused with the promise that it is not carried out takes effect on no node."""
    for node in state.nodes:
        # Only requests made once count: the refusal of one copy of a request says nothing about another copy.
        once = {name for name in state.history.refused if state.requests.count(name) == 1}
        done = node.view.committed_requests & once
        if done and not node.is_stopped:
            return f'{sorted(done)} were refused but took effect on {node.view.node}'
    return ''


def log_matching(state) -> str:
    """Nodes that accepted the same version of the same term have the same content."""
    found = contradiction(
        (node.view.accepted, node.view.accepted_content) for node in state.nodes if not node.is_stopped
    )
    return f'{found[0]} is accepted with two contents' if found else ''


def is_missing(view, term: int, version: int) -> bool:
    """True if a leader can't have a version that was committed."""
    if view.accepted[0] == view.term > term:
        # Its own versions are numbered on from the last one it had when it became the leader, which must not be older.
        return view.accepted[1] <= version
    return view.term >= term and view.accepted < (term, version)


def leader_completeness(state) -> str:
    """A leader has every version committed, and every request acknowledged, in its term or before."""
    for node in state.nodes:
        if node.view.mode != 'leader':
            continue
        for version, term, _ in state.history.committed:
            if is_missing(node.view, term, version):
                return f'{node.view.node} leads term {node.view.term} without {(term, version)}, which was committed'
        for name, term in state.history.acknowledged:
            if node.view.term >= term and name not in node.view.accepted_requests:
                return f'{node.view.node} leads term {node.view.term} without {name}, acknowledged in term {term}'
    return ''


def durability(state, voters: int) -> str:
    """A majority of the voters has every committed version and acknowledged request.

    Not checked if `voters` is 0: voters change or some disks may be lost.
    """
    for version, term, _ in state.history.committed if voters else ():
        holders = sum(node.view.accepted >= (term, version) for node in state.nodes)
        if 2 * holders <= voters:
            return f'{(term, version)} was committed but is held by {holders} of {voters} voters'
    for name, _ in state.history.acknowledged if voters else ():
        holders = sum(name in node.view.accepted_requests for node in state.nodes)
        if 2 * holders <= voters:
            return f'{name} was acknowledged but is held by {holders} of {voters} voters'
    return ''


def large_voting_sets(state, least_voters: int) -> str:
    """A voting set keeps the size at which it tolerates the required losses of disks."""
    for node in state.nodes:
        if 0 < node.view.voting_set_size < least_voters and not node.is_stopped:
            return f'{node.view.node} accepted a set of {node.view.voting_set_size} voters, of at least {least_voters}'
    return ''


def fresh_reads(state, responses, requests) -> str:
    """A read returns every write that was acknowledged before the read was made."""
    for name, text in responses:
        result = json.loads(text)
        if requests[name].is_read and result['status'] == 200:
            for read, before in state.history.reads:
                missing = [r for r in before if read == name and not requests[r].is_shown_by(result)]
                if missing:
                    return f'{name} returned without {sorted(missing)}, acknowledged before it was made'
    return ''
