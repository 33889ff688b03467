"""The worst that was seen against each bound on a day of the client library."""

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.checkers.configuration as configuration_checkers
import zinctrail.simulation.checkers.requests as request_checkers

ms = durations.ms


class Worst(dict):
    """Figures by name, of which the largest value stays."""

    def add(self, name: str, value: float) -> None:
        """Count in a value."""
        self[name] = max(self.get(name, value), value)


def figures(deployment: client_deployment.Deployment) -> dict[str, float]:
    """In ms or as a ratio; what did not occur is left out."""
    worst = Worst()
    _of_endpoints(deployment, worst)
    for window in request_checkers.repeat_windows(deployment):
        worst.add('repeats_over_a_fifth', round(window.excess(), 1))
    _of_configurations(deployment, worst)
    _of_evacuations(deployment, worst)
    _of_losses(deployment, worst)
    for watch in deployment.records.watches:
        if not watch.is_gone and watch.since_at is not None:
            worst.add('history_ms', durations.to_ms(watch.responded_at - watch.since_at))
    return dict(worst)


def _of_endpoints(deployment: client_deployment.Deployment, worst: Worst) -> None:
    """How long after its end an endpoint was reached, and how far a cold one was overrun."""
    records = deployment.records
    drained = request_checkers.drained_at(deployment)
    for arrival in records.arrivals:
        for name, times in (('drained_ms', drained), ('gone_ms', records.removed)):
            at = times.get(arrival.target_incarnation)
            if at is not None and arrival.at > at:
                worst.add(name, durations.to_ms(arrival.at - at))
        if arrival.capacity < deployment.endpoints[0].slots:
            worst.add('cold_ratio', round(arrival.running / max(1, arrival.capacity), 2))


def _of_configurations(deployment: client_deployment.Deployment, worst: Worst) -> None:
    """How long after its reply a configuration was not acted on, from when the operator counts on it."""
    good = configuration_checkers.accepted(deployment)
    for old, new in zip(good, good[1:], strict=False):
        if old.config['pools'] == new.config['pools'] and old.config['cells'] == new.config['cells']:
            continue
        # Runs that a later configuration allows again tell nothing about this one.
        later = [apply for apply in good if apply.generation > new.generation]
        late = [
            run.at - new.responded_at
            for run in deployment.records.arrivals
            if new.responded_at < run.at < new.responded_at + ms(5000)
            and not configuration_checkers.is_allowed(new.config, run)
            and configuration_checkers.is_allowed(old.config, run)
            and not any(
                apply.sent_at <= run.at and configuration_checkers.is_allowed(apply.config, run) for apply in later
            )
        ]
        worst.add('in_force_ms', durations.to_ms(max(late, default=ms(0))))


def _of_evacuations(deployment: client_deployment.Deployment, worst: Worst) -> None:
    """How long after its order an evacuated zone was reached."""
    for evacuation, until in configuration_checkers.evacuations(deployment):
        late = [
            arrival.at - evacuation.sent_at
            for arrival in deployment.records.arrivals
            if arrival.zone == evacuation.zone
            and arrival.at > evacuation.sent_at
            and (until is None or arrival.at < until)
        ]
        worst.add('evacuated_ms', durations.to_ms(max(late, default=ms(0))))


def _of_losses(deployment: client_deployment.Deployment, worst: Worst) -> None:
    """How long after a loss each service ran again."""
    for loss in request_checkers.undisturbed_losses(deployment):
        for service in deployment.shape['services']:
            times = [run.at for run in deployment.records.runs if run.service == service and run.at > loss.at]
            if times:
                worst.add('back_ms', durations.to_ms(min(times) - loss.at))
