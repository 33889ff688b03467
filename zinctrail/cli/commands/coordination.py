"""Commands for coordination: locks, counters, keys and watches."""

import json
import time
import typing
import uuid

import zinctrail.cli.commands.output as output
import zinctrail.cli.commands.session as session
import zinctrail.runtime.parsing as parsing

# How long one call of `watch` waits for events at the server.
WATCH_WAIT_MS = 10000
WATCH_PAUSE_S = 0.05


def lock(client: session.Session, args: list[str]) -> None:
    """`lock take|free|get NAME [HOLDER]`: acquire, release or print a lock."""
    session.require_args(args, 2)
    verb, name = args[:2]
    if verb == 'get':
        output.print_json(client.post('/v1/lock/get', {'name': name}))
        return
    session.require_args(args, 3)
    if verb not in ('take', 'free'):
        raise session.CommandError(session.ExitCode.USAGE, f'lock {verb}: must be take, free or get')
    owner = args[2]
    body: dict[str, typing.Any] = {'name': name, 'holder': owner}
    if verb == 'take':
        body.update(lease_ms=client.options.lock_ms, id=uuid.uuid4().hex)
    else:
        held = client.post('/v1/lock/get', {'name': name})
        if held['holder'] != owner:
            raise session.CommandError(session.ExitCode.CONFLICT, f'lock {name} is held by {held["holder"]}')
        body['take'] = held['take']
    output.print_json(client.post(f'/v1/lock/{verb}', body))


def number(client: session.Session, args: list[str]) -> None:
    """`number NAME`: print the next number of a counter."""
    session.require_args(args, 1)
    print(client.post('/v1/number/next', {'name': args[0], 'id': client.new_call_id()})['number'])


def key(client: session.Session, args: list[str]) -> None:
    """`key get|put|drop KEY [VALUE]`: read, write or delete a key; --rev=N to compare and set."""
    session.require_args(args, 2)
    verb, name = args[:2]
    if verb == 'get':
        output.print_json(client.post('/v1/key/get', {'key': name}))
        return
    body: dict[str, typing.Any] = {'key': name, 'id': client.new_call_id()}
    if client.options.revision is not None:
        body['rev'] = client.options.revision
    if verb == 'put':
        session.require_args(args, 3)
        body['value'] = args[2]
    elif verb != 'drop':
        raise session.CommandError(session.ExitCode.USAGE, f'key {verb}: must be get, put or drop')
    output.print_json(client.post(f'/v1/key/{verb}', body))


def watch(client: session.Session, args: list[str]) -> None:
    """`watch PREFIX [SINCE]`: print events, one JSON line each, until interrupted; --once for one call."""
    session.require_args(args, 1)
    prefix = args[0]
    if len(args) > 1 and parsing.is_whole(args[1]):
        since = int(args[1])
    else:
        since = client.call('POST', '/v1/key/get', {'key': prefix}).document.get('head', 0)
    while True:
        document = client.post('/v1/key/watch', {'prefix': prefix, 'since': since, 'wait_ms': WATCH_WAIT_MS})
        for event in document['events']:
            print(json.dumps(event), flush=True)
        since = document['head']
        if client.options.once:
            return
        time.sleep(WATCH_PAUSE_S)
