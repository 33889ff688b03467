"""Measures the memory of a process that holds a state, one role at a time, each in a fresh process."""

import concurrent.futures
import dataclasses
import gc
import json
import multiprocessing
import random
import resource
import subprocess
import sys
import tempfile

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.storage as storage
import zinctrail.control.controller as controller
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.state as state

MIB = 1 << 20
ROLES = ('master', 'prox')
# The numbers of the measured processes among the members of the state.
LEADER_NUMBER, PROXY_NUMBER = 0, 9
LEADER_NODE = '0' * 16


def measure_memory(size: sizes.Size, seed: int) -> dict:
    """Measure the resident memory, in MB, of one new process per role that holds the state of a size."""
    point = {'size': dataclasses.asdict(size), 'seed': seed}
    for role in ROLES:
        with concurrent.futures.ProcessPoolExecutor(1, multiprocessing.get_context('spawn')) as pool:
            point[role] = pool.submit(measure_role, role, size).result()
    return point


def measure_role(role: str, size: sizes.Size) -> dict[str, float]:
    """Return the resident memory of this process, in MB: before it holds the state, with it, and the peak."""
    import zinctrail.transport.host  # noqa: F401  Imported because modules of a real process count as its memory.

    base_mb = resident_mb()
    tables = tables_from_other_process(size)
    machine: proxy_node.Proxy | controller.Controller
    if role == 'prox':
        machine = proxy_with(tables)
    else:
        snapshot = leader_snapshot(tables)
        # Released, because a real process only ever had the snapshot as text.
        del tables
        machine = leader_with(snapshot)
        del snapshot
    gc.collect()
    found = {
        'base_mb': base_mb,
        'mb': resident_mb(),
        'most_mb': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }
    # Kept until here, because its memory is what is measured.
    del machine
    return found


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    with open('/proc/self/statm') as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / MIB


def tables_from_other_process(size: sizes.Size) -> state.Tables:
    """Return the state, built by another process so that building it does not add to the memory of this one."""
    with tempfile.NamedTemporaryFile() as file:
        size_json = json.dumps(dataclasses.asdict(size))
        command = [sys.executable, '-m', 'zinctrail.simulation.scale', 'state', size_json, file.name]
        subprocess.run(command, check=True)
        with open(file.name) as text:
            return json.loads(text.read())


def location(number: int) -> node_location.NodeLocation:
    """Return the location of the measured process."""
    return node_location.NodeLocation(state.process_address(number), '10.0.0.0:7001', 'r0/z0', [], directory=True)


def proxy_with(tables: state.Tables) -> proxy_node.Proxy:
    """Return a proxy that received the state from a leader and has it in force."""
    machine = proxy_node.Proxy(location(PROXY_NUMBER), settings.Settings(), random.Random(1))
    machine.cluster = state.CLUSTER
    machine.feed('start', durations.ZERO)
    envelope = {
        'v': machine.level,
        'c': state.CLUSTER,
        'f': LEADER_NODE,
        'a': state.process_address(LEADER_NUMBER),
        'term': state.VERSION[0],
        'at': list(state.VERSION),
        'http': '',
    }
    machine.feed('recv', durations.ms(1), {**envelope, 't': 'pub', 'full': tables})
    machine.feed('recv', durations.ms(2), {**envelope, 't': 'com'})
    assert machine.replica.committed == state.VERSION, machine.replica.committed
    machine.routes.rule_for_path('x', '/')
    return machine


def leader_snapshot(tables: state.Tables) -> str:
    """Return a snapshot of the state with a single voter, which can elect itself leader."""
    tables['meta']['vc'] = {'committed': [LEADER_NODE], 'accepted': [LEADER_NODE]}
    return storage.encode({'term': state.VERSION[0], 'gen': state.VERSION[1], 'tables': tables})


def leader_with(snapshot: str) -> controller.Controller:
    """Return a control node that loaded the snapshot from its disk and leads."""
    files = {
        'node': storage.encode({'id': LEADER_NODE, 'format': storage.FORMAT}),
        'term': storage.encode({'term': 1, 'vote': None}),
        storage.snapshot_name(state.VERSION): snapshot,
    }
    machine = controller.Controller(location(LEADER_NUMBER), settings.Settings(), random.Random(1), files)
    now = durations.ZERO
    machine.feed('start', now)
    while machine.mode != 'leader' or machine.heartbeat_round < 2:
        due = machine.next_timer()
        assert due is not None, 'no timer is set'
        now = max(now, due)
        machine.feed('wake', now)
    return machine
