"""Resource growth over a long run: memory, files and rows of a small fleet under load, changes and restarts."""

import json
import os
import random
import resource
import signal
import time

import zinctrail.fleet.processes as processes
import zinctrail.simulation.benchmarks.loaded_fleet as loaded_fleet
import zinctrail.transport.blocking_client as blocking_client

# Only the third process of each role is restarted.
RESTARTED = ('core2', 'dir2', 'prox2')
EXIT_LIMIT_S = 60
CHANGES_EACH_MINUTE = 3
CHANGE_LIMIT_S = 10
# Labels are set at a limited number of addresses, so that the labels themselves do not grow without bound.
LABELLED_ADDRESSES = 200


def long(minutes: int = 60) -> dict:
    """Run for `minutes`, print the figures once a minute, and return the results of the requests."""
    with loaded_fleet.loaded() as fleet:
        rng = random.Random(3)
        began = time.monotonic()
        for minute in range(1, minutes + 1):
            restart_one(fleet, rng)
            minute_ends = began + 60 * minute
            for _ in range(CHANGES_EACH_MINUTE):
                change_label(fleet, rng, minute)
                time.sleep(max(0.0, minute_ends - time.monotonic()) / (CHANGES_EACH_MINUTE + 1))
            time.sleep(max(0.0, minute_ends - time.monotonic()))
            print(json.dumps({'minute': minute, **fleet.report(), **growth(fleet)}), flush=True)
        return fleet.report()


def restart_one(fleet: processes.Fleet, rng: random.Random) -> None:
    """Stop or kill a random process of RESTARTED, and start it again."""
    process = fleet.processes[rng.choice(RESTARTED)]
    process.signal(rng.choice((signal.SIGTERM, signal.SIGKILL)))
    process.child.wait(EXIT_LIMIT_S)
    process.start()


def change_label(fleet: processes.Fleet, rng: random.Random, minute: int) -> None:
    """Set the label of a random address, if the configuration can be read."""
    document = fleet.call('GET', '/v1/config')[1]
    if document:
        config = document['config']
        config['labels'][f'10.9.9.{rng.randrange(LABELLED_ADDRESSES)}:1'] = {'at': str(minute)}
        fleet.call('PUT', '/v1/config', {'config': config, 'base': document['generation']}, wait=CHANGE_LIMIT_S)


def growth(fleet: processes.Fleet) -> dict:
    """Return the figures of a fleet that could grow without bound."""
    found: dict = {'rss_mb': {}, 'files': {}, 'folder_kb': {}, 'prox': {}}
    for name, process in fleet.processes.items():
        memory_mb = rss_mb(process)
        if memory_mb is None:
            continue
        found['rss_mb'][name] = memory_mb
        if process.role == 'core':
            folder = os.path.join(fleet.folder, name)
            files = os.listdir(folder)
            found['files'][name] = len(files)
            found['folder_kb'][name] = sum(file_size(os.path.join(folder, file)) for file in files) >> 10
        if process.role == 'prox':
            state = blocking_client.try_call(process.http, 'GET', '/v1/self')[1].get('state', {})
            found['prox'][name] = {field: state.get(field) for field in ('table', 'kept')}
    status, document = fleet.call('GET', '/v1/status')
    found['rows'] = document['state']['rows'] if status == 200 else {}
    return found


def rss_mb(process: processes.FleetProcess) -> float | None:
    """Return the resident memory of a process in MB; None if it has ended."""
    try:
        with open(f'/proc/{process.child.pid}/statm') as file:
            pages = int(file.read().split()[1])
    except OSError:
        return None
    return round(pages * resource.getpagesize() / (1 << 20), 1)


def file_size(path: str) -> int:
    """Return the size of a file; 0 if it was renamed since it was listed."""
    try:
        return os.stat(path).st_size
    except FileNotFoundError:
        return 0
