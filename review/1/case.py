"""All processes end at once; two control nodes come back without their disks, and the other four some seconds later."""

import asyncio
import os
import shutil
import time

import common.case as case
import common.client as client
import common.configuration as configuration
import common.deployment as deployment
import common.http_calls as http_calls
import common.record as record

# As at the site amdls-lend-grown: six control nodes, of which two may lose their disks.
CORES, LOST_DISKS = 6, 2
# How much longer the control nodes with a disk are without power.
DARK_S = 5.0
LOCK = '/v1/locks/l1f'
HOLD_MS = 20_000


async def ask(node: deployment.Node, method: str, path: str, document: dict | None = None) -> http_calls.Message | None:
    """The answer of one control node; None if there is none within a second."""
    try:
        return await http_calls.call(node.address('control_plane'), method, path, document)
    except (OSError, TimeoutError):
        return None


async def older_reads(system: deployment.Deployment, events: record.Record, acknowledged: set[str]) -> list[str]:
    """The control nodes that answer a read of the configuration without a route that was acknowledged."""
    found = []
    for node in system.cores:
        answer = await ask(node, 'GET', '/v1/configuration')
        if answer is None or answer.status != 200:
            events.write(f'{node.name} answers a read: {answer and answer.status}')
            continue
        routes = {row['name'] for row in answer.document['route_list']}
        events.write(f'{node.name} answers a read: 200 with routes {sorted(routes)}')
        if not acknowledged <= routes:
            found.append(node.name)
    return found


async def lock_holders(system: deployment.Deployment, events: record.Record) -> list[str]:
    """The callers that count themselves holders of one lock at this moment: a caller for each control node asks it."""
    holders: dict[str, float] = {}
    for number, node in enumerate(system.cores):
        sent = time.monotonic()
        answer = await ask(node, 'POST', LOCK, {'holder': f'a{number}', 'hold_ms': HOLD_MS})
        events.write(f'a{number} asks {node.name} for the lock: {answer and (answer.status, answer.body.decode())}')
        if answer is not None and answer.status == 200:
            holders[f'a{number}'] = sent + HOLD_MS / 1000
    return [holder for holder, until in holders.items() if until > time.monotonic()]


async def statuses(system: deployment.Deployment) -> list[int | None]:
    """What clients get at the proxies for requests on a route that every configuration has."""
    answers = [await client.request(system, proxy, '/r1/x') for proxy in system.edges for _ in range(5)]
    return [answer and answer.status for _, answer in answers]


async def lose_power(system: deployment.Deployment, events: record.Record) -> None:
    """End all processes; start two control nodes with empty folders and the proxies, and later the other four."""
    wiped, others = system.cores[:LOST_DISKS], system.cores[LOST_DISKS:]
    for node in system.cores + system.edges:
        node.kill()
    events.write('all processes have ended')
    for node in wiped:
        shutil.rmtree(node.data)
    for node in wiped + system.edges:
        node.start()
    events.write(f'{", ".join(node.name for node in wiped)} run again, with empty disks; the proxies run again')
    await asyncio.sleep(DARK_S)
    for node in others:
        node.start()
    events.write(f'{", ".join(node.name for node in others)} run again, with their disks')


async def play(system: deployment.Deployment, events: record.Record) -> bool:
    """Whether a lock has two holders, or a read leaves out what was acknowledged."""
    await system.start(configuration.change([configuration.route('r1', 7, 'sa')], [configuration.service('sa', 7)]))
    await system.add_endpoint('sa', 'st-a')
    # Time to form the whole voting set, longer than `catch_up_s`.
    await asyncio.sleep(8.0)
    await system.operate('PATCH', '/v1/configuration', configuration.change([configuration.route('r2', 9, 'sa')]))
    events.write('r1 and r2 are acknowledged')
    events.write(f'clients get {await statuses(system)}')
    if case.has_trouble():
        await lose_power(system, events)
    await asyncio.sleep(deployment.BOUNDS['recovery_s'])
    events.write(f'{deployment.BOUNDS["recovery_s"]} s after all are back')
    older = await older_reads(system, events, {'r1', 'r2'})
    events.write(f'clients get {await statuses(system)}')
    holders = await lock_holders(system, events)
    events.write(f'older reads at: {older}; holders of the lock now: {holders}')
    return len(holders) > 1 or bool(older)


if __name__ == '__main__':
    case.run(play, os.path.dirname(os.path.abspath(__file__)), cores=CORES, machine_losses=LOST_DISKS)
