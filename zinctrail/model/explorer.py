"""Breadth-first exploration of a cluster: every enabled step of every state, within a scope's limits."""

import collections
import dataclasses
import json
import resource
import time

import zinctrail.model.digest as digest
import zinctrail.model.invariants as invariants
import zinctrail.model.nodes as nodes_
import zinctrail.model.roles as roles
import zinctrail.model.scopes as scopes

# Pseudo-frame: a node learns that a connection was closed.
CLOSED = 'closed'
# The invariant that machines take every frame without an exception.
NO_EXCEPTION = 'no_exception'
# Most frames that the way to a start state may take.
WARM_UP_MOST = 3000
# Most alarms that one timer step may let pass before a node does what others can see.
ALARMS_MOST = 12
# What timers of a node are let pass for in a prelude.
UNTIL = {
    'loses its leader': lambda state, node: node.view.mode == 'candidate',
    'stands': lambda state, node: any(f.kind == 'sjoin' and f.source == node.index for f in state.frames),
    'publishes': lambda state, node: any(f.kind == 'pub' and f.source == node.index for f in state.frames),
}
# What a prelude runs until.
MILESTONES = {
    'the voting set is changing': lambda state: any(
        row[:2] == ['meta', 'vc'] for frame in state.frames if frame.kind == 'pub' for row in rows_of(frame)
    ),
}
BUDGETS = ('timers', 'crashes', 'wipes', 'losses', 'leaves', 'doubles', 'copies')


class NotEnabled(Exception):
    """A step that is to be played again can't be taken."""


def rows_of(frame):
    return json.loads(frame.text).get('rows', ())


@dataclasses.dataclass(frozen=True)
class Step:
    """One step of the cluster; `frame` is the text of the frame it delivers."""

    kind: str
    node: int
    source: int = -1
    frame: str = ''
    request: str = ''
    # Power is lost before this write of the input; -1: never.
    cut: int = -1

    def line(self):
        name = f'node {self.node}'
        if self.kind in ('deliver', 'double'):
            body = json.loads(self.frame) if self.frame else {}
            said = ', '.join(f'{k} {body[k]}' for k in sorted(body) if k not in ('a', 'c', 'f', 'v', 't', 'http'))
            stays = ' (a copy stays on its way)' if self.kind == 'double' else ''
            text = f'node {self.source} -> {name}: {body.get("t", CLOSED)} {said[:160]}{stays}'
        elif self.kind == 'request':
            text = f'operator -> {name}: {self.request}'
        else:
            text = f'{name}: {self.kind}'
        return text + (f'; power lost before write {self.cut + 1}, restarted' if self.cut >= 0 else '')


class State:
    """A state of the cluster."""

    __slots__ = ('depth', 'frames', 'history', 'nodes', 'parent', 'put', 'step', 'used')

    def __init__(self, nodes, frames, history, used, put, parent=None, step=None):
        self.nodes = nodes
        self.frames = frames
        self.history = history
        self.used = used
        # Requests made so far.
        self.put = put
        self.parent = parent
        self.step = step
        self.depth = parent.depth + 1 if parent else 0

    def digest(self):
        return digest.of_parts(
            *(node.digest for node in self.nodes),
            *sorted(frame.digest for frame in self.frames),
            repr((self.used, self.put)).encode(),
            self.history.digest(),
        )

    def path(self):
        steps, state = [], self
        while state.step is not None:
            steps.append(state.step)
            state = state.parent
        return steps[::-1]


@dataclasses.dataclass
class Finding:
    invariant: str
    why: str
    steps: list

    def page(self, scope):
        """The steps for a person to read, and as JSON to play again."""
        rows = [f'{self.invariant}: {self.why}', f'scope {scope}, {len(self.steps)} steps:']
        rows += [f'{number:3}. {step.line()}' for number, step in enumerate(self.steps, 1)]
        return '\n'.join(rows)

    def document(self, scope, guard=None):
        """As JSON; `guard`: the one that was switched off."""
        return {
            'scope': scope,
            'guard': guard,
            'invariant': self.invariant,
            'why': self.why,
            'steps': [dataclasses.asdict(step) for step in self.steps],
        }


