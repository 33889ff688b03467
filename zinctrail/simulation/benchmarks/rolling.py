"""Rolling restart of every process with all seeds replaced, under load, as operate/restart.md describes."""

import functools
import signal
import time

import zinctrail.fleet.processes as processes
import zinctrail.simulation.benchmarks.loaded_fleet as loaded_fleet
import zinctrail.transport.blocking_client as blocking_client

# One process of each role; they replace the seeds that the fleet started with.
NEW_SEEDS = ('core2', 'prox1', 'dir2')
EXIT_LIMIT_S = 60
REQUEST_DRAIN_S = 2


def rolling() -> dict:
    """Restart all processes; returns their exit codes and the results of the requests meanwhile."""
    with loaded_fleet.loaded() as fleet:
        seeds = [fleet.processes[name].addr for name in NEW_SEEDS]
        for process in fleet.processes.values():
            process.seeds = seeds
        codes = [restart(fleet, process) for process in restart_order(fleet)]
        time.sleep(REQUEST_DRAIN_S)
        return {'restarted': len(codes), 'codes': sorted(set(codes)), **fleet.report()}


def restart_order(fleet: processes.Fleet) -> list[processes.FleetProcess]:
    """Return all processes in the order of restart: directories, proxies, control nodes; the leader last."""
    leader = fleet.leader()
    order = fleet.of('dir') + fleet.of('prox') + fleet.of('core')
    return sorted(order, key=lambda process: process is leader)


def restart(fleet: processes.Fleet, process: processes.FleetProcess) -> int:
    """Stop a process gracefully and start it again; returns its exit code once the new one is ready."""
    process.signal(signal.SIGTERM)
    code = process.child.wait(EXIT_LIMIT_S)
    process.start()
    fleet.until(functools.partial(is_ready, process), f'{process.name} to be ready')
    return code


def is_ready(process: processes.FleetProcess) -> bool:
    """True if a process reports that it is ready."""
    return blocking_client.try_call(process.http, 'GET', '/v1/ready')[0] == 200
