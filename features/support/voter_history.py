"""A single voter with its data folder: steps that make it write, and the state that it must not lose."""

import collections.abc
import random
import typing

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.storage as storage
import zinctrail.consensus.voter as voter
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.transport.disk as disk

VOTERS = ['a', 'b', 'c']

# An action of a voter that makes it write.
Step = collections.abc.Callable[[voter.Voter], None]


class DurableState(typing.NamedTuple):
    """The state of a voter that must never be lost once it was acknowledged."""

    term: int
    vote: str | None
    accepted: tuple[int, int]
    tables: dict[str, typing.Any]

    def is_older_than(self, acknowledged: 'DurableState') -> bool:
        """True if something that was acknowledged is missing here."""
        if self.accepted < acknowledged.accepted or self.term < acknowledged.term:
            return True
        if self.term == acknowledged.term and self.vote != acknowledged.vote:
            return True
        return self.accepted == acknowledged.accepted and self.tables != acknowledged.tables


def durable_state_of(node: voter.Voter) -> DurableState:
    """Return the durable state of a running voter."""
    return DurableState(node.term, node.vote, node.replica.accepted, node.replica.full_state())


def durable_state_in(files: dict[str, str]) -> DurableState:
    """Return the state that a voter loads from these files; raises errors.CorruptionError if they are damaged."""
    loaded = storage.load(files)
    return DurableState(loaded.term, loaded.vote, loaded.replica.accepted, loaded.replica.full_state())


def new_voter(files: dict[str, str], bounds: settings.Settings | None = None) -> voter.Voter:
    """Return a voter that starts with the files of its data folder; by default it writes a snapshot every 2 versions."""
    location = node_location.NodeLocation('10.0.0.1:1000', '10.0.0.1:80', 'r/z', [])
    return voter.Voter(location, bounds or settings.Settings(checkpoint_every=2), random.Random(1), files)


def run_disk_effects(node: voter.Voter, modelled: disk.Disk) -> None:
    """Apply a voter's disk effects, and drop its other effects."""
    for effect in [effect for effect in node.out if isinstance(effect, effects.DISK_EFFECTS)]:
        modelled.carry_out(effect)
    node.out = []


# -- steps -------------------------------------------------------------------


def write_identity(node: voter.Voter) -> None:
    """Write the voter's identity, and remove obsolete files."""
    node.persistence.write_identity(storage.obsolete_files(node.data_folder.files))


def raise_term(term: int, vote: str) -> Step:
    """Return a step that enters a term and votes in it."""
    return lambda node: node.raise_term(term, vote)


def accept_rows(term: int, number: int) -> Step:
    """Return a step that accepts a version that changes one of three rows."""

    def step(node: voter.Voter) -> None:
        rows = [['t', f'k{number % 3}', number], ['meta', 'term', term]]
        node.accept((term, number), node.replica.accepted, rows, None)

    return step


def accept_next_rows(node: voter.Voter) -> None:
    """Accept the version after the newest, in the voter's term."""
    accept_rows(node.term, node.replica.accepted[1] + 1)(node)


def accept_full_state(term: int, number: int, more: dict[str, typing.Any] | None = None) -> Step:
    """Return a step that accepts a version that is sent as the full state."""

    def step(node: voter.Voter) -> None:
        tables = {
            'meta': {'cluster': 'c', 'vc': {'committed': VOTERS, 'accepted': VOTERS}},
            't': {'whole': number, **(more or {})},
        }
        node.accept((term, number), (0, 0), None, tables)

    return step


def begin_snapshot(node: voter.Voter) -> None:
    """Begin a snapshot that is written in chunks."""
    node.persistence.begin_snapshot()


def write_next_chunk(node: voter.Voter) -> None:
    """Write the next chunk of the snapshot that was begun."""
    node.timer_snapshot()


SMALL_STATE: list[Step] = [
    write_identity,
    lambda node: node.formation.accept_first_version('c', VOTERS),
    raise_term(1, 'a'),
    accept_rows(1, 2),
    accept_rows(1, 3),
    accept_rows(1, 4),
    raise_term(2, 'b'),
    accept_rows(2, 5),
    accept_full_state(2, 9),
    accept_rows(2, 10),
    raise_term(3, 'c'),
    accept_rows(3, 11),
    accept_rows(3, 12),
    accept_rows(3, 13),
    raise_term(4, 'a'),
]
# The same with a state that is larger than many changes, so that the files of changes are merged into segments.
LARGE_STATE: list[Step] = [
    write_identity,
    raise_term(1, 'a'),
    accept_full_state(1, 9, {f'large-{number}': 'x' * 100 for number in range(20)}),
    *(accept_rows(1, number) for number in range(10, 15)),
    raise_term(2, 'b'),
    *(accept_rows(2, number) for number in range(15, 19)),
]
# The same with a snapshot written in chunks while changes are made, and a second one abandoned half-way.
LARGE_STATE_CHUNKED: list[Step] = [
    *LARGE_STATE[:6],
    begin_snapshot,
    write_next_chunk,
    accept_rows(1, 13),
    write_next_chunk,
    accept_rows(1, 14),
    write_next_chunk,
    accept_rows(1, 15),
    begin_snapshot,
    write_next_chunk,
    raise_term(2, 'b'),
    accept_full_state(2, 19),
    accept_rows(2, 20),
    accept_rows(2, 21),
]
# The steps of a voter that was restarted on a folder that a loss of power left.
AFTER_RESTART: list[Step] = [
    write_identity,
    lambda node: node.raise_term(node.term + 1, 'b'),
    accept_next_rows,
    accept_next_rows,
    lambda node: node.raise_term(node.term + 1, 'c'),
    lambda node: accept_full_state(node.term, node.replica.accepted[1] + 1)(node),
    accept_next_rows,
]
