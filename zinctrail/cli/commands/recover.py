"""The `recover` command: makes a new cluster from replicas after a permanent loss of a majority of the voters."""

import sys

import zinctrail.cli.commands.session as session
import zinctrail.control.recovery as recovery
import zinctrail.runtime.parsing as parsing
import zinctrail.transport.blocking_client as blocking_client

COPY_TIMEOUT_S = 5
RECOVER_TIMEOUT_S = 30
# How many letters of the cluster's name an operator must enter to confirm.
CONFIRMED_LETTERS = 8


def recover(client: session.Session, args: list[str]) -> None:
    """`recover [IP:PORT]`: print the replicas that were found; with an empty control node's address, recover on it."""
    target = args[0] if args else None
    plan = recovery.RecoveryPlan(_fetch_replicas(client.addresses), target)
    for line in plan.summary():
        print(line)
    if target is None and len(plan.faults) == 1 and plan.target is None:
        print('nothing was changed; name an empty zinctrail-controller to recover on')
        return
    for text in plan.faults:
        print(text, file=sys.stderr)
    # A plan without a target has an error.
    if plan.faults or target is None:
        raise session.CommandError(session.ExitCode.FAILED, 'not recovered, nothing was changed')
    _require_confirmation(plan.clusters[0], client.options.confirm)
    status, document = blocking_client.try_call(target, 'POST', '/v1/recover', plan.request_body(), RECOVER_TIMEOUT_S)
    if status != 200:
        unknown = f'{target} does not respond; check with zinctrailctl recover before trying again'
        raise session.CommandError(session.ExitCode.FAILED, document.get('fault', unknown))
    print(f'cluster {document["cluster"]} begins at generation {document["generation"]}')


def _require_confirmation(cluster: str, confirmed: str | None) -> None:
    """Require the operator to name the cluster that is abandoned, by flag or at the terminal."""
    if confirmed is None and sys.stdin.isatty():
        confirmed = input('Enter the first 8 letters of the cluster to abandon it permanently: ').strip()
    if not confirmed or len(confirmed) < CONFIRMED_LETTERS or not cluster.startswith(confirmed):
        raise session.CommandError(
            session.ExitCode.USAGE,
            f'--confirm: must be the first 8 letters of the cluster or more, {cluster[:CONFIRMED_LETTERS]};'
            ' nothing was changed',
        )


def _fetch_replicas(addresses: list[str]) -> list[recovery.ReplicaExport]:
    """Return the replicas of all reachable processes: those at `addresses`, and all members that they know."""
    found: dict[str, recovery.ReplicaExport | None] = {}
    pending_addresses = list(addresses)
    while pending_addresses:
        address = pending_addresses.pop()
        if address in found or not parsing.is_address(address):
            continue
        status, document = blocking_client.try_call(address, 'GET', '/v1/copy', timeout_s=COPY_TIMEOUT_S)
        found[address] = document if status == 200 else None
        pending_addresses += document.get('members', {}).values()
    return [replica for replica in found.values() if replica]
