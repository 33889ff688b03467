"""Checks of the records of a soak for violated guarantees; the records are the only input."""

import collections
import collections.abc
import signal

import features.support.soak.records as soak_records

# No guarantee holds for a process within this time of an unplanned disturbance.
CONTACT_S = 5.0
# How long after reading a request a process may close its connection without a response, and how long after a client
# has disconnected its request may still run. Real processes on a shared machine need more than the platform's bounds.
LOSS_SLACK_S = 0.2
DISCONNECT_SLACK_S = 0.5
# A process that started less than this ago may exit on a signal that it does not handle yet.
STARTUP_S = 5.0
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
UNPLANNED = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
MAX_LATE_RUNS = 3

Records = soak_records.Records


class RecordChecker:
    """Checks the records of a soak.

    :param homes: {host: the regions of its routes that have homes}.
    :param regions: {address of an ingress, or zone: its region}.
    :param contention: how many processes compete for each processor, at least 1; multiplies bounds in real time.
    :param starts: {name of a process: the times when it was started}.
    """

    def __init__(
        self,
        records: Records,
        homes: dict[str, set[str]],
        regions: dict[str, str],
        starts: dict[str, list[float]],
        contention: float,
    ) -> None:
        self.records, self.homes, self.regions, self.starts, self.contention = (
            records,
            homes,
            regions,
            starts,
            contention,
        )
        self.runs: dict[str, list[soak_records.Run]] = collections.defaultdict(list)
        for run in records.runs:
            self.runs[run.attempt_id].append(run)
        self.unplanned: dict[str, list[float]] = collections.defaultdict(list)
        for sent in records.signals:
            if sent.number in UNPLANNED:
                self.unplanned[sent.ingress].append(sent.at)

    def findings(self) -> list[str]:
        """Return the findings of all checks."""
        checks: tuple[collections.abc.Callable[[], list[str]], ...] = (
            self.mixed,
            self.twice,
            self.refused,
            self.unasked,
            self.lost,
            self.gone,
            self.led_away,
            self.ended,
        )
        findings = [f'{check.__name__}: {text}' for check in checks for text in check()]
        return findings + [f'fault: {text}' for text in self.records.faults]

    def slack_s(self, bound_s: float, begin: float, end: float) -> float:
        """Return a bound in real time, extended by the contention and by the lag of the soak's loop between two times."""
        lags = [lag_s for at, lag_s in self.records.lags if begin <= at <= end + lag_s]
        return bound_s * self.contention + 2 * max(lags, default=0.0)

    def is_calm(self, attempt: soak_records.Attempt) -> bool:
        """Return True if the process at an attempt's ingress had no unplanned disturbance around that time."""
        end = attempt.ended_at or attempt.sent_at
        return not any(attempt.sent_at - CONTACT_S <= at <= end for at in self.unplanned[attempt.ingress])

    def mixed(self) -> list[str]:
        """Find successes without the seal, or with a body other than the endpoint's for this attempt."""
        return [
            f'{attempt.id} got the success of another attempt'
            for attempt in self.records.attempts.values()
            if attempt.status == 200 and not attempt.is_sealed
        ]

    def twice(self) -> list[str]:
        """Find non-idempotent requests that were executed more than once."""
        return [
            f'{attempt.id} ran {len(self.runs[attempt.id])} times'
            for attempt in self.records.attempts.values()
            if attempt.runs_once and len(self.runs[attempt.id]) > 1
        ]

    def refused(self) -> list[str]:
        """Find non-idempotent requests that were executed although the status says they were not."""
        return [
            f'{attempt.id} got {attempt.status}, and was executed'
            for attempt in self.records.attempts.values()
            if attempt.runs_once and attempt.status in NOT_EXECUTED_STATUSES and self.runs[attempt.id]
        ]

    def unasked(self) -> list[str]:
        """Find executed requests that no client sent."""
        return [f'ran {run.attempt_id}' for run in self.records.runs if run.attempt_id not in self.records.attempts]

    def lost(self) -> list[str]:
        """Find connections that end without a complete response, although their process had no unplanned disturbance.

        Either the request was forwarded to an endpoint that did not crash, or the proxy had it for longer than the slack.
        """
        findings = []
        for attempt in self.records.attempts.values():
            if not attempt.fault or attempt.disconnected_at is not None or not self.is_calm(attempt):
                continue
            runs = self.runs[attempt.id]
            if any(run.how == 'crashed' for run in runs):
                continue
            assert attempt.ended_at is not None
            took_s = attempt.ended_at - attempt.sent_at
            if runs or took_s > self.slack_s(LOSS_SLACK_S, attempt.sent_at, attempt.ended_at):
                findings.append(
                    f'{attempt.id} of {attempt.route} at {attempt.ingress} ended with {attempt.fault} after'
                    f' {took_s:.3f} s, {"forwarded" if runs else "not forwarded"}'
                )
        return findings

    def gone(self) -> list[str]:
        """Find requests that run on or start after their clients have disconnected, if there are more than a few."""
        findings = []
        for attempt in self.records.attempts.values():
            if attempt.disconnected_at is None or attempt.runs_once or not self.is_calm(attempt):
                continue
            bound_s = self.slack_s(
                DISCONNECT_SLACK_S, attempt.disconnected_at, attempt.disconnected_at + DISCONNECT_SLACK_S
            )
            for run in self.runs[attempt.id]:
                if (run.ended_at or float('inf')) > attempt.disconnected_at + bound_s and run.how != 'crashed':
                    findings.append(
                        f'{attempt.id} was executed for over {bound_s:.2f} s after its client had disconnected'
                    )
        return findings if len(findings) > MAX_LATE_RUNS else []

    def led_away(self) -> list[str]:
        """Find lookups that name a region that is neither the client's nor a home, next to one that is."""
        findings = []
        for lookup in self.records.lookups:
            homes = self.homes.get(lookup.host)
            if not homes:
                continue
            allowed = homes | {self.regions[lookup.zone]}
            regions = {self.regions[address] for address in lookup.addresses}
            if regions & allowed and regions - allowed:
                findings.append(lookup.describe())
        return findings

    def ended(self) -> list[str]:
        """Find processes that exit by themselves, or with a code other than 0 after SIGTERM."""
        findings = []
        for end in self.records.ends:
            started_at = max((at for at in self.starts[end.name] if at <= end.at), default=0.0)
            is_starting = end.at - started_at < STARTUP_S * self.contention
            if end.by_signal is None and not (is_starting and end.code == -signal.SIGHUP):
                findings.append(f'{end.name} exited by itself with {end.code}')
            elif (
                end.by_signal == signal.SIGTERM and end.code != 0 and not (is_starting and end.code == -signal.SIGTERM)
            ):
                findings.append(f'{end.name} exited with {end.code} after SIGTERM')
        return findings
