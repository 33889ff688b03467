"""An operator's item with a deeply nested field is acknowledged; the item's next version ends one core process after another."""

import asyncio
import contextlib
import os
import sys
import typing

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), 'common_2'))

import stand_in  # noqa: E402

# How deep the field is nested. A call that is nested over 960 deep gets 400, and changes nothing.
DEPTH = 600
# The platform starts a process that ended again after this delay.
RESTART_DELAY_S = 0.5
# The operator sends a call without a clear answer again after this pause, unchanged, to the next node.
OPERATOR_PAUSE_S = 1.0
# How long the operator sends the new version at most.
DAY_S = 60.0
# The rule: processes end by themselves this often, on half of the core.
ENDS = 3


def nested(depth: int) -> typing.Any:
    """Return a value of so many objects, each in the one before."""
    value: typing.Any = 'end'
    for _ in range(depth):
        value = {'include': value}
    return value


async def restart_ended(deployment: stand_in.Deployment, ends: dict[str, int]) -> None:
    """Act as the platform: count the processes of the core that end, and start them again."""
    while True:
        await asyncio.sleep(0.05)
        for core in deployment.cores:
            assert core.process is not None
            code = core.process.poll()
            if code is not None:
                ends[core.name] += 1
                deployment.record.note(
                    f'{core.name} ended by itself, exit code {code}, for the {ends[core.name]}. time'
                )
                await asyncio.sleep(RESTART_DELAY_S)
                core.start()


def is_broken(ends: dict[str, int]) -> bool:
    """True if on half of the core processes ended by themselves `ENDS` times."""
    return 2 * sum(count >= ENDS for count in ends.values()) >= len(ends)


async def send_until_answered(
    deployment: stand_in.Deployment, document: dict, has_ended: typing.Callable[[], bool]
) -> int | None:
    """Act as the operator: send one call until it gets a clear answer; return its status, or None."""
    record = deployment.record
    number = 0
    while not has_ended():
        core = deployment.cores[number % len(deployment.cores)]
        number += 1
        try:
            answer = await stand_in.call(core.address(stand_in.CONTROL_PORT), 'PATCH', '/v1/configuration', document)
        except stand_in.NO_ANSWER as error:
            record.note(f'order PATCH /v1/configuration to {core.name}: {type(error).__name__}')
        else:
            record.note(f'order PATCH /v1/configuration to {core.name}: {answer.status}')
            if answer.status < 500 and answer.status not in (408, 429):
                return answer.status
        await asyncio.sleep(OPERATOR_PAUSE_S)
    return None


async def case(record: stand_in.Record, has_trouble: bool) -> bool:
    """Return True if the processes of the core go on."""
    deployment = stand_in.Deployment(record)
    platform: asyncio.Task | None = None
    try:
        await deployment.start()
        routes = [stand_in.route('r-archive', 'photos.example', '/archive/', 'idempotent', 'arhiv')]
        await deployment.configure(routes, [stand_in.service('arhiv')])
        # Longer than contact_ms: the core is settled, and nothing else happens.
        await asyncio.sleep(6)
        ends = {core.name: 0 for core in deployment.cores}
        platform = asyncio.create_task(restart_ended(deployment, ends))
        until = record.now() + DAY_S

        def has_ended() -> bool:
            return is_broken(ends) or record.now() >= until

        for version in (2, 3):
            notes = nested(DEPTH if has_trouble else 3)
            service = stand_in.service('arhiv', version, notes=notes)
            record.note(f'the operator sends version {version} of service arhiv')
            document = {'upserts': {'service_list': [service]}, 'removals': {}}
            status = await send_until_answered(deployment, document, has_ended)
            record.note(f'version {version} of service arhiv: {status}')
            await asyncio.sleep(1)
        record.note(f'processes that ended by themselves: {ends}')
        deployment.keep_logs(FOLDER)
        return not is_broken(ends)
    finally:
        if platform is not None:
            platform.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await platform
        deployment.end()


stand_in.main(FOLDER, case)
