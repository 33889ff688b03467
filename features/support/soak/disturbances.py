"""The disturbances of a soak: seeded, overlapping series of signals, changes and replaced endpoints."""

import asyncio
import collections.abc
import contextlib
import json
import random
import signal

import features.support.platform_documents as platform_documents
import features.support.soak.keepers as keepers

# The time from the start of a disturbance to the next; many of them last longer.
PAUSE_S = (0.1, 0.9)
FREEZE_S = (0.1, 1.2)
EVACUATION_S = (1.0, 3.0)
SERIES_GAP_S = (0.2, 1.2)
SIGNAL_GAP_S = (0.0, 0.5)
# A crowd of misbehaving clients: its connections, how long they stay, and what each sends. None of it is a request that
# may run: unfinished ones, and many for a path without a route.
CROWD_CONNECTIONS = 120
CROWD_S = (0.2, 2.5)
CROWD_CONNECT_S = 0.5
UNFINISHED = (
    b'',
    b'GET /s1/x HTTP/1.1\r\nHost: any.example\r\nX-Long: ' + b'y' * 12000,
    b'POST /s2/x HTTP/1.1\r\nHost: any.example\r\nContent-Length: 900000\r\n\r\n' + b'b' * 600000,
    b'GET /none HTTP/1.1\r\nHost: any.example\r\nZinctrail-Attempt-Id: crowd\r\n\r\n' * 400,
)

Disturbance = collections.abc.Callable[['Disturbances'], collections.abc.Coroutine]