@dataclasses.dataclass
class Report:
    scope: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    memory_mb: int = 0
    node_states: int = 0
    inputs_played: int = 0
    finding: Finding | None = None
    # In how many of the states something had happened, so that nobody takes an idle scope for a safe one.
    reached: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    # How often a limit stopped something: {limit: count}.
    cut_off: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def text(self):
        rate = self.states / self.seconds if self.seconds else 0
        found = f'FOUND {self.finding.invariant}' if self.finding else 'nothing found'
        return (
            f'{self.scope}: {found}; {self.states} distinct states, {self.steps} steps, depth {self.depth},'
            f' {self.seconds:.1f} s, {rate:.0f} states/s, {self.memory_mb} MB; {self.node_states} node states,'
            f' {self.inputs_played} inputs played; reached {dict(sorted(self.reached.items()))}; cut off by {dict(sorted(self.cut_off.items()))}'
        )


class Explorer:
    """Explores one scope."""

    def __init__(self, scope, remember=True, progress=None, only=''):
        self.scope = scope
        self.limits = scope.limits
        self.carried = scopes.ALL
        self.requests = {request.name: request for request in scope.requests}
        seeds = [roles.addr_of(i) for i in range(scope.voters)]
        self.nodes = nodes_.Nodes(scope.role, seeds, scope.requests, remember)
        self.progress = progress
        # The one invariant to look for; all where it is empty.
        self.only = only
        self.lives = scope.voters + scope.spares
        # How many voters there are, where the voting set and the disks stay as they are; else 0.
        changing = scope.spares or self.limits.wipes or self.limits.losses or self.limits.leaves
        self.fixed_voters = 0 if changing else scope.voters

    # -- the start --------------------------------------------------------

    def start(self):
        """The state that the scope begins with, reached by one legal schedule."""
        voters = range(self.scope.voters)
        results = [self.nodes.start(i, 0, roles.formed_files(i, voters)) for i in voters]
        nodes, frames = [r.state for r in results], [f for r in results for f in r.sent]
        nodes = self.warm_up(nodes, collections.deque(frames))
        history = invariants.History()
        for node in nodes:
            history = invariants.observe(history, node, (), (), self.requests)
        nodes += [self.nodes.start(i, 0, {}).state for i in range(len(nodes), self.lives)]
        state = State(tuple(nodes), frozenset(), history, (0,) * len(BUDGETS), ())
        return self.played_in(state)

    def played_in(self, state):
        """After the scope's prelude, which costs no limit; its nodes are 0 for the leader and 1, 2 for the others."""
        order = sorted(state.nodes, key=lambda node: (node.view.mode != 'leader', node.index))
        places = [node.index for node in order]
        for move, *more in self.scope.prelude:
            if move == 'run until':
                state = self.run_until(state, MILESTONES[more[0]])
            elif move in UNTIL:
                index = places[more[0]]
                while not UNTIL[move](state, state.nodes[index]):
                    state = self.one(state, Step('timer', index))
            elif move == 'request':
                state = self.one(state, Step('request', places[more[1]], request=more[0]))
            else:
                kind, source, target = more
                way = kind, places[source], places[target]
                for frame in [f for f in state.frames if (f.kind, f.source, f.target) == way]:
                    state = self.one(state, Step('deliver', frame.target, frame.source, frame.text))
        self.carried = self.scope.frames
        frames = frozenset(frame for frame in state.frames if frame.kind in self.carried)
        return State(state.nodes, frames, state.history, (0,) * len(BUDGETS), state.put)

    def run_until(self, state, reached):
        """One legal schedule, with nothing lost and alarms by age, until something holds."""
        for _ in range(WARM_UP_MOST):
            if reached(state):
                return state
            frame = min(state.frames, key=lambda frame: frame.digest, default=None)
            if frame:
                after = next(self.take(state, Step('deliver', frame.target, frame.source, frame.text)), None)
                # A frame that changes nothing is as good as lost.
                rest = state.frames - {frame}
                state = after[0] if after else State(state.nodes, rest, state.history, state.used, state.put)
            else:
                state = self.one(state, Step('timer', min(state.nodes, key=lambda node: node.due).index))
        raise AssertionError(f'{self.scope.name}: prelude does not come about')

    def one(self, state, step):
        """The state after a step without a power loss."""
        return next(new for new, _ in self.take(state, step) if new.step == step)

    def warm_up(self, nodes, queue):
        """Frames in the order they were sent, alarms by age, until the scope's start is reached."""
        for _ in range(WARM_UP_MOST):
            if self.scope.led and not queue and self.all_follow(nodes):
                return nodes
            if queue:
                frame = queue.popleft()
                result = self.nodes.feed(nodes[frame.target], 'recv', (frame.text,))
            else:
                target = min(nodes, key=lambda node: node.due).index
                result = self.nodes.feed(nodes[target], 'wake', ())
                if not self.scope.led and any(frame.kind in scopes.PREVOTES for frame in result.sent):
                    # All know each other, and this one is about to stand.
                    return nodes
            nodes[result.state.index] = result.state
            queue.extend(frame for frame in result.sent if frame.target < len(nodes))
        raise AssertionError(f'{self.scope.name}: no start state')

    def all_follow(self, nodes):
        """Whether one leads and all have committed the same of its term."""
        views = [node.view for node in nodes]
        return (
            sum(view.mode == 'leader' for view in views) == 1
            and len({(view.accepted, view.committed, view.term) for view in views}) == 1
            and views[0].committed == views[0].accepted
            and views[0].committed[0] == views[0].term
        )

    # -- steps ------------------------------------------------------------

    def steps(self, state):
        """Every step that is enabled in a state."""
        left = {name: getattr(self.limits, name) - used for name, used in zip(BUDGETS, state.used, strict=True)}
        for frame in sorted(state.frames, key=lambda frame: frame.digest):
            yield Step('deliver', frame.target, frame.source, frame.text)
            if left['doubles'] > 0:
                yield Step('double', frame.target, frame.source, frame.text)
        for node in state.nodes:
            if node.stopped:
                continue
            yield from self.node_steps(node, left)
        for name, request in self.requests.items():
            times = state.put.count(name)
            if times == 0 or (times == 1 and left['copies'] > 0 and not request.reads):
                for index in request.nodes:
                    if self.takes_requests(state.nodes[index]):
                        yield Step('request', index, request=name)

    def takes_requests(self, node):
        """Whether anything can come of a request to a node."""
        return not node.stopped and (node.view.mode == 'leader' or 'ask' in self.scope.frames)

    def node_steps(self, node, left):
        if node.due is not None:
            if left['timers'] > 0:
                yield Step('timer', node.index)
            elif self.limits.timers:
                self.report.cut_off['timers'] += 1
        for kind, name in (('crash', 'crashes'), ('wipe', 'wipes'), ('loss', 'losses'), ('leave', 'leaves')):
            if left[name] > 0:
                yield Step(kind, node.index)

    def take(self, state, step):
        """The states that a step leads to: one, and where power may be lost within it, one for each write."""
        node = state.nodes[step.node]
        used = list(state.used)
        frames, put = state.frames, state.put
        if step.kind in ('deliver', 'double'):
            frame = self.on_its_way(frames, step)
            if step.kind == 'deliver':
                frames = frames - {frame}
            else:
                used[BUDGETS.index('doubles')] += 1
            if frame.kind == CLOSED:
                result = self.nodes.feed(node, 'lost', (roles.addr_of(frame.source),))
            else:
                result = self.nodes.feed(node, 'recv', (frame.text,))
            if result.state is node and not (result.sent or result.answers or result.cuts):
                # The state with the frame still on its way has all the futures of the one without it.
                return
        elif step.kind == 'timer':
            used[BUDGETS.index('timers')] += 1
            state, result = self.until_it_acts(state, node)
            frames = state.frames
        elif step.kind == 'request':
            request = self.requests[step.request]
            if step.request in put:
                used[BUDGETS.index('copies')] += 1
            put = (*put, step.request)
            result = self.nodes.feed(node, 'request', (request.name, request.op, request.args))
            if request.reads:
                before = frozenset(name for name, _ in state.history.acknowledged)
                state = self.with_read(state, step.request, before)
        elif step.kind == 'leave':
            used[BUDGETS.index('leaves')] += 1
            result = self.nodes.feed(node, 'stop', ())
        elif step.kind == 'loss':
            used[BUDGETS.index('losses')] += 1
            result = nodes_.Result(self.nodes.stopped(node), (), (), ())
        else:
            used[BUDGETS.index('crashes' if step.kind == 'crash' else 'wipes')] += 1
            result = self.nodes.start(node.index, node.life + 1, node.files if step.kind == 'crash' else {})
        if step.kind in ('crash', 'wipe', 'loss') or result.state.stopped:
            frames = self.closed(state, step.node, frames)
        yield self.after(state, step, result, frames, tuple(used), put)
        place = BUDGETS.index('crashes')
        if self.limits.cuts and used[place] < self.limits.crashes and step.kind not in ('crash', 'wipe', 'loss'):
            used[place] += 1
            for number, cut in enumerate(result.cuts):
                again = self.nodes.start(node.index, node.life + 1, cut.files)
                again = dataclasses.replace(again, sent=cut.sent + again.sent)
                rest = self.closed(state, step.node, frames)
                yield self.after(state, dataclasses.replace(step, cut=number), again, rest, tuple(used), put)

    def on_its_way(self, frames, step):
        for frame in frames:
            if (frame.source, frame.target, frame.text) == (step.source, step.node, step.frame):
                return frame
        raise NotEnabled(step.line())

    def until_it_acts(self, state, node):
        """The node's alarms one after another, to the first that others can see; the state before that, its result."""
        for _ in range(ALARMS_MOST):
            result = self.nodes.feed(node, 'wake', ())
            new, answers = self.after(state, None, result, state.frames, state.used, state.put)
            if result.cuts or answers or new.frames != state.frames or self.shown(new) != self.shown(state):
                break
            state = self.moved(state, new)
            node = state.nodes[node.index]
        return state, result

    def shown(self, state):
        return [(node.view.mode, node.view.term, node.view.accepted, node.stopped) for node in state.nodes]

    def moved(self, state, new):
        """`new` in the place of `state` on the way here."""
        moved = State(new.nodes, new.frames, new.history, new.used, new.put, state.parent, state.step)
        moved.depth = state.depth
        return moved

    def with_read(self, state, name, before):
        history = state.history.add(reads={(name, before)})
        return self.moved(state, State(state.nodes, state.frames, history, state.used, state.put))

    def closed(self, state, index, frames):
        """What was on its way to a node is gone with its connections; the others may learn of it."""
        rest = {frame for frame in frames if frame.target != index}
        if self.limits.lost_connections:
            for node in state.nodes:
                if node.index != index and not node.stopped:
                    rest.add(self.nodes.frame_of(index, node.index, '', CLOSED))
        return frozenset(rest)

    def after(self, state, step, result, frames, used, put):
        nodes, frames = list(state.nodes), set(frames)
        history, answers = state.history, []
        queue = collections.deque([result])
        nodes[result.state.index] = result.state
        while queue:
            result = queue.popleft()
            history = invariants.observe(history, result.state, result.sent, result.answers, self.requests)
            answers.extend(result.answers)
            for frame in result.sent:
                if nodes[frame.target].stopped if frame.target < len(nodes) else True:
                    continue
                if frame.kind in self.scope.prompt:
                    queue.append(self.nodes.feed(nodes[frame.target], 'recv', (frame.text,)))
                    nodes[frame.target] = queue[-1].state
                elif frame.kind in self.carried:
                    frames.add(frame)
        new = State(tuple(nodes), frozenset(frames), history, used, put, state, step)
        return new, tuple(answers)

    # -- the search -------------------------------------------------------

    def run(self):
        self.report = Report(self.scope.name)
        begun = time.monotonic()
        first = self.start()
        seen = {first.digest()}
        queue = collections.deque([first])
        while queue and self.report.finding is None:
            state = queue.popleft()
            self.report.depth = max(self.report.depth, state.depth)
            self.expand(state, seen, queue)
        self.report.states = len(seen)
        self.report.seconds = time.monotonic() - begun
        self.report.memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        self.report.node_states = len(self.nodes.states)
        self.report.inputs_played = self.nodes.played
        return self.report

    def expand(self, state, seen, queue):
        if state.depth >= self.limits.depth:
            self.report.cut_off['depth'] += 1
            return
        for step in self.steps(state):
            if self.report.finding:
                return
            for new, answers in self.taken(state, step):
                self.report.steps += 1
                bad = invariants.broken(new, new.history, answers, self.requests, self.fixed_voters)
                if bad and self.only in ('', bad[0]) and self.confirmed(new.path()):
                    self.report.finding = Finding(*bad, new.path())
                    return
                if max(node.view.term for node in new.nodes) > self.limits.term:
                    self.report.cut_off['term'] += 1
                    continue
                name = new.digest()
                if name in seen:
                    continue
                if len(seen) >= self.limits.states:
                    self.report.cut_off['states'] += 1
                    continue
                seen.add(name)
                self.note_reached(new)
                queue.append(new)
                if self.progress and len(seen) % 10000 == 0:
                    self.progress(f'... {len(seen)} states, depth {state.depth}, {len(queue)} waiting')

    def taken(self, state, step):
        """As `take`; a machine that breaks is a finding."""
        try:
            yield from self.take(state, step)
        except nodes_.MachineBroke as fault:
            steps = [*state.path(), step]
            if self.confirmed(steps):
                self.report.finding = Finding(NO_EXCEPTION, str(fault), steps)

    def confirmed(self, steps):
        """Whether the steps lead to a finding on machines of their own, without any state that stands for another."""
        try:
            if Explorer(self.scope, remember=False, only=self.only).replay(steps):
                return True
        except NotEnabled:
            pass
        self.report.cut_off['findings not confirmed'] += 1
        return False

    def note_reached(self, state):
        reached, history = self.report.reached, state.history
        reached['leader'] += any(node.view.mode == 'leader' for node in state.nodes)
        reached['leaders of two terms'] += len(history.leaders) > 1
        reached['two leaders at once'] += sum(node.view.mode == 'leader' for node in state.nodes) > 1
        reached['acknowledged'] += bool(history.acknowledged)
        reached['acknowledged, then a new leader'] += any(
            leader > term for leader, _ in history.leaders for _, term in history.acknowledged
        )
        reached['refused'] += bool(history.refused)

    def replay(self, steps):
        """Plays steps again; the first invariant that breaks, or None."""
        self.report = Report(self.scope.name)
        state = self.start()
        for step in steps:
            whole = dataclasses.replace(step, cut=-1)
            try:
                found = [(new, answers) for new, answers in self.take(state, whole) if new.step == step]
            except nodes_.MachineBroke as fault:
                return Finding(NO_EXCEPTION, str(fault), [*state.path(), step])
            if not found:
                raise NotEnabled(step.line())
            state, answers = found[0]
            bad = invariants.broken(state, state.history, answers, self.requests, self.fixed_voters)
            if bad and self.only in ('', bad[0]):
                return Finding(*bad, state.path())
        return None


def replay(document):
    """Plays a finding's document again, on machines of its own; the finding, or None."""
    steps = [Step(**step) for step in document['steps']]
    scope = scopes.SCOPES[document['scope']]
    return Explorer(scope, remember=False, only=document['invariant']).replay(steps)
