"""The worst that was seen against each bound on a day of open traffic."""

import datetime

import zinctrail.runtime.durations as durations
import zinctrail.simulation.checkers.figures as day_figures
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.records as open_records


class Worst(day_figures.Worst):
    """Figures by name, of which the largest value stays; all but the first of each are rounded."""

    def add(self, name: str, value: float) -> None:
        """Count in a value."""
        self[name] = max(self.get(name, value), round(value, 2))


def figures(deployment: open_deployment.Deployment) -> dict[str, float]:
    """In ms or as a ratio; what did not occur is left out."""
    worst = Worst()
    records = deployment.records
    drained: dict[str, datetime.timedelta] = {}
    for change in records.states:
        drained.setdefault(change.incarnation, change.acknowledged_at)
    for arrival in records.arrivals:
        at = drained.get(arrival.incarnation)
        if at is not None and not arrival.is_misdirected and arrival.at > at:
            worst.add('drained_ms', durations.to_ms(arrival.at - at))
    for evacuation in records.evacuations:
        if evacuation.is_evacuated and evacuation.acknowledged_at:
            _add_evacuation(deployment, evacuation, worst)
    for command in records.commands:
        if command.status == 200:
            worst.add('ack_ms', durations.to_ms(command.responded_at - command.sent_at))
    good = sum(attempt.is_success() for attempt in records.attempts)
    worst.add('failed_share', 1 - good / max(1, len(records.attempts)))
    return dict(worst)


def _add_evacuation(deployment: open_deployment.Deployment, evacuation: open_records.Evacuation, worst: Worst) -> None:
    """How long after its acknowledgement an evacuated zone was reached."""
    until = registry.taken_back_at(evacuation, deployment.records.evacuations) or deployment.world.now
    for arrival in deployment.records.arrivals:
        is_there = arrival.zone == evacuation.zone and not arrival.is_misdirected
        if is_there and evacuation.acknowledged_at < arrival.at < until:
            worst.add('evacuated_ms', durations.to_ms(arrival.at - evacuation.acknowledged_at))
