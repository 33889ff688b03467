"""States of single nodes, each stored once, and the cached results of their inputs.

A step of the cluster is an input to one node, and the behaviour of that node depends
only on its own past. So each pair of a node's state and an input is carried
out once on a real machine, and the result is cached. A machine with requests in flight
holds closures over itself and can not be copied: it is rebuilt by replaying its inputs
since the nearest pickled ancestor, or since its start on its data folder.
"""

import dataclasses
import datetime
import json
import pickle
import typing

import zinctrail.errors as errors
import zinctrail.model.digest as digest
import zinctrail.model.operator_requests as operator_requests
import zinctrail.model.roles as roles
import zinctrail.runtime.effects as effects
import zinctrail.runtime.state_machine as state_machine

# An input of a machine: (kind, arguments); the arguments are hashable.
Input = tuple[str, tuple]
# The largest number of nodes in a cluster.
NODES_LIMIT = 16


class MachineFailedError(errors.ZinctrailError):
    """A machine raised an exception on an input."""

    def __init__(self, error: Exception, kind: str):
        super().__init__(f'{type(error).__name__}: {error} on {kind}')
        self.error = error
        self.kind = kind


@dataclasses.dataclass(frozen=True, eq=False)
class Frame:
    """A frame in flight between two nodes (indexes), with its text; equal frames are the same object."""

    source: int
    target: int
    text: str
    kind: str
    digest: bytes


@dataclasses.dataclass
class View:
    """The properties of a node that the invariants check."""

    node: str
    mode: str
    term: int
    accepted: tuple
    committed: tuple
    # Digest of the accepted tables.
    accepted_content: bytes
    # Digest of the tables in force if they are exactly the committed version; else None.
    committed_content: bytes | None
    # The size of the smaller set of the accepted voting configuration; 0 without a configuration.
    voting_set_size: int
    # Names of the requests whose effect is in the accepted state.
    accepted_requests: frozenset[str]
    # Names of the requests whose effect is in force exactly as requested.
    committed_requests: frozenset[str]
    # Versioned items in force: {(key, version): digest of the content}.
    items: dict[tuple[str, int], bytes]


@dataclasses.dataclass(eq=False)
class NodeState:
    """A state of a node: its data folder, and how to rebuild its machine.

    `incarnation` counts the starts of the node; `first_files` is the data folder with
    which this incarnation started; `parent` and `node_input` are the previous state and
    the input that led from it to this one; `due` is the time of its next timer.
    """

    index: int
    incarnation: int
    files: dict[str, str]
    first_files: dict[str, str]
    parent: 'NodeState | None'
    node_input: Input | None
    due: datetime.timedelta | None
    view: View | None
    digest: bytes
    is_stopped: bool = False
    # The pickled machine; empty if it can not be pickled, None if that was not tried yet.
    pickled: bytes | None = None
    results: 'dict[Input, Result]' = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class PowerLoss:
    """A power loss before one of an input's writes: the frames sent until then, and the remaining data folder."""

    sent: tuple[Frame, ...]
    files: dict[str, str]


@dataclasses.dataclass
class Result:
    """The result of an input: the next state of the node, and the effects of the input."""

    state: NodeState
    sent: tuple[Frame, ...]
    # (request, its result as JSON)
    responses: tuple[tuple[str, str], ...]
    # One possible power loss for each write of the input.
    power_losses: tuple[PowerLoss, ...]


def pickle_machine(machine: state_machine.StateMachine) -> bytes:
    """Return the pickled machine; empty if it holds a closure."""
    try:
        return pickle.dumps(machine, pickle.HIGHEST_PROTOCOL)
    except (pickle.PicklingError, AttributeError, TypeError):
        return b''


