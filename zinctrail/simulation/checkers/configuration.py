"""Checkers of the configuration: in force in time, kept, one winner of a conflict; and of evacuations."""

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

# How long an older configuration may still be acted on, and an evacuated cell still be reached.
IN_FORCE_MOST = ms(3000)
EVACUATION_MOST = ms(5000)
# Statuses that tell for sure whether an apply took effect.
CLEAR = (200, 400, 409)


def is_allowed(config: dict, run: actor_records.Arrival) -> bool:
    """Whether this configuration lets a run of this service be at this endpoint."""
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


def accepted(deployment: client_deployment.Deployment) -> list[actor_records.Apply]:
    """The applies that were acknowledged, in the order of their generations."""
    good = [apply for apply in deployment.records.applies if apply.status == 200]
    return sorted(good, key=lambda apply: apply.generation)


@check('config-in-force')
def config_in_force(deployment: client_deployment.Deployment) -> list[str]:
    """Late, sliding back: a run must fit a configuration that was in force then."""
    good = accepted(deployment)
    return [
        f'{run.id} at {seconds(run.at)} ran at {run.address}, which no configuration in force allows'
        for run in deployment.records.arrivals
        if not _fits_one_in_force(good, run) and not _may_be_in_force(deployment, run)
    ]


def _fits_one_in_force(good: list[actor_records.Apply], run: actor_records.Arrival) -> bool:
    """Whether some accepted configuration that was in force then allows the run."""
    for position, apply in enumerate(good):
        is_newest = position + 1 == len(good)
        over = None if is_newest else good[position + 1].responded_at + IN_FORCE_MOST
        if apply.sent_at <= run.at and (over is None or run.at <= over) and is_allowed(apply.config, run):
            return True
    return False


def _may_be_in_force(deployment: client_deployment.Deployment, run: actor_records.Arrival) -> bool:
    """An apply whose reply was lost may be in force; config-kept is what judges it."""
    return any(
        apply.status not in CLEAR and apply.sent_at <= run.at and is_allowed(apply.config, run)
        for apply in deployment.records.applies
    )


@check('config-kept')
def config_kept(deployment: client_deployment.Deployment) -> list[str]:
    """Read-back: newest acknowledged or newer, whole, never older."""
    findings = []
    records = deployment.records
    good = {apply.generation: apply for apply in records.applies if apply.status == 200}
    refused = [apply.config for apply in records.applies if apply.status == 400 and isinstance(apply.config, dict)]
    unsure = [apply.config for apply in records.applies if apply.status not in CLEAR]
    conflicting = [apply.config for apply in records.applies if apply.status == 409 and apply.config not in unsure]
    for read in sorted(records.reads, key=lambda read: read.responded_at):
        began = seconds(read.sent_at)
        generation = read.generation
        floor = max((number for number, apply in good.items() if apply.responded_at <= read.sent_at), default=0)
        if generation < floor:
            findings.append(f'read at {began} gave generation {generation}, {floor} was acknowledged before')
        if generation in good and read.config != _filled(good[generation].config):
            findings.append(f'read of generation {generation} is not what was accepted')
        if generation not in good and any(read.config == _filled(config) for config in conflicting):
            findings.append(f'read at {began} gave generation {generation}, whose operator was told of a conflict')
        if any(read.config == _filled(config) for config in refused):
            findings.append(f'read at {began} gave a refused configuration')
    return findings + _slid_back(records.reads)


def _slid_back(reads: list[actor_records.Read]) -> list[str]:
    """Reads that gave an older generation than a read that had ended before they began."""
    findings = []
    reads = sorted(reads, key=lambda read: read.sent_at)
    for position, read in enumerate(reads):
        earlier = [other.generation for other in reads[:position] if other.responded_at <= read.sent_at]
        top = max(earlier, default=0)
        if read.generation < top:
            findings.append(f'read at {seconds(read.sent_at)} slid back from {top} to {read.generation}')
    return findings


def _filled(config: dict) -> dict:
    """A configuration with all its parts, as it is read back."""
    return {part: config.get(part, {}) for part in configuration.PARTS} if isinstance(config, dict) else config


@check('conflicts')
def conflicts(deployment: client_deployment.Deployment) -> list[str]:
    """Two changes on one base: at most one may win."""
    bases = collections.Counter(apply.base for apply in deployment.records.applies if apply.status == 200)
    return [f'{count} changes based on {base} were accepted' for base, count in bases.items() if count > 1]


def evacuations(
    deployment: client_deployment.Deployment,
) -> typing.Iterator[tuple[actor_records.Evacuation, datetime.timedelta | None]]:
    """(evacuation, when the cell was asked back or None) for each evacuation."""
    for evacuation in deployment.records.evacuations:
        if evacuation.is_evacuated:
            yield evacuation, registry.taken_back_at(evacuation, deployment.records.evacuations)


@check('evacuated-reached')
def evacuated_reached(deployment: client_deployment.Deployment) -> list[str]:
    """A request runs in an evacuated cell, or passes a proxy there, after its bound."""
    findings = []
    cells = request_checkers.cells_of_proxies(deployment)
    passed = {(attempt.id, attempt.number): cells.get(attempt.proxy) for attempt in deployment.records.attempts}
    for evacuation, until in evacuations(deployment):
        cell = evacuation.zone
        for arrival in deployment.records.arrivals:
            is_there = arrival.zone == cell or passed.get((arrival.id, arrival.attempt)) == cell
            is_late = arrival.at > evacuation.sent_at + EVACUATION_MOST
            if is_there and is_late and (until is None or arrival.at < until):
                after = seconds(arrival.at - evacuation.sent_at)
                findings.append(f'{arrival.id} reached {cell} {after} after its evacuation was asked')
    return findings
