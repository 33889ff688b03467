"""Who was in contact, and when: rules with a time bound hold for a machine only while it was."""

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


def is_calm(spans: list[Span], begins: Time, until: Time) -> bool:
    """Whether no disturbance touches the time from `begins` to `until`."""
    return not any(begin <= until and (end is None or end >= begins) for begin, end in spans)


class Contact:
    """Disturbances of each machine, and of the control nodes as a whole."""

    def __init__(self, deployment: open_deployment.Deployment) -> None:
        self.control_nodes = {node.name for node in deployment.world.by_address.values() if node.role == 'core'}
        # Spans by the name of a machine, and those of the control nodes together.
        self.own: dict[str, list[Span]] = collections.defaultdict(list)
        self.control: list[Span] = []
        self._add_events(deployment.world.process_events)
        self._add_cuts(deployment.records.cuts)
        self.control += deployment.records.lossy

    def _add(self, name: str, span: Span, control_span: Span | None = None) -> None:
        """Note a disturbance of a machine; one of a control node also disturbs control."""
        self.own[name].append(span)
        if name in self.control_nodes:
            self.control.append(control_span or span)

    def _add_events(self, events: list[simulated_node.ProcessEvent]) -> None:
        """Note starts, ends, pauses and resets of processes."""
        down_since = {}
        for event in events:
            if event.what in ('kill', 'exit'):
                down_since[event.name] = event.at
            begins = down_since.pop(event.name, event.at) if event.what == 'start' else event.at
            self._add(event.name, Span(begins, event.until))
        for name, since in down_since.items():
            # The moment only: control nodes with a majority left settle again without one of them.
            self._add(name, Span(since, None), control_span=Span(since, since))

    def _add_cuts(self, cuts: list[open_records.Cut]) -> None:
        """Note cuts between two control nodes, and between one and another machine."""
        for cut in cuts:
            one = cut.one
            other = cut.other
            begins = cut.begins_at
            until = cut.ends_at
            if one in self.control_nodes and other in self.control_nodes:
                self.control += [Span(begins, begins), Span(until, until)] if until else [Span(begins, begins)]
                self.own[one].append(Span(begins, until))
                self.own[other].append(Span(begins, until))
            elif other in self.control_nodes:
                self.own[one].append(Span(begins, until))
            elif one in self.control_nodes:
                self.own[other].append(Span(begins, until))

    def slack(self, name: str, at: Time, begins: Time | None = None) -> Time | None:
        """What is added to a bound for a machine at a moment.

        Nothing in contact, more with unsettled control nodes, None where no
        bound holds. `begins`: the whole span from there on must have been so.
        """
        begins = at if begins is None else begins
        if not is_calm(self.own[name], begins - CONTACT, at):
            return None
        is_settled = is_calm(self.control, begins - CONTACT, at)
        return durations.ZERO if is_settled else terms.TERMS.stretch

    def is_bound(self, name: str, at: Time, begins: Time | None = None) -> bool:
        """Whether a bound holds for a machine without any slack."""
        return self.slack(name, at, begins) == durations.ZERO