class NodeStates:
    """Builds node states and caches the result of each of their inputs.

    If `remember` is off, every input is carried out anew, and no machine stands
    in for another one with the same digest: exact but slow.
    """

    def __init__(
        self,
        role: type,
        seeds: list[str],
        requests: tuple[operator_requests.Request, ...] = (),
        remember: bool = True,
        least_voters: int = 1,
    ):
        self.role = role
        self.seeds = seeds
        self.requests = requests
        self.remember = remember
        self.least_voters = least_voters
        self.states: dict[bytes, NodeState] = {}
        self.frames: dict[tuple[int, int, str], Frame] = {}
        self.machines: dict[bytes, state_machine.StateMachine] = {}
        self.indexes = {roles.address_of(index): index for index in range(NODES_LIMIT)}
        self.inputs_played = 0

    def build(self, index: int, incarnation: int, files: dict[str, str]) -> state_machine.StateMachine:
        """Return a new machine of a node; raises CorruptionError if the files are inconsistent."""
        return roles.build(self.role, index, incarnation, files, self.seeds, self.least_voters)

    def start(self, index: int, incarnation: int, files: dict[str, str]) -> Result:
        """Start a node on a data folder and return the result."""
        try:
            machine = self.build(index, incarnation, files)
        except errors.CorruptionError:
            # As the program does: it moves a damaged data folder aside and starts as a new node.
            files = {}
            machine = self.build(index, incarnation, files)
        blank = NodeState(index, incarnation, files, files, None, None, None, None, b'')
        return self.play(blank, machine, ('start', ()))

    def stopped(self, state: NodeState) -> NodeState:
        """Return the state of the node after it has stopped."""
        state_digest = digest.of_parts(b'stopped', bytes([state.index]))
        view = dataclasses.replace(state.view, mode='stopped')
        return NodeState(
            state.index,
            state.incarnation,
            state.files,
            state.files,
            None,
            None,
            None,
            view,
            state_digest,
            is_stopped=True,
        )

    def feed(self, state: NodeState, kind: str, arguments: tuple) -> Result:
        """Return the result of an input: ('wake', ()), ('recv', (text,)) or any other input of the machine."""
        node_input = (kind, arguments)
        if not self.remember:
            return self.play(state, self.machine_at(state), node_input)
        if node_input not in state.results:
            state.results[node_input] = self.play(state, self.machine_at(state), node_input)
        return state.results[node_input]

    def machine_at(self, state: NodeState) -> state_machine.StateMachine:
        """Return a machine in a given state; the caller may use it once."""
        machine = self.machines.pop(state.digest, None) or self.rebuild(state)
        if self.remember and state.pickled is None:
            state.pickled = pickle_machine(machine)
        return machine

    def rebuild(self, state: NodeState) -> state_machine.StateMachine:
        """Rebuild a machine in a state from the nearest ancestor that could be pickled."""
        inputs, ancestor = [], state
        while ancestor.node_input is not None and not ancestor.pickled:
            inputs.append(ancestor.node_input)
            ancestor = ancestor.parent
        if ancestor.pickled:
            machine = pickle.loads(ancestor.pickled)
        else:
            machine = self.build(state.index, state.incarnation, state.first_files)
        for node_input in reversed(inputs):
            self.input(machine, node_input)
        return machine

    def input(self, machine: state_machine.StateMachine, node_input: Input) -> list:
        """Feed an input to a machine and return its effects.

        Each node has its own clock, which advances only to its next timer.
        """
        kind, arguments = node_input
        self.inputs_played += 1
        now = machine.next_timer() if kind == 'wake' else machine.now
        if kind == 'recv':
            arguments = (json.loads(arguments[0]),)
        elif kind == 'request':
            arguments = (arguments[0], arguments[1], json.loads(arguments[2]))
        try:
            return machine.feed(kind, now, *arguments)
        except Exception as error:
            raise MachineFailedError(error, kind) from error

    def play(self, state: NodeState, machine: state_machine.StateMachine, node_input: Input) -> Result:
        """Carry out an input on a machine in `state`; return the next state and the effects."""
        produced = self.input(machine, node_input)
        files, sent, responses, power_losses, has_exited = dict(state.files), [], [], [], False
        for effect in produced:
            if isinstance(effect, effects.Write):
                power_losses.append(PowerLoss(tuple(sent), dict(files)))
                files[effect.name] = effect.text
                for name in effect.obsolete_files:
                    files.pop(name, None)
            elif isinstance(effect, effects.Send):
                frame = self.sent_frame(state.index, effect)
                if frame is not None:
                    sent.append(frame)
            elif isinstance(effect, roles.Response):
                responses.append((effect.request, json.dumps(effect.result, sort_keys=True)))
            elif isinstance(effect, effects.Exit):
                has_exited = True
        after = self.intern(state, machine, node_input, files)
        return Result(self.stopped(after) if has_exited else after, tuple(sent), tuple(responses), tuple(power_losses))

    def sent_frame(self, source: int, effect: effects.Send) -> Frame | None:
        """Return the frame of a send, or None if its target is not a node of the cluster."""
        target = self.indexes.get(effect.address)
        if target is None:
            return None
        return self.frame(source, target, json.dumps(effect.frame, sort_keys=True), effect.frame['t'])

    def frame(self, source: int, target: int, text: str, kind: str) -> Frame:
        """Return the unique frame with this source, target and text."""
        key = (source, target, text)
        if key not in self.frames:
            frame_digest = digest.of_text(f'{source} {target} {text}')
            self.frames[key] = Frame(source, target, text, kind, frame_digest)
        return self.frames[key]

    def intern(
        self, before: NodeState, machine: state_machine.StateMachine, node_input: Input, files: dict[str, str]
    ) -> NodeState:
        """Return the unique state that equals the state of a machine after an input."""
        folder_digest = digest.of_text(json.dumps(files, sort_keys=True))
        state_digest = digest.of_parts(
            bytes([before.index, before.incarnation]), folder_digest, digest.of_machine(machine)
        )
        if self.remember and state_digest in self.states:
            # This machine is not stored for the known state: their times may differ within one step of the digest.
            return self.states[state_digest]
        state = NodeState(
            before.index,
            before.incarnation,
            files,
            before.first_files,
            before,
            node_input,
            machine.next_timer(),
            self.view(machine),
            state_digest,
        )
        if self.remember:
            self.states[state_digest] = state
            self.machines[state_digest] = machine
        return state

    def view(self, machine: state_machine.StateMachine) -> View:
        """Return the properties of a machine that the invariants check."""
        status, replica = machine.status(), machine.replica
        accepted_tables = replica.full_state()
        is_settled = tuple(replica.tables_version) == tuple(replica.committed)
        committed_tables = replica.tables if is_settled else {}
        return View(
            node=status['id'],
            mode=status['mode'],
            term=status['term'],
            accepted=tuple(status['accepted']),
            committed=tuple(status['generation']),
            accepted_content=digest_of_json(accepted_tables),
            committed_content=digest_of_json(replica.tables) if is_settled else None,
            voting_set_size=min(map(len, (machine.voting_set() or {'none': ()}).values())),
            accepted_requests=frozenset(r.name for r in self.requests if r.is_held_by(accepted_tables)),
            committed_requests=frozenset(
                r.name for r in self.requests if is_settled and r.is_written_in(replica.tables)
            ),
            items={
                (key, item['v']): digest_of_json(item['row']) for key, item in committed_tables.get('items', {}).items()
            },
        )


def digest_of_json(value: typing.Any) -> bytes:
    """Return the digest of a JSON value, independent of the order of its keys."""
    return digest.of_text(json.dumps(value, sort_keys=True))
