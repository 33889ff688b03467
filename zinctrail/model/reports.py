"""The report of an exploration: its size, the events it reached, and the violation that it found."""

import collections
import dataclasses
import typing

import zinctrail.model.cluster_state as cluster_state
import zinctrail.model.steps as steps


@dataclasses.dataclass
class Finding:
    """A violated invariant, the reason, and the steps that lead to the violation."""

    invariant: str
    reason: str
    steps: list[steps.Step]

    def page(self, scope: str) -> str:
        """Return the finding as text for a reader."""
        rows = [f'{self.invariant}: {self.reason}', f'scope {scope}, {len(self.steps)} steps:']
        rows += [f'{number:3}. {step.describe()}' for number, step in enumerate(self.steps, 1)]
        return '\n'.join(rows)

    def document(self, scope: str, guard: str | None = None) -> dict[str, typing.Any]:
        """Return the finding as a JSON document that can be replayed; `guard` is the guard that was switched off."""
        return {
            'scope': scope,
            'guard': guard,
            'invariant': self.invariant,
            'why': self.reason,
            'steps': [step.to_json() for step in self.steps],
        }


@dataclasses.dataclass
class Report:
    """The figures of one exploration."""

    scope: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    memory_mb: int = 0
    node_states: int = 0
    inputs_played: int = 0
    finding: Finding | None = None
    # The number of states by which each event had happened: an exploration that reaches no event proves nothing.
    reached: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    # How often a limit stopped a step or a state: {limit: count}.
    cut_off: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def text(self) -> str:
        """Return the report as one line."""
        rate = self.states / self.seconds if self.seconds else 0
        found = f'FOUND {self.finding.invariant}' if self.finding else 'nothing found'
        return (
            f'{self.scope}: {found}; {self.states} distinct states, {self.steps} steps, depth {self.depth},'
            f' {self.seconds:.1f} s, {rate:.0f} states/s, {self.memory_mb} MB; {self.node_states} node states,'
            f' {self.inputs_played} inputs played; reached {dict(sorted(self.reached.items()))};'
            f' cut off by {dict(sorted(self.cut_off.items()))}'
        )

    def count_reached(self, state: cluster_state.ClusterState) -> None:
        """Count the events that have happened on the way to a state."""
        reached, history = self.reached, state.history
        leading = sum(node.view.mode == 'leader' for node in state.nodes)
        reached['leader'] += leading > 0
        reached['leaders of two terms'] += len(history.leaders) > 1
        reached['two leaders at once'] += leading > 1
        reached['acknowledged'] += bool(history.acknowledged)
        reached['acknowledged, then a new leader'] += any(
            leader > term for leader, _ in history.leaders for _, term in history.acknowledged
        )
        reached['refused'] += bool(history.refused)
