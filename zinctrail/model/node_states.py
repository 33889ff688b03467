"""States of single nodes, each kept once, and what an input makes of them.

A step of the cluster is an input to one node, and what that node does depends on
nothing but its own past. So each pair of a node's state and an input is carried
out once on a real machine and remembered. A machine with requests in flight
holds closures over itself and can not be copied: it is rebuilt from the nearest
pickled ancestor, or from its data folder, by the inputs since.
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

# An input of a machine: its kind and its arguments, which are hashable.
Input = tuple[str, tuple]
# The most nodes of a cluster.
NODES_LIMIT = 16


class MachineFailedError(errors.ZinctrailError):
    """A machine raised an exception on an input."""

    def __init__(self, fault: Exception, kind: str):
        super().__init__(f'{type(fault).__name__}: {fault} on {kind}')
        self.fault = fault
        self.kind = kind


@dataclasses.dataclass(frozen=True, eq=False)
class Frame:
    """A frame in flight between two nodes (indexes), with its text. Each is kept once."""

    source: int
    target: int
    text: str
    kind: str
    digest: bytes


@dataclasses.dataclass
class View:
    """What the invariants look at of a node."""

    node: str
    mode: str
    term: int
    accepted: tuple
    committed: tuple
    # Digest of everything accepted.
    accepted_content: bytes
    # Digest of the tables in force, where these are exactly what is committed; else None.
    committed_content: bytes | None
    # Names of the requests whose effect is in the accepted state.
    accepted_requests: frozenset[str]
    # Names of the requests that came into force as they were made.
    committed_requests: frozenset[str]
    # Versioned items in force: {(key, version): digest of the content}.
    items: dict[tuple[str, int], bytes]


@dataclasses.dataclass(eq=False)
class NodeState:
    """A node: its data folder, and how to rebuild its machine.

    `incarnation` counts the starts of the node; `first_files` is the folder with
    which this incarnation started; `due` is the time of its next timer.
    """

    index: int
    incarnation: int
    files: dict[str, str]
    first_files: dict[str, str]
    parent: 'NodeState | None'
    entry: Input | None
    due: datetime.timedelta | None
    view: View | None
    digest: bytes
    is_stopped: bool = False
    # The pickled machine; empty where it can not be pickled, None where that was not tried yet.
    pickled: bytes | None = None
    results: 'dict[Input, Result]' = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class PowerLoss:
    """A power loss before one of an input's writes: the frames sent until then, and the folder that is left."""

    sent: tuple[Frame, ...]
    files: dict[str, str]


@dataclasses.dataclass
class Result:
    """What an input made of a node."""

    state: NodeState
    sent: tuple[Frame, ...]
    # (request, its result as JSON)
    responses: tuple[tuple[str, str], ...]
    # One for each write of the input.
    power_losses: tuple[PowerLoss, ...]


def pickle_machine(machine: state_machine.StateMachine) -> bytes:
    """The machine in bytes; empty where it holds a closure."""
    try:
        return pickle.dumps(machine, pickle.HIGHEST_PROTOCOL)
    except (pickle.PicklingError, AttributeError, TypeError):
        return b''


