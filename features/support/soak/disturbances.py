"""The disturbances of a soak: seeded series of signals, changes and endpoints that come and go, which overlap."""

import asyncio
import collections.abc
import json
import random
import signal

import features.support.platform_documents as platform_documents
import features.support.soak.keepers as keepers

# How long after one disturbance the next begins; many of them last for longer.
PAUSE_S = (0.1, 0.9)
FREEZE_S = (0.1, 1.2)
EVACUATION_S = (1.0, 3.0)
SERIES_GAP_S = (0.2, 1.2)
SIGNAL_GAP_S = (0.0, 0.5)

Disturbance = collections.abc.Callable[['Disturbances'], collections.abc.Coroutine]


class Disturbances:
    """Draws disturbances, and begins each whether those before have ended or not."""

    def __init__(self, soak) -> None:
        self.soak = soak
        self.rng = random.Random(f'{soak.seed}/disturbances')
        self.under_way: set[asyncio.Task] = set()
        self.version = 100

    async def run(self, seconds: float) -> None:
        """Begin disturbances for so long, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        names, weights = list(WEIGHTS), list(WEIGHTS.values())
        end = loop.time() + seconds
        while loop.time() < end:
            name = self.rng.choices(names, weights)[0]
            task = loop.create_task(ALL[name](self))
            self.under_way.add(task)
            task.add_done_callback(self.under_way.discard)
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        # Those that begin while these end are theirs, so that a gather of now has all.
        await asyncio.gather(*self.under_way)

    def any_process(self) -> keepers.Keeper:
        """Any process."""
        return self.rng.choice(self.soak.keepers)

    def any_edge(self) -> keepers.Keeper:
        """Any proxy."""
        return self.rng.choice(self.soak.edges)

    def spare_majority(self, process: keepers.Keeper) -> bool:
        """Whether a majority of control nodes goes on if this process stops now."""
        if process not in self.soak.cores:
            return True
        running = [core for core in self.soak.cores if core is not process and core.ended_by is None]
        return len(running) > len(self.soak.cores) // 2

    def next_version(self) -> int:
        """A version of an item above all before."""
        self.version += self.rng.choice((1, 2, 5))
        return self.version

    async def pause(self, bounds: tuple[float, float]) -> None:
        """Wait for a random time."""
        await asyncio.sleep(self.rng.uniform(*bounds))


async def terminate(disturbances: Disturbances) -> None:
    """SIGTERM, at times twice."""
    process = disturbances.any_process()
    if not disturbances.spare_majority(process):
        return
    disturbances.soak.notes.event(f'SIGTERM {process.process.name}')
    process.signal(signal.SIGTERM)
    if disturbances.rng.random() < 0.3:
        await disturbances.pause(SIGNAL_GAP_S)
        process.signal(signal.SIGTERM)


async def terminate_amid_others(disturbances: Disturbances) -> None:
    """A SIGTERM with other signals right before and after it."""
    process = disturbances.any_edge()
    numbers = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]
    disturbances.soak.notes.event(f'SIGHUP and SIGTERM by turns {process.process.name}')
    for number in numbers:
        process.signal(number)
        await disturbances.pause(SIGNAL_GAP_S)


async def terminate_then_kill(disturbances: Disturbances) -> None:
    """A SIGTERM, and a SIGKILL while it drains."""
    process = disturbances.any_edge()
    disturbances.soak.notes.event(f'SIGTERM, SIGKILL {process.process.name}')
    process.signal(signal.SIGTERM)
    await disturbances.pause((0.0, 2.5))
    process.signal(signal.SIGKILL)


async def kill(disturbances: Disturbances) -> None:
    """SIGKILL."""
    process = disturbances.any_process()
    if disturbances.spare_majority(process):
        disturbances.soak.notes.event(f'SIGKILL {process.process.name}')
        process.signal(signal.SIGKILL)


async def kill_all(disturbances: Disturbances) -> None:
    """All processes are killed at one moment."""
    disturbances.soak.notes.event('SIGKILL to all')
    for process in disturbances.soak.keepers:
        process.signal(signal.SIGKILL)


async def hang_up(disturbances: Disturbances) -> None:
    """SIGHUP, with other settings or the same."""
    process = disturbances.any_process()
    settings = process.process.settings
    if disturbances.rng.random() < 0.7:
        settings['seed_nodes'] = disturbances.rng.sample(settings['seed_nodes'], len(settings['seed_nodes']))
        settings['bounds']['ttl_max_s'] = disturbances.rng.choice((3, 4, 5))
        process.process.write_settings()
    disturbances.soak.notes.event(f'SIGHUP {process.process.name}')
    process.signal(signal.SIGHUP)


async def freeze(disturbances: Disturbances) -> None:
    """A process stands still for a while."""
    process = disturbances.any_process()
    if not disturbances.spare_majority(process):
        return
    disturbances.soak.notes.event(f'SIGSTOP {process.process.name}')
    process.signal(signal.SIGSTOP)
    await disturbances.pause(FREEZE_S)
    process.signal(signal.SIGCONT)


async def roll_edges(disturbances: Disturbances) -> None:
    """All proxies are told to end, one after another and faster than they come back."""
    disturbances.soak.notes.event('SIGTERM to each proxy in turn')
    for process in disturbances.rng.sample(disturbances.soak.edges, len(disturbances.soak.edges)):
        process.signal(signal.SIGTERM)
        await disturbances.pause(SERIES_GAP_S)


async def roll_cores(disturbances: Disturbances) -> None:
    """The control nodes are told to end, one after another."""
    disturbances.soak.notes.event('SIGTERM to each control node in turn')
    for process in disturbances.rng.sample(disturbances.soak.cores, len(disturbances.soak.cores)):
        while not disturbances.spare_majority(process):
            await asyncio.sleep(keepers.POLL_S)
            if disturbances.soak.is_over:
                return
        process.signal(signal.SIGTERM)
        await disturbances.pause(SERIES_GAP_S)


async def change_configuration(disturbances: Disturbances) -> None:
    """A series of changes: other times, other services, routes that come and go."""
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
    """A zone's endpoints get nothing for a while."""
    zone = disturbances.rng.choice(disturbances.soak.zones)
    disturbances.soak.notes.event(f'evacuation of {zone}')
    await disturbances.soak.call_control('POST', f'/v1/evacuation/{zone}')
    await disturbances.pause(EVACUATION_S)
    await disturbances.soak.call_control('DELETE', f'/v1/evacuation/{zone}')


async def replace_endpoint(disturbances: Disturbances) -> None:
    """An endpoint drains and ends, and another comes for it."""
    soak = disturbances.soak
    old = disturbances.rng.choice([each for each in soak.endpoints if not each.has_ended and each.state == 'available'])
    disturbances.soak.notes.event(f'drain {old.identifier}')
    await soak.add_endpoint(old.service_name, old.zone)
    await old.drain()


async def crash_endpoint(disturbances: Disturbances) -> None:
    """An endpoint ends without a word, and another comes for it."""
    soak = disturbances.soak
    old = disturbances.rng.choice([each for each in soak.endpoints if not each.has_ended])
    disturbances.soak.notes.event(f'crash {old.identifier}')
    await old.end()
    await soak.add_endpoint(old.service_name, old.zone)


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
    )
}
# How often each is drawn.
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
}


def describe(events: list[tuple[float, str]], began: float) -> str:
    """The disturbances of a soak as JSON, with their times from its beginning."""
    return json.dumps([[round(at - began, 2), text] for at, text in events])
