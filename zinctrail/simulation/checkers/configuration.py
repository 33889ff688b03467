"""Checkers of configuration changes (applied in time, durable, one winner per conflict) and of zone evacuations."""

import collections
import datetime
import typing

import zinctrail.consensus.node_location as node_location
import zinctrail.control.configuration as configuration
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.actors.records as actor_records
import zinctrail.simulation.checkers.registry as registry
import zinctrail.simulation.checkers.requests as request_checkers

ms = durations.ms
check = registry.CLIENT.check
seconds = registry.seconds

# How long a superseded configuration may still be used, and how long an evacuated zone may still be reached.
MAX_SUPERSEDED_USE = ms(3000)
MAX_EVACUATION_DELAY = ms(5000)
# Statuses that say definitely whether an apply took effect.
DEFINITE_STATUSES = (200, 400, 409)


def is_allowed(config: dict, run: actor_records.Arrival) -> bool:
    """True if this configuration routes the request's service to the endpoint that ran it."""
    labels = {
        **(config['cells'].get(run.zone, {}).get('labels') or {}),
        **run.labels,
        **config['labels'].get(run.address, {}),
        'service': run.service,
        'cell': run.zone,
        'region': node_location.region_of(config['cells'], run.zone),
    }
    rules = sorted(config['rules'].items(), key=lambda item: (item[1].get('order', 1000), item[0]))
    for _, rule in rules:
        if configuration.matches(rule.get('match', {}), {'service': run.service}):
            pool = config['pools'][rule['pool']]
            return configuration.matches(dict(pool.get('selector', {}), service=pool['service']), labels)
    return False


def accepted_applies(deployment: client_deployment.Deployment) -> list[actor_records.Apply]:
    """Return the acknowledged applies, sorted by generation."""
    accepted = [apply for apply in deployment.records.applies if apply.status == 200]
    return sorted(accepted, key=lambda apply: apply.generation)


@check('config-in-force')
def config_in_force(deployment: client_deployment.Deployment) -> list[str]:
    """A request runs at an endpoint that no configuration in force at that time allows: applied late, or reverted."""
    accepted = accepted_applies(deployment)
    return [
        f'{run.id} at {seconds(run.at)} ran at {run.address}, which no configuration in force allows'
        for run in deployment.records.arrivals
        if not _is_allowed_in_force(accepted, run) and not _is_allowed_by_unconfirmed(deployment, run)
    ]


def _is_allowed_in_force(accepted: list[actor_records.Apply], run: actor_records.Arrival) -> bool:
    """True if an accepted configuration that was in force at the time of the run allows it."""
    for position, apply in enumerate(accepted):
        is_newest = position + 1 == len(accepted)
        usable_until = None if is_newest else accepted[position + 1].responded_at + MAX_SUPERSEDED_USE
        if (
            apply.sent_at <= run.at
            and (usable_until is None or run.at <= usable_until)
            and is_allowed(apply.config, run)
        ):
            return True
    return False


def _is_allowed_by_unconfirmed(deployment: client_deployment.Deployment, run: actor_records.Arrival) -> bool:
    """True if a configuration whose apply had no definite response allows the run.

    Such a configuration may be in force; the checker config-kept verifies it.
    """
    return any(
        apply.status not in DEFINITE_STATUSES and apply.sent_at <= run.at and is_allowed(apply.config, run)
        for apply in deployment.records.applies
    )


@check('config-kept')
def config_kept(deployment: client_deployment.Deployment) -> list[str]:
    """A read returns a configuration older than the newest acknowledged one, altered, or one that was refused."""
    findings = []
    records = deployment.records
    accepted = {apply.generation: apply for apply in records.applies if apply.status == 200}
    refused = [apply.config for apply in records.applies if apply.status == 400 and isinstance(apply.config, dict)]
    unconfirmed = [apply.config for apply in records.applies if apply.status not in DEFINITE_STATUSES]
    conflicting = [apply.config for apply in records.applies if apply.status == 409 and apply.config not in unconfirmed]
    for read in sorted(records.reads, key=lambda read: read.responded_at):
        sent_time = seconds(read.sent_at)
        generation = read.generation
        floor = max((number for number, apply in accepted.items() if apply.responded_at <= read.sent_at), default=0)
        if generation < floor:
            findings.append(f'read at {sent_time} gave generation {generation}, {floor} was acknowledged before')
        if generation in accepted and read.config != _with_all_parts(accepted[generation].config):
            findings.append(f'read of generation {generation} differs from the accepted configuration')
        if generation not in accepted and any(read.config == _with_all_parts(config) for config in conflicting):
            findings.append(f'read at {sent_time} gave generation {generation}, which was refused with a conflict')
        if any(read.config == _with_all_parts(config) for config in refused):
            findings.append(f'read at {sent_time} gave a refused configuration')
    return findings + _regressions(records.reads)


def _regressions(reads: list[actor_records.Read]) -> list[str]:
    """Return a finding for each read older than a read that completed before it was sent."""
    findings = []
    reads = sorted(reads, key=lambda read: read.sent_at)
    for position, read in enumerate(reads):
        earlier = [other.generation for other in reads[:position] if other.responded_at <= read.sent_at]
        newest = max(earlier, default=0)
        if read.generation < newest:
            findings.append(f'read at {seconds(read.sent_at)} went back from {newest} to {read.generation}')
    return findings


def _with_all_parts(config: dict) -> dict:
    """Return the configuration with empty parts added, as a read returns it."""
    return {part: config.get(part, {}) for part in configuration.PARTS} if isinstance(config, dict) else config


@check('conflicts')
def conflicts(deployment: client_deployment.Deployment) -> list[str]:
    """More than one change based on the same generation is accepted."""
    bases = collections.Counter(apply.base for apply in deployment.records.applies if apply.status == 200)
    return [f'{count} changes based on {base} were accepted' for base, count in bases.items() if count > 1]


def evacuations(
    deployment: client_deployment.Deployment,
) -> typing.Iterator[tuple[actor_records.Evacuation, datetime.timedelta | None]]:
    """Yield each evacuation with the time at which its reversal was requested, or None."""
    for evacuation in deployment.records.evacuations:
        if evacuation.is_evacuated:
            yield evacuation, registry.taken_back_at(evacuation, deployment.records.evacuations)


@check('evacuated-reached')
def evacuated_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A request runs in an evacuated zone, or passes a proxy there, after MAX_EVACUATION_DELAY."""
    findings = []
    zones = request_checkers.zones_of_proxies(deployment)
    proxy_zones = {(attempt.id, attempt.number): zones.get(attempt.proxy) for attempt in deployment.records.attempts}
    for evacuation, until in evacuations(deployment):
        zone = evacuation.zone
        for arrival in deployment.records.arrivals:
            is_in_zone = arrival.zone == zone or proxy_zones.get((arrival.id, arrival.attempt)) == zone
            is_late = arrival.at > evacuation.sent_at + MAX_EVACUATION_DELAY
            if is_in_zone and is_late and (until is None or arrival.at < until):
                after = seconds(arrival.at - evacuation.sent_at)
                findings.append(f'{arrival.id} reached zone {zone} {after} after its evacuation was requested')
    return findings
