"""Keepers of the processes in a soak: they restart a process after each exit, and kill it after its grace period."""

import asyncio
import random
import signal

import features.support.deployment as deployment
import features.support.deployment_client as deployment_client
import features.support.soak.records as soak_records

POLL_S = 0.02
RESTART_S = (0.1, 0.6)


class Keeper:
    """Keeps one process of the adapter running."""

    def __init__(self, soak, process: deployment.AdapterProcess) -> None:
        self.soak, self.process = soak, process
        self.rng = random.Random(f'{soak.seed}/{process.name}')
        self.starts = 0
        # The signal that should stop the process, and when it was sent.
        self.ended_by: int | None = None
        self.signalled_at = 0.0

    def start(self) -> None:
        """Start the process."""
        self.starts += 1
        self.ended_by = None
        self.soak.starts[self.process.name].append(soak_records.now())
        self.process.start()

    def signal(self, number: int) -> None:
        """Send a signal, and record it."""
        if self.process.process is None or self.process.process.poll() is not None:
            return
        # SIGKILL also stops a process that is shutting down already; SIGTERM changes nothing for such a process.
        if number == signal.SIGKILL or (number == signal.SIGTERM and self.ended_by is None):
            self.signalled_at = soak_records.now()
            self.ended_by = number
        self.soak.records.signals.append(
            soak_records.Signal(self.process.name, self.process.ingress, number, soak_records.now())
        )
        self.process.signal(number)

    async def keep(self) -> None:
        """Watch the process until the soak is over; restart it after each exit."""
        grace_s = self.process.settings['bounds']['grace_period_s']
        while not self.soak.is_over:
            await asyncio.sleep(POLL_S)
            assert self.process.process is not None
            code = self.process.process.poll()
            if code is not None:
                await self.restart(code)
            elif self.ended_by == signal.SIGTERM:
                overdue_s = soak_records.now() - self.signalled_at - grace_s * deployment_client.contention()
                if overdue_s > 0:
                    self.soak.records.faults.append(f'{self.process.name} did not exit within its grace period')
                    self.signal(signal.SIGKILL)

    async def restart(self, code: int) -> None:
        """Record an exit, and restart the process."""
        self.soak.records.ends.append(
            soak_records.End(self.process.name, code, soak_records.now(), self.ended_by, self.signalled_at)
        )
        await asyncio.sleep(self.rng.uniform(*RESTART_S))
        self.process.settings['first_start'] = False
        if not self.soak.is_over:
            self.start()
