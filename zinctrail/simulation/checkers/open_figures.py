"""The worst value observed for each bound in a scenario of open traffic."""

import datetime

import zinctrail.runtime.durations as durations
import zinctrail.simulation.checkers.figures as library_figures
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.records as open_records


class Maxima(library_figures.Maxima):
    """The largest value of each figure, by the figure's name; all but the first value of each are rounded."""

    def add(self, name: str, value: float) -> None:
        """Add a value of a figure."""
        self[name] = max(self.get(name, value), round(value, 2))


def figures(deployment: open_deployment.Deployment) -> dict[str, float]:
    """Return the figures, in ms or as a ratio; figures without a value are left out."""
    maxima = Maxima()
    records = deployment.records
    drained: dict[str, datetime.timedelta] = {}
    for change in records.states:
        drained.setdefault(change.incarnation, change.acknowledged_at)
    for arrival in records.arrivals:
        at = drained.get(arrival.incarnation)
        if at is not None and not arrival.is_misdirected and arrival.at > at:
            maxima.add('drained_ms', durations.to_ms(arrival.at - at))
    for evacuation in records.evacuations:
        if evacuation.is_evacuated and evacuation.acknowledged_at:
            _add_evacuation(deployment, evacuation, maxima)
    for command in records.commands:
        if command.status == 200:
            maxima.add('ack_ms', durations.to_ms(command.responded_at - command.sent_at))
    success_count = sum(attempt.is_success() for attempt in records.attempts)
    maxima.add('failed_share', 1 - success_count / max(1, len(records.attempts)))
    return dict(maxima)


def _add_evacuation(
    deployment: open_deployment.Deployment, evacuation: open_records.Evacuation, maxima: Maxima
) -> None:
    """Add how long after the acknowledgement of its evacuation a zone was reached."""
    until = registry.taken_back_at(evacuation, deployment.records.evacuations) or deployment.world.now
    for arrival in deployment.records.arrivals:
        is_in_zone = arrival.zone == evacuation.zone and not arrival.is_misdirected
        if is_in_zone and evacuation.acknowledged_at < arrival.at < until:
            maxima.add('evacuated_ms', durations.to_ms(arrival.at - evacuation.acknowledged_at))
