"""What must not have happened in a soak, from its notes alone."""

import collections
import collections.abc
import signal

import features.support.soak.notes as soak_notes

# How long around trouble of a process nothing is promised of it.
CONTACT_S = 5.0
# From when a process has read a request until it may end its connection without an answer, and from when a client has
# left until nobody works for it; real processes beside others need more than the platform's bounds.
LOSS_SLACK_S = 0.2
LEFT_S = 0.5
# How young a process may be that ends by a signal it can not take yet.
YOUNG_S = 5.0
PROMISES = (408, 421, 429, 503)
UNPLANNED = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
LATE_MOST = 3

Notes = soak_notes.Notes


class Judge:
    """Looks at the notes of a soak.

    :param homes: {host: the regions of its routes that have homes}.
    :param regions: {address of a front, or zone: its region}.
    :param contention: how many want each processor, 1 at the least: bounds in real time mean so much more.
    :param starts: {name of a process: when it was started}.
    """

    def __init__(
        self,
        notes: Notes,
        homes: dict[str, set[str]],
        regions: dict[str, str],
        starts: dict[str, list[float]],
        contention: float,
    ) -> None:
        self.notes, self.homes, self.regions, self.starts, self.contention = notes, homes, regions, starts, contention
        self.runs: dict[str, list[soak_notes.Run]] = collections.defaultdict(list)
        for run in notes.runs:
            self.runs[run.attempt_id].append(run)
        self.unplanned: dict[str, list[float]] = collections.defaultdict(list)
        for sent in notes.signals:
            if sent.number in UNPLANNED:
                self.unplanned[sent.ingress].append(sent.at)

    def verdicts(self) -> list[str]:
        """All findings."""
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
        return findings + [f'fault: {text}' for text in self.notes.faults]

    def slack_s(self, bound_s: float, begin: float, end: float) -> float:
        """A bound in real time, with what the machine and the soak's own loop were late by between two times."""
        lags = [lag_s for at, lag_s in self.notes.lags if begin <= at <= end + lag_s]
        return bound_s * self.contention + 2 * max(lags, default=0.0)

    def is_calm(self, attempt: soak_notes.Attempt) -> bool:
        """Whether the process at an attempt's front had no unplanned trouble around it."""
        end = attempt.ended_at or attempt.sent_at
        return not any(attempt.sent_at - CONTACT_S <= at <= end for at in self.unplanned[attempt.ingress])

    def mixed(self) -> list[str]:
        """A success without the seal, or with another body than its endpoint's for this very attempt."""
        return [
            f'{attempt.id} got a success that is not its own'
            for attempt in self.notes.attempts.values()
            if attempt.status == 200 and not attempt.is_sealed
        ]

    def twice(self) -> list[str]:
        """What may run once runs twice."""
        return [
            f'{attempt.id} ran {len(self.runs[attempt.id])} times'
            for attempt in self.notes.attempts.values()
            if attempt.runs_once and len(self.runs[attempt.id]) > 1
        ]

    def refused(self) -> list[str]:
        """A status promises that what may run once has not run, and it has."""
        return [
            f'{attempt.id} was answered {attempt.status}, and ran'
            for attempt in self.notes.attempts.values()
            if attempt.runs_once and attempt.status in PROMISES and self.runs[attempt.id]
        ]

    def unasked(self) -> list[str]:
        """Something runs that no client sent."""
        return [f'ran {run.attempt_id}' for run in self.notes.runs if run.attempt_id not in self.notes.attempts]

    def lost(self) -> list[str]:
        """A connection ends without a whole answer, and its process had no unplanned trouble.

        Either it has been passed on to an endpoint that did not crash, or it was read for longer than the slack.
        """
        findings = []
        for attempt in self.notes.attempts.values():
            if not attempt.fault or attempt.left_at is not None or not self.is_calm(attempt):
                continue
            runs = self.runs[attempt.id]
            if any(run.how == 'crashed' for run in runs):
                continue
            assert attempt.ended_at is not None
            took_s = attempt.ended_at - attempt.sent_at
            if runs or took_s > self.slack_s(LOSS_SLACK_S, attempt.sent_at, attempt.ended_at):
                findings.append(
                    f'{attempt.id} of {attempt.route} at {attempt.ingress} ended with {attempt.fault} after'
                    f' {took_s:.3f} s, {"passed on" if runs else "not passed on"}'
                )
        return findings

    def gone(self) -> list[str]:
        """Work for clients that have left, in more than a few cases: requests that run on, or that begin to."""
        findings = []
        for attempt in self.notes.attempts.values():
            if attempt.left_at is None or attempt.runs_once or not self.is_calm(attempt):
                continue
            bound_s = self.slack_s(LEFT_S, attempt.left_at, attempt.left_at + LEFT_S)
            for run in self.runs[attempt.id]:
                if (run.ended_at or float('inf')) > attempt.left_at + bound_s and run.how != 'crashed':
                    findings.append(f'{attempt.id} was worked on for over {bound_s:.2f} s after its client had left')
        return findings if len(findings) > LATE_MOST else []

    def led_away(self) -> list[str]:
        """A lookup names a region that is neither the client's nor home, and beside it one that is."""
        findings = []
        for lookup in self.notes.lookups:
            homes = self.homes.get(lookup.host)
            if not homes:
                continue
            allowed = homes | {self.regions[lookup.zone]}
            regions = {self.regions[address] for address in lookup.addresses}
            if regions & allowed and regions - allowed:
                findings.append(f'{lookup.host} in {lookup.zone}: {lookup.addresses}')
        return findings

    def ended(self) -> list[str]:
        """A process ends by itself, or not with code 0 after a SIGTERM."""
        findings = []
        for end in self.notes.ends:
            started_at = max((at for at in self.starts[end.name] if at <= end.at), default=0.0)
            is_young = end.at - started_at < YOUNG_S * self.contention
            if end.by_signal is None and not (is_young and end.code == -signal.SIGHUP):
                findings.append(f'{end.name} ended by itself with {end.code}')
            elif end.by_signal == signal.SIGTERM and end.code != 0 and not (is_young and end.code == -signal.SIGTERM):
                findings.append(f'{end.name} ended with {end.code} after SIGTERM')
        return findings
