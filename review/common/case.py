"""Runs a case: the exit status says whether the rule was broken, held, or the case could not run."""

import asyncio
import os
import sys
import traceback
import typing

import common.deployment as deployment
import common.record as record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


def has_trouble() -> bool:
    """Whether the disruption is brought about: not with TROUBLE=0."""
    return os.environ.get('TROUBLE', '1') != '0'


Case = typing.Callable[[deployment.Deployment, record.Record], typing.Awaitable[bool]]


def run(case: Case, folder: str, cores: int = 3, edges: int = 2, machine_losses: int = 1) -> typing.NoReturn:
    """Run a case, which says whether the rule was broken, and exit.

    :param folder: where `record.txt` is written.
    """
    events = record.Record(os.path.join(folder, 'record.txt'))
    events.write(f'case begins, trouble={int(has_trouble())}')

    async def play() -> int:
        system = deployment.Deployment(events, cores, edges, machine_losses)
        try:
            is_broken = await asyncio.wait_for(case(system, events), LIMIT_S)
            return BROKEN if is_broken else HELD
        except Exception:
            events.write('could not run: ' + traceback.format_exc())
            return NOT_RUN
        finally:
            await system.stop()

    status = asyncio.run(play())
    verdict = {HELD: 'the rule held', BROKEN: 'the rule was BROKEN', NOT_RUN: 'the case could not run'}[status]
    events.write(verdict)
    print(verdict)
    sys.exit(status)