class Disturbances:
    """Draws disturbances, and starts each without waiting for the earlier ones."""

    def __init__(self, soak) -> None:
        self.soak = soak
        self.rng = random.Random(f'{soak.seed}/disturbances')
        self.running_tasks: set[asyncio.Task] = set()
        self.version = 100

    async def run(self, seconds: float) -> None:
        """Start disturbances for `seconds`, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        names, weights = list(WEIGHTS), list(WEIGHTS.values())
        end = loop.time() + seconds
        while loop.time() < end:
            name = self.rng.choices(names, weights)[0]
            task = loop.create_task(ALL[name](self))
            self.running_tasks.add(task)
            task.add_done_callback(self.running_tasks.discard)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        # A disturbance runs the ones it starts itself within its own task, so that this gather covers all.
        await asyncio.gather(*self.running_tasks)

    def any_process(self) -> keepers.Keeper:
        """Return a random process."""
        return self.rng.choice(self.soak.keepers)

    def any_edge(self) -> keepers.Keeper:
        """Return a random proxy."""
        return self.rng.choice(self.soak.edges)

    def keeps_majority(self, process: keepers.Keeper) -> bool:
        """Return True if a majority of control nodes keeps running when this process stops now."""
        if process not in self.soak.cores:
            return True
        running = [core for core in self.soak.cores if core is not process and core.ended_by is None]
        return len(running) > len(self.soak.cores) // 2

    def next_version(self) -> int:
        """Return an item version above all earlier ones."""
        self.version += self.rng.choice((1, 2, 5))
        return self.version

    async def pause(self, bounds: tuple[float, float]) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.rng.uniform(*bounds))


async def terminate(disturbances: Disturbances) -> None:
    """Send SIGTERM to a process, sometimes twice."""
    process = disturbances.any_process()
    if not disturbances.keeps_majority(process):
        return
    disturbances.soak.records.event(f'SIGTERM {process.process.name}')
    process.signal(signal.SIGTERM)
    if disturbances.rng.random() < 0.3:
        await disturbances.pause(SIGNAL_GAP_S)
        process.signal(signal.SIGTERM)


async def terminate_amid_others(disturbances: Disturbances) -> None:
    """Send SIGTERM to a proxy, with other signals right before and after it."""
    process = disturbances.any_edge()
    numbers = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]
    disturbances.soak.records.event(f'SIGHUP and SIGTERM by turns {process.process.name}')
    for number in numbers:
        process.signal(number)
        await disturbances.pause(SIGNAL_GAP_S)


async def terminate_then_kill(disturbances: Disturbances) -> None:
    """Send SIGTERM to a proxy, and SIGKILL while it drains."""
    process = disturbances.any_edge()
    disturbances.soak.records.event(f'SIGTERM, SIGKILL {process.process.name}')
    process.signal(signal.SIGTERM)
    await disturbances.pause((0.0, 2.5))
    process.signal(signal.SIGKILL)


async def kill(disturbances: Disturbances) -> None:
    """Send SIGKILL to a process."""
    process = disturbances.any_process()
    if disturbances.keeps_majority(process):
        disturbances.soak.records.event(f'SIGKILL {process.process.name}')
        process.signal(signal.SIGKILL)


async def kill_all(disturbances: Disturbances) -> None:
    """Send SIGKILL to all processes at once."""
    disturbances.soak.records.event('SIGKILL to all')
    for process in disturbances.soak.keepers:
        process.signal(signal.SIGKILL)


async def hang_up(disturbances: Disturbances) -> None:
    """Send SIGHUP to a process, with changed or unchanged settings."""
    process = disturbances.any_process()
    settings = process.process.settings
    if disturbances.rng.random() < 0.7:
        settings['seed_nodes'] = disturbances.rng.sample(settings['seed_nodes'], len(settings['seed_nodes']))
        settings['bounds']['ttl_max_s'] = disturbances.rng.choice((3, 4, 5))
        process.process.write_settings()
    disturbances.soak.records.event(f'SIGHUP {process.process.name}')
    process.signal(signal.SIGHUP)


async def freeze(disturbances: Disturbances) -> None:
    """Freeze a process for a while."""
    process = disturbances.any_process()
    if not disturbances.keeps_majority(process):
        return
    disturbances.soak.records.event(f'SIGSTOP {process.process.name}')
    process.signal(signal.SIGSTOP)
    await disturbances.pause(FREEZE_S)
    process.signal(signal.SIGCONT)


async def roll_edges(disturbances: Disturbances) -> None:
    """Send SIGTERM to all proxies, one after another and faster than they restart."""
    disturbances.soak.records.event('SIGTERM to each proxy in turn')
    for process in disturbances.rng.sample(disturbances.soak.edges, len(disturbances.soak.edges)):
        process.signal(signal.SIGTERM)
        await disturbances.pause(SERIES_GAP_S)


async def roll_cores(disturbances: Disturbances) -> None:
    """Send SIGTERM to all control nodes, one after another, while a majority keeps running."""
    disturbances.soak.records.event('SIGTERM to each control node in turn')
    for process in disturbances.rng.sample(disturbances.soak.cores, len(disturbances.soak.cores)):
        while not disturbances.keeps_majority(process):
            await asyncio.sleep(keepers.POLL_S)
            if disturbances.soak.is_over:
                return
        process.signal(signal.SIGTERM)
        await disturbances.pause(SERIES_GAP_S)


async def change_configuration(disturbances: Disturbances) -> None:
    """Make a series of changes: new priorities and targets of routes, and routes that are added and removed."""
    soak, rng = disturbances.soak, disturbances.rng
    for _ in range(rng.randint(1, 4)):
        route = rng.choice(soak.all_routes)
        row = dict(
            route.row,
            version_number=disturbances.next_version(),
            priority=rng.randint(0, 3),
            target_ms=rng.randint(400, 900),
        )
        await soak.change({'route_list': [row]}, {'route_list': []})
        extra = platform_documents.route(f'x{rng.randint(0, 5)}', disturbances.next_version())
        if rng.random() < 0.5:
            await soak.change({'route_list': [extra]}, {'route_list': []})
        else:
            dropped = {'name': extra['name'], 'version_number': extra['version_number']}
            await soak.change({'route_list': []}, {'route_list': [dropped]})


async def evacuate(disturbances: Disturbances) -> None:
    """Evacuate a zone for a while, so that its endpoints get no requests."""
    zone = disturbances.rng.choice(disturbances.soak.zones)
    disturbances.soak.records.event(f'evacuation of {zone}')
    await disturbances.soak.call_control('POST', f'/v1/evacuation/{zone}')
    await disturbances.pause(EVACUATION_S)
    await disturbances.soak.call_control('DELETE', f'/v1/evacuation/{zone}')


async def replace_endpoint(disturbances: Disturbances) -> None:
    """Start a replacement for an endpoint, then drain and stop the old one."""
    soak = disturbances.soak
    old = disturbances.rng.choice([each for each in soak.endpoints if not each.has_ended and each.state == 'available'])
    disturbances.soak.records.event(f'drain {old.identifier}')
    await soak.add_endpoint(old.service_name, old.zone)
    await old.drain()


async def crash_endpoint(disturbances: Disturbances) -> None:
    """Crash an endpoint, then start a replacement."""
    soak = disturbances.soak
    old = disturbances.rng.choice([each for each in soak.endpoints if not each.has_ended])
    disturbances.soak.records.event(f'crash {old.identifier}')
    await old.end()
    await soak.add_endpoint(old.service_name, old.zone)


async def misbehave(disturbances: Disturbances) -> None:
    """Send a crowd to a proxy that opens more connections than it may have, finishes no request, and reads nothing."""
    process = disturbances.any_edge()
    disturbances.soak.records.event(f'crowd {process.process.name}')
    host, _, port = process.process.ingress.rpartition(':')
    writers = []
    for _ in range(CROWD_CONNECTIONS):
        # The process may be down, and may refuse or end any of these connections.
        with contextlib.suppress(OSError, TimeoutError):
            _, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CROWD_CONNECT_S)
            writers.append(writer)
            writer.write(disturbances.rng.choice(UNFINISHED))
    await disturbances.pause(CROWD_S)
    for writer in writers:
        writer.transport.abort()


ALL: dict[str, Disturbance] = {
    function.__name__: function
    for function in (
        terminate,
        terminate_amid_others,
        terminate_then_kill,
        kill,
        kill_all,
        hang_up,
        freeze,
        roll_edges,
        roll_cores,
        change_configuration,
        evacuate,
        replace_endpoint,
        crash_endpoint,
        misbehave,
    )
}
# The relative frequency of each disturbance.
WEIGHTS = {
    'terminate': 6,
    'terminate_amid_others': 3,
    'terminate_then_kill': 2,
    'kill': 3,
    'kill_all': 0.3,
    'hang_up': 6,
    'freeze': 2,
    'roll_edges': 2,
    'roll_cores': 1,
    'change_configuration': 6,
    'evacuate': 1,
    'replace_endpoint': 3,
    'crash_endpoint': 1,
    'misbehave': 3,
}


def describe(events: list[tuple[float, str]], began: float) -> str:
    """Return the disturbances of a soak as JSON, with their times since its start."""
    return json.dumps([[round(at - began, 2), text] for at, text in events])
