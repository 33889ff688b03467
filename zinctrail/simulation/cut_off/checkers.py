"""Checkers of trials: the guarantees that hold around a control node without contact, judged by the callers' records.

Each checker takes a finished trial and returns its violations, one sentence
each.
"""

import collections
import datetime
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.cut_off.callers as callers
import zinctrail.simulation.cut_off.trial as cut_off_trial

Trial = cut_off_trial.Trial
Call = callers.Call
Kind = callers.Kind

ms = durations.ms

# The maximum length of a call's description in a verdict.
DESCRIPTION_LENGTH = 300
SHORT_DESCRIPTION_LENGTH = 120


class Span(typing.NamedTuple):
    """A span in which a caller believes that it holds the lock."""

    start: datetime.timedelta
    end: datetime.timedelta


class Grant(typing.NamedTuple):
    """A lock call that returned a fencing token."""

    sent_at: datetime.timedelta
    responded_at: datetime.timedelta
    fencing_token: int


def describe(call: Call) -> str:
    """Return a description of a call."""
    sent_at = durations.to_ms(call.sent_at)
    text = f'{call.kind} at {call.node}, sent {sent_at}, took {call.latency_ms()}: {call.status} {call.body}'
    return text[:DESCRIPTION_LENGTH]


def acknowledged_changes(trial: Trial) -> list[Call]:
    """Return the changes that were acknowledged to their callers."""
    return [call for call in trial.calls if call.kind is Kind.CHANGE and call.status == 200]


def stale_reads(trial: Trial) -> list[str]:
    """Return reads whose response is older than the newest change acknowledged by any node before the read was sent."""
    found = []
    acknowledged = acknowledged_changes(trial)
    for call in trial.calls:
        if call.kind is not Kind.READ or call.status != 200:
            continue
        newest = max((change.value for change in acknowledged if change.responded_at < call.sent_at), default=0)
        pools = call.body['items']['pools']
        version = max((row['version'] for row in pools if row['name'] == callers.MARKER_POOL), default=0)
        if version < newest:
            found.append(f'{newest} was acknowledged: {describe(call)[:SHORT_DESCRIPTION_LENGTH]}')
    return found


def refused_calls(trial: Trial) -> list[str]:
    """Return calls that got a 4xx although all are valid, except a 409 for a lock that another caller may hold."""
    return [
        describe(call)
        for call in trial.calls
        if 400 <= call.status < 500 and not (call.kind in (Kind.LOCK, Kind.LOCK_RELEASE) and call.status == 409)
    ]


def lost_changes(trial: Trial) -> list[str]:
    """Return acknowledged changes that are missing at a control node at the end of the trial."""
    return [
        f'{name} lacks an acknowledged change: {describe(call)}'
        for name, items in trial.final_items.items()
        for call in acknowledged_changes(trial)
        if f'pools/{callers.pool_of_change(call.value)}' not in items
    ]


def expired_lookups(trial: Trial) -> list[str]:
    """Return lookup responses with a proxy that left longer ago than a node may act without contact."""
    if trial.proxy_removed_at is None:
        return ['the leaving proxy was never removed from the state']
    limit = trial.proxy_removed_at + trial.world.settings.touch
    ingress = trial.leaving_proxy.location.front
    return [
        describe(call)
        for call in trial.calls
        if call.kind is Kind.LOOKUP and call.status == 200 and call.sent_at > limit and ingress in call.body['proxies']
    ]


def two_holders(trial: Trial) -> list[str]:
    """Return times at which two callers held the lock, and fencing tokens that did not increase."""
    spans: dict[str, list[Span]] = collections.defaultdict(list)
    grants = []
    for call in trial.calls:
        if call.kind is Kind.LOCK and call.status == 200:
            # The lease counts from the sending of the call; the holder acts on it from the response on.
            spans[call.value].append(Span(call.responded_at, call.sent_at + ms(callers.LOCK_LEASE_MS)))
            grants.append(Grant(call.sent_at, call.responded_at, call.body['fence']))
        elif call.kind is Kind.LOCK_RELEASE:
            spans[call.value] = [Span(span.start, min(span.end, call.sent_at)) for span in spans[call.value]]
    return overlaps(spans) + decreasing_tokens(grants)


def overlaps(spans: dict[str, list[Span]]) -> list[str]:
    """Return the times at which two callers believed that they held the lock, from {caller: spans}."""
    found = []
    names = sorted(spans)
    for index, name in enumerate(names):
        for other in names[index + 1 :]:
            found += [
                f'{name} {span.start} to {span.end}, {other} {second.start} to {second.end}'
                for span in spans[name]
                for second in spans[other]
                if max(span.start, second.start) < min(span.end, second.end)
            ]
    return found


def decreasing_tokens(grants: list[Grant]) -> list[str]:
    """Return fencing tokens that are lower than one granted before they were requested."""
    return [
        f'fencing token {earlier.fencing_token} was granted before {grant.fencing_token}'
        for grant in grants
        for earlier in grants
        if earlier.responded_at < grant.sent_at and earlier.fencing_token > grant.fencing_token
    ]


def late_responses(trial: Trial) -> list[str]:
    """Return calls that an affected node did not respond to within the time limit of the fault."""
    return [
        describe(call)
        for call in trial.calls
        if call.is_affected
        and trial.fault_began_at <= call.sent_at < trial.fault_ended_at
        and not trial.is_in_time(call)
    ]


# The names of checkers in cut_off.feature.
CHECKERS = {
    'stale': stale_reads,
    'refused': refused_calls,
    'lost': lost_changes,
    'expired': expired_lookups,
    'two holders': two_holders,
    'late': late_responses,
}
