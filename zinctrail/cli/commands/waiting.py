"""The `wait` command: waits until a version is in force, an endpoint is drained, or members are up to date."""

import functools
import time
import typing

import zinctrail.cli.commands.session as session
import zinctrail.runtime.parsing as parsing
import zinctrail.transport.clock as clock

POLL_PAUSE_S = 0.1
MIN_CALL_TIMEOUT_S, MAX_CALL_TIMEOUT_S = 0.5, 5.0


def wait(client: session.Session, args: list[str]) -> None:
    """`wait GENERATION | drained ADDR | members N`, for at most --within seconds."""
    session.require_args(args, 1)
    is_done = condition(args)
    within_s = client.options.within_s
    deadline = clock.seconds() + within_s
    while True:
        timeout_s = max(MIN_CALL_TIMEOUT_S, min(MAX_CALL_TIMEOUT_S, deadline - clock.seconds()))
        try:
            response = client.call('GET', '/v1/status', timeout_s=timeout_s)
            if response.status == 200 and is_done(response.document['state']):
                return
        except session.CommandError as error:
            # No response is retried until the deadline: an operator may wait for control nodes that are being restarted.
            if error.exit_code != session.ExitCode.NO_RESPONSE or clock.seconds() > deadline:
                raise
        if clock.seconds() > deadline:
            raise session.CommandError(
                session.ExitCode.WAIT_TIMED_OUT, f'wait {" ".join(args)}: timed out after {within_s:g} s'
            )
        time.sleep(POLL_PAUSE_S)


def condition(args: list[str]) -> typing.Callable[[dict], bool]:
    """Return the condition that `wait` waits for, as a predicate on the leader's state."""
    if parsing.is_whole(args[0]):
        return functools.partial(is_version_in_force, version=int(args[0]))
    if args[0] == 'drained' and len(args) == 2 and parsing.is_address(args[1]):
        return functools.partial(is_drained, address=args[1])
    if args[0] == 'members' and len(args) == 2 and parsing.is_whole(args[1]):
        return functools.partial(have_leases, count=int(args[1]))
    raise session.CommandError(session.ExitCode.USAGE, 'wait: must be GENERATION, drained IP:PORT or members N')


def is_version_in_force(state: dict, version: int) -> bool:
    """True if a version of the replicated state is in force on every member that uses routes."""
    return state['generation'][1] >= version and _have_routes(state, min(version, state['routes']))


def is_drained(state: dict, address: str) -> bool:
    """True if no member sends requests to an endpoint's address any more."""
    is_ready = any(
        endpoint['addr'] == address and endpoint['state'] == 'ready' for endpoint in state['endpoints'].values()
    )
    # The newest version of the routes must be in force, since the draining began with it or an earlier one.
    return _have_routes(state, state['routes']) and not is_ready


def have_leases(state: dict, count: int) -> bool:
    """True if at least `count` members have a lease."""
    return sum(member['leased'] for member in state['members'].values()) >= count


def _have_routes(state: dict, version: int) -> bool:
    """True if, as far as the leader knows, every member that uses routes has them at this version or later."""
    return all(member['generation'][1] >= version for member in state['members'].values() if member['role'] != 'core')
