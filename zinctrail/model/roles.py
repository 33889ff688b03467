"""The state machines that are explored: the product's own, with an input for operator requests."""

import collections.abc
import dataclasses
import random
import typing

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.storage as storage
import zinctrail.consensus.voter as voter
import zinctrail.control.controller as controller
import zinctrail.runtime.settings as settings

CLUSTER = 'cluster'
# The term and the (term, version) with which a formed cluster starts.
FORMED_TERM = 1
FORMED_AT = (1, 1)


@dataclasses.dataclass(slots=True)
class Response:
    """An effect: the result of an operator's request, as its node returned it."""

    request: str
    result: dict[str, typing.Any]


class OperatorRequestMixin:
    """Adds the input `request`: an operator requests an operation from this node."""

    def on_request(self, name: str, operation: str, arguments: dict[str, typing.Any]) -> None:
        """Request the operation, and emit its result as an effect."""
        self.request_operation(operation, arguments, lambda result: self.out.append(Response(name, result)))


class Store(OperatorRequestMixin, voter.Voter):
    """A voter with a minimal role: a table of keys."""

    def serve(self, op, args, cb):
        """Serve the operations `put` and `get`, besides those of every voter."""
        if op == 'put':

            def put(txn):
                txn.put('keys', args['key'], args['value'])
                return {'status': 200}

            self.submit(put, cb)
        elif op == 'get':
            self.read(lambda view: {'status': 200, 'keys': dict(view.items('keys'))}, cb)
        else:
            super().serve(op, args, cb)

    def tick_leader(self):
        """Adjust the voting configuration, the only periodic task of this leader."""
        self.reconfigure()


class Control(OperatorRequestMixin, controller.Controller):
    """The product's control node."""


class FixedRandom(random.Random):
    """A generator that always returns the middle of a range, so that each step has one result.

    Its seed makes the identities of incarnations differ.
    """

    def random(self) -> float:
        """Return the middle of the range."""
        return 0.5


def name_of(index: int) -> str:
    """Return the identity of a node of a formed cluster."""
    return f'n{index}'


def address_of(index: int) -> str:
    """Return the address at which other nodes reach a node."""
    return f'10.0.0.{index + 1}:1000'


def build(role: type, index: int, incarnation: int, files: dict[str, str], seeds: list[str], least_voters: int = 1):
    """Return a new machine of a role; raises CorruptionError if the files are inconsistent."""
    location = node_location.NodeLocation(address_of(index), f'10.0.0.{index + 1}:80', f'r{index}/c', list(seeds))
    machine = role(
        location, settings.Settings(least_voters=least_voters), FixedRandom(f'{index}/{incarnation}'), dict(files)
    )
    # The explorer looks for exceptions.
    machine.guard.passes_on = True
    return machine


def formed_files(index: int, voters: collections.abc.Iterable[int]) -> dict[str, str]:
    """Return the data folder of one of the voters (indexes) of a cluster that has been formed."""
    names = [name_of(voter_index) for voter_index in voters]
    members = {name_of(voter_index): member_row(voter_index) for voter_index in voters}
    meta = {
        'cluster': CLUSTER,
        'vc': {'committed': names, 'accepted': names},
        'boot': names,
        'routes': list(FORMED_AT),
    }
    term, version = FORMED_AT
    snapshot = {'term': term, 'gen': version, 'tables': {'meta': meta, 'members': members}}
    return {
        'node': storage.encode({'id': name_of(index), 'format': storage.FORMAT}),
        'term': storage.encode({'term': FORMED_TERM, 'vote': None}),
        storage.snapshot_name(FORMED_AT): storage.encode(snapshot),
    }


def member_row(index: int) -> dict[str, typing.Any]:
    """Return the row of a node in the membership table."""
    return {'role': 'core', 'addr': address_of(index), 'http': '', 'cell': f'r{index}/c', 'level': 1}