class NodeStates:
    """Builds node states and remembers what each input made of them.

    With `remember` off every input is carried out anew, on machines that stand
    for one state only: slow, and exact.
    """

    def __init__(
        self, role: type, seeds: list[str], requests: tuple[operator_requests.Request, ...] = (), remember: bool = True
    ):
        self.role = role
        self.seeds = seeds
        self.requests = requests
        self.remember = remember
        self.states: dict[bytes, NodeState] = {}
        self.frames: dict[tuple[int, int, str], Frame] = {}
        self.machines: dict[bytes, state_machine.StateMachine] = {}
        self.indexes = {roles.address_of(index): index for index in range(NODES_LIMIT)}
        self.inputs_played = 0

    def start(self, index: int, incarnation: int, files: dict[str, str]) -> Result:
        """The result of starting a node on a data folder."""
        try:
            machine = roles.build(self.role, index, incarnation, files, self.seeds)
        except errors.CorruptionError:
            # The program does the same: it sets a damaged folder aside and starts as a new node.
            files = {}
            machine = roles.build(self.role, index, incarnation, files, self.seeds)
        blank = NodeState(index, incarnation, files, files, None, None, None, None, b'')
        return self.play(blank, machine, ('start', ()))

    def stopped(self, state: NodeState) -> NodeState:
        """The state of a node that runs no more."""
        name = digest.of_parts(b'stopped', bytes([state.index]))
        view = dataclasses.replace(state.view, mode='stopped')
        return NodeState(
            state.index, state.incarnation, state.files, state.files, None, None, None, view, name, is_stopped=True
        )

    def feed(self, state: NodeState, kind: str, arguments: tuple) -> Result:
        """What an input makes of a node: ('wake', ()), ('recv', (text,)) or any other input of the machine."""
        entry = (kind, arguments)
        if not self.remember:
            return self.play(state, self.machine_at(state), entry)
        if entry not in state.results:
            state.results[entry] = self.play(state, self.machine_at(state), entry)
        return state.results[entry]

    def machine_at(self, state: NodeState) -> state_machine.StateMachine:
        """A machine in a given state, for one use."""
        machine = self.machines.pop(state.digest, None) or self.rebuild(state)
        if self.remember and state.pickled is None:
            state.pickled = pickle_machine(machine)
        return machine

    def rebuild(self, state: NodeState) -> state_machine.StateMachine:
        """A machine brought to a state, from the nearest ancestor that could be pickled."""
        entries, ancestor = [], state
        while ancestor.entry is not None and not ancestor.pickled:
            entries.append(ancestor.entry)
            ancestor = ancestor.parent
        if ancestor.pickled:
            machine = pickle.loads(ancestor.pickled)
        else:
            machine = roles.build(self.role, state.index, state.incarnation, state.first_files, self.seeds)
        for entry in reversed(entries):
            self.input(machine, entry)
        return machine

    def input(self, machine: state_machine.StateMachine, entry: Input) -> list:
        """Feed an input to a machine and return its effects.

        Each node has a clock of its own, which moves only to its next timer.
        """
        kind, arguments = entry
        self.inputs_played += 1
        now = machine.next_timer() if kind == 'wake' else machine.now
        if kind == 'recv':
            arguments = (json.loads(arguments[0]),)
        elif kind == 'request':
            arguments = (arguments[0], arguments[1], json.loads(arguments[2]))
        try:
            return machine.feed(kind, now, *arguments)
        except Exception as fault:
            raise MachineFailedError(fault, kind) from fault

    def play(self, state: NodeState, machine: state_machine.StateMachine, entry: Input) -> Result:
        """Carry out an input on a machine in `state`, and collect its effects."""
        produced = self.input(machine, entry)
        files, sent, responses, power_losses, stops = dict(state.files), [], [], [], False
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
                stops = True
        after = self.intern(state, machine, entry, files)
        return Result(self.stopped(after) if stops else after, tuple(sent), tuple(responses), tuple(power_losses))

    def sent_frame(self, source: int, effect: effects.Send) -> Frame | None:
        """The frame of a send, or None where it goes to no node of the cluster."""
        target = self.indexes.get(effect.address)
        if target is None:
            return None
        return self.frame(source, target, json.dumps(effect.frame, sort_keys=True), effect.frame['t'])

    def frame(self, source: int, target: int, text: str, kind: str) -> Frame:
        """The one frame with this way and text."""
        key = (source, target, text)
        if key not in self.frames:
            name = digest.of_text(f'{source} {target} {text}')
            self.frames[key] = Frame(source, target, text, kind, name)
        return self.frames[key]

    def intern(
        self, before: NodeState, machine: state_machine.StateMachine, entry: Input, files: dict[str, str]
    ) -> NodeState:
        """The one state that equals what an input made of a machine."""
        folder = digest.of_text(json.dumps(files, sort_keys=True))
        name = digest.of_parts(bytes([before.index, before.incarnation]), folder, digest.of_machine(machine))
        if self.remember and name in self.states:
            # This machine is not kept for the known state: their times may differ within one step of the digest.
            return self.states[name]
        state = NodeState(
            before.index,
            before.incarnation,
            files,
            before.first_files,
            before,
            entry,
            machine.next_timer(),
            self.view(machine),
            name,
        )
        if self.remember:
            self.states[name] = state
            self.machines[name] = machine
        return state

    def view(self, machine: state_machine.StateMachine) -> View:
        """What the invariants look at of a machine."""
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
            accepted_requests=frozenset(r.name for r in self.requests if r.is_held_by(accepted_tables)),
            committed_requests=frozenset(
                r.name for r in self.requests if is_settled and r.is_written_in(replica.tables)
            ),
            items={
                (key, item['v']): digest_of_json(item['row']) for key, item in committed_tables.get('items', {}).items()
            },
        )


def digest_of_json(value: typing.Any) -> bytes:
    """The digest of a JSON value, whatever the order of its keys."""
    return digest.of_text(json.dumps(value, sort_keys=True))
