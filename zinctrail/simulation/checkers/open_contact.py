"""When each machine was in contact with the rest: rules with a time bound hold for it only during that time."""

import collections
import datetime

import zinctrail.runtime.durations as durations
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.records as open_records
import zinctrail.simulation.open_actors.terms as terms

CONTACT = terms.TERMS.contact
Time = datetime.timedelta
Span = open_records.Span


def is_undisturbed(spans: list[Span], since: Time, until: Time) -> bool:
    """True if no disturbance overlaps the time from `since` to `until`."""
    return not any(begin <= until and (end is None or end >= since) for begin, end in spans)


class Contact:
    """The disturbances (restarts, pauses, resets, cuts) of each machine, and of the control nodes together."""

    def __init__(self, deployment: open_deployment.Deployment) -> None:
        self.control_nodes = {node.name for node in deployment.world.by_address.values() if node.role == 'core'}
        # Disturbances by the name of the machine, and those of the control nodes together.
        self.by_machine: dict[str, list[Span]] = collections.defaultdict(list)
        self.control: list[Span] = []
        self._add_events(deployment.world.process_events)
        self._add_cuts(deployment.records.cuts)
        self.control += deployment.records.lossy

    def _add(self, name: str, span: Span, control_span: Span | None = None) -> None:
        """Record a disturbance of a machine; that of a control node also counts for the control nodes together."""
        self.by_machine[name].append(span)
        if name in self.control_nodes:
            self.control.append(control_span or span)

    def _add_events(self, events: list[simulated_node.ProcessEvent]) -> None:
        """Record starts, ends, pauses and resets of processes."""
        down_since = {}
        for event in events:
            if event.kind in ('kill', 'exit'):
                down_since[event.name] = event.at
            since = down_since.pop(event.name, event.at) if event.kind == 'start' else event.at
            self._add(event.name, Span(since, event.until))
        for name, ended_at in down_since.items():
            # Only the moment of its end counts for the control nodes: a remaining majority settles again without it.
            self._add(name, Span(ended_at, None), control_span=Span(ended_at, ended_at))

    def _add_cuts(self, cuts: list[open_records.Cut]) -> None:
        """Record cuts between two control nodes, and between a control node and another machine."""
        for cut in cuts:
            one = cut.one
            other = cut.other
            since = cut.begins_at
            until = cut.ends_at
            if one in self.control_nodes and other in self.control_nodes:
                self.control += [Span(since, since), Span(until, until)] if until else [Span(since, since)]
                self.by_machine[one].append(Span(since, until))
                self.by_machine[other].append(Span(since, until))
            elif other in self.control_nodes:
                self.by_machine[one].append(Span(since, until))
            elif one in self.control_nodes:
                self.by_machine[other].append(Span(since, until))

    def slack(self, name: str, at: Time, since: Time | None = None) -> Time | None:
        """Return the time to add to a bound that applies to a machine at `at`; None if no bound applies.

        It is zero while the machine is in contact, and longer if the control
        nodes were disturbed. The whole time from `since` to `at` counts.
        """
        since = at if since is None else since
        if not is_undisturbed(self.by_machine[name], since - CONTACT, at):
            return None
        is_settled = is_undisturbed(self.control, since - CONTACT, at)
        return durations.ZERO if is_settled else terms.TERMS.stretch

    def is_strictly_bound(self, name: str, at: Time, since: Time | None = None) -> bool:
        """True if a bound applies to a machine without any slack."""
        return self.slack(name, at, since) == durations.ZERO
