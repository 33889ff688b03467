"""The worst value observed for each bound in a scenario of library traffic."""

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.checkers.configuration as configuration_checkers
import zinctrail.simulation.checkers.requests as request_checkers

ms = durations.ms


class Maxima(dict):
    """The largest value of each figure, by the figure's name."""

    def add(self, name: str, value: float) -> None:
        """Add a value of a figure."""
        self[name] = max(self.get(name, value), value)


def figures(deployment: client_deployment.Deployment) -> dict[str, float]:
    """Return the figures, in ms or as a ratio; figures without a value are left out."""
    maxima = Maxima()
    _add_endpoints(deployment, maxima)
    for window in request_checkers.retry_windows(deployment):
        maxima.add('repeats_over_a_fifth', round(window.excess(), 1))
    _add_configurations(deployment, maxima)
    _add_evacuations(deployment, maxima)
    _add_recoveries(deployment, maxima)
    for watch in deployment.records.watches:
        if not watch.is_gone and watch.since_at is not None:
            maxima.add('history_ms', durations.to_ms(watch.responded_at - watch.since_at))
    return dict(maxima)


def _add_endpoints(deployment: client_deployment.Deployment, maxima: Maxima) -> None:
    """Add how long after it drained or was removed an endpoint was reached, and its overload while warming up."""
    records = deployment.records
    drained = request_checkers.drained_at(deployment)
    for arrival in records.arrivals:
        for name, times in (('drained_ms', drained), ('gone_ms', records.removed)):
            at = times.get(arrival.target_incarnation)
            if at is not None and arrival.at > at:
                maxima.add(name, durations.to_ms(arrival.at - at))
        if arrival.capacity < deployment.endpoints[0].slots:
            maxima.add('cold_ratio', round(arrival.running / max(1, arrival.capacity), 2))


def _add_configurations(deployment: client_deployment.Deployment, maxima: Maxima) -> None:
    """Add how long after its acknowledgement a configuration was still not applied.

    The acknowledgement is the time from which the operator relies on it.
    """
    accepted = configuration_checkers.accepted_applies(deployment)
    for old, new in zip(accepted, accepted[1:], strict=False):
        if old.config['pools'] == new.config['pools'] and old.config['cells'] == new.config['cells']:
            continue
        # Runs that a later configuration allows again say nothing about this one.
        later = [apply for apply in accepted if apply.generation > new.generation]
        delays = [
            run.at - new.responded_at
            for run in deployment.records.arrivals
            if new.responded_at < run.at < new.responded_at + ms(5000)
            and not configuration_checkers.is_allowed(new.config, run)
            and configuration_checkers.is_allowed(old.config, run)
            and not any(
                apply.sent_at <= run.at and configuration_checkers.is_allowed(apply.config, run) for apply in later
            )
        ]
        maxima.add('in_force_ms', durations.to_ms(max(delays, default=ms(0))))


def _add_evacuations(deployment: client_deployment.Deployment, maxima: Maxima) -> None:
    """Add how long after the evacuation command an evacuated zone was reached."""
    for evacuation, until in configuration_checkers.evacuations(deployment):
        delays = [
            arrival.at - evacuation.sent_at
            for arrival in deployment.records.arrivals
            if arrival.zone == evacuation.zone
            and arrival.at > evacuation.sent_at
            and (until is None or arrival.at < until)
        ]
        maxima.add('evacuated_ms', durations.to_ms(max(delays, default=ms(0))))


def _add_recoveries(deployment: client_deployment.Deployment, maxima: Maxima) -> None:
    """Add how long after a loss each service ran requests again."""
    for loss in request_checkers.undisturbed_losses(deployment):
        for service in deployment.shape['services']:
            times = [run.at for run in deployment.records.runs if run.service == service and run.at > loss.at]
            if times:
                maxima.add('back_ms', durations.to_ms(min(times) - loss.at))
