"""What must hold in every state, each under the name that the field gives it."""

import dataclasses
import functools
import json

import zinctrail.model.digest as digest


@functools.cache
def digest_of(history):
    return digest.of_text(repr([sorted(map(repr, rows)) for rows in vars(history).values()]))


@dataclasses.dataclass(frozen=True)
class History:
    """What was promised on the way to a state and no longer shows in it."""

    # (term, node)
    leaders: frozenset = frozenset()
    # (node, term, the node voted for)
    votes: frozenset = frozenset()
    # (generation, term, digest of the tables in force)
    committed: frozenset = frozenset()
    # (request, term of the node that answered)
    acknowledged: frozenset = frozenset()
    # Requests answered with the promise that nothing was done and nothing will be.
    refused: frozenset = frozenset()
    # (read, requests acknowledged before it was made)
    reads: frozenset = frozenset()
    # (key, version, digest of the content)
    items: frozenset = frozenset()

    def digest(self):
        return digest_of(self)

    def add(self, **more):
        """With elements more; itself where there are none that it lacks."""
        grown = {name: getattr(self, name) | set(found) for name, found in more.items()}
        if all(len(rows) == len(getattr(self, name)) for name, rows in grown.items()):
            return self
        return dataclasses.replace(self, **grown)


# Statuses that promise that nothing was done and nothing will be.
REFUSALS = (421, 429, 503)


def observe(history, state, sent, answers, requests):
    """The history after a step that left a node in `state`, sent frames and gave answers."""
    view = state.view
    if view.mode == 'leader':
        history = history.add(leaders={(view.term, view.node)})
    for frame in sent:
        if frame.kind in ('sjoin', 'vote'):
            body = json.loads(frame.text)
            chosen = body['f'] if frame.kind == 'sjoin' else f'place {frame.target}'
            history = history.add(votes={(body['f'], body['term'], chosen)})
    if view.in_force is not None and view.committed > (0, 0):
        term, generation = view.committed
        history = history.add(
            committed={(generation, term, view.in_force)},
            items={(key, version, content) for (key, version), content in view.items.items()},
        )
    for name, text in answers:
        history = answered(history, view, name, json.loads(text), requests)
    return history


def answered(history, view, name, result, requests):
    request = requests[name]
    if request.reads:
        return history
    if result['status'] == 200:
        return history.add(acknowledged={(name, view.term)})
    if result['status'] in REFUSALS and not result.get('unknown'):
        return history.add(refused={name})
    return history


def broken(state, history, answers, requests, voters):
    """The name of the first invariant that does not hold, with what contradicts it; None where all hold."""
    for check in (
        election_safety,
        one_vote_a_term,
        state_machine_safety,
        one_content_a_version,
        refused_is_not_done,
    ):
        why = check(history, state)
        if why:
            return check.__name__, why
    why = log_matching(state)
    if why:
        return 'log_matching', why
    why = leader_completeness(state, history)
    if why:
        return 'leader_completeness', why
    why = durability(state, history, voters)
    if why:
        return 'durability', why
    why = fresh_reads(history, answers, requests)
    if why:
        return 'fresh_reads', why
    return None


def twice(pairs):
    """A key that stands for two different values; None if there is none."""
    seen = {}
    for key, value in pairs:
        if seen.setdefault(key, value) != value:
            return key, seen[key], value
    return None


def election_safety(history, state):
    """At most one leader a term."""
    found = twice(history.leaders)
    return f'term {found[0]} has two leaders, {found[1]} and {found[2]}' if found else ''


def one_vote_a_term(history, state):
    """A node votes for one candidate a term, also over a restart."""
    found = twice(((node, term), chosen) for node, term, chosen in history.votes)
    return f'{found[0][0]} voted in term {found[0][1]} for {found[1]} and {found[2]}' if found else ''


def state_machine_safety(history, state):
    """One committed generation for each number, with one content, on all nodes."""
    found = twice((generation, (term, content)) for generation, term, content in history.committed)
    if not found:
        return ''
    return f'generation {found[0]} was committed as of term {found[1][0]} and as of term {found[2][0]}, or with two contents'


def one_content_a_version(history, state):
    """An item's version stands for one content for ever."""
    found = twice(((key, version), content) for key, version, content in history.items)
    return f'{found[0][0]} version {found[0][1]} was in force with two contents' if found else ''


def refused_is_not_done(history, state):
    """What was refused with the promise that nothing will be done comes into force nowhere."""
    for node in state.nodes:
        # A refusal of one copy says nothing of another copy.
        once = {name for name in history.refused if state.put.count(name) == 1}
        done = node.view.committed_holds & once
        if done and not node.stopped:
            return f'{sorted(done)} were refused and are in force on {node.view.node}'
    return ''


def log_matching(state):
    """Nodes that accepted the same generation of the same term hold the same."""
    found = twice((node.view.accepted, node.view.content) for node in state.nodes if not node.stopped)
    return f'{found[0]} is accepted with two contents' if found else ''


def lacks(view, term, generation):
    """Whether a leader can't hold a generation that was committed."""
    if view.accepted[0] == view.term > term:
        # It began its own line of generations from where it stood, and must have stood there.
        return view.accepted[1] <= generation
    return view.term >= term and view.accepted < (term, generation)


def leader_completeness(state, history):
    """Whoever leads holds all that was committed or acknowledged in its term and before."""
    for node in state.nodes:
        if node.view.mode != 'leader':
            continue
        for generation, term, _ in history.committed:
            if lacks(node.view, term, generation):
                return f'{node.view.node} leads term {node.view.term} without {(term, generation)}, which was committed'
        for name, term in history.acknowledged:
            if node.view.term >= term and name not in node.view.holds:
                return f'{node.view.node} leads term {node.view.term} without {name}, acknowledged in term {term}'
    return ''


def durability(state, history, voters):
    """What was committed or acknowledged is held by a majority of the voters; `voters` is 0 where some lose disks."""
    for generation, term, _ in history.committed if voters else ():
        holders = sum(node.view.accepted >= (term, generation) for node in state.nodes)
        if 2 * holders <= voters:
            return f'{(term, generation)} was committed and is held by {holders} of {voters} voters'
    for name, _ in history.acknowledged if voters else ():
        holders = sum(name in node.view.holds for node in state.nodes)
        if 2 * holders <= voters:
            return f'{name} was acknowledged and is held by {holders} of {voters} voters'
    return ''


def fresh_reads(history, answers, requests):
    """A read shows all that was acknowledged before it was made."""
    for name, text in answers:
        result = json.loads(text)
        if requests[name].reads and result['status'] == 200:
            for read, before in history.reads:
                missing = [r for r in before if read == name and not requests[r].shown_by(result)]
                if missing:
                    return f'{name} was answered without {sorted(missing)}, acknowledged before it was made'
    return ''


def of_terms(history):
    return max((term for term, _ in history.leaders), default=0)
