"""Commands for open traffic: its configuration items, and evacuations of zones."""

import typing

import zinctrail.cli.commands.output as output
import zinctrail.cli.commands.session as session
import zinctrail.runtime.parsing as parsing

LISTS = ('rules', 'pools')


def items(client: session.Session, args: list[str]) -> None:
    """`items get | versions | apply FILE | drop rules|pools NAME VERSION`: read or change configuration items."""
    session.require_args(args, 1)
    if args[0] not in ACTIONS:
        text = f'items {args[0]}: must be get, versions, apply or drop'
        raise session.CommandError(session.ExitCode.USAGE, text)
    ACTIONS[args[0]](client, args)


def _get(client: session.Session, args: list[str]) -> None:
    output.print_json(client.get('/v1/items')['items'])


def _versions(client: session.Session, args: list[str]) -> None:
    found = client.get('/v1/items')['items']
    rows = [(part, row.get('name', ''), str(row['version'])) for part in LISTS for row in found[part]]
    if 'limits' in found:
        rows.append(('limits', '', str(found['limits']['version'])))
    output.print_table([('item', 'name', 'version'), *rows])


def _apply(client: session.Session, args: list[str]) -> None:
    session.require_args(args, 2)
    _patch(client, output.read_json_file(args[1]))


def _drop(client: session.Session, args: list[str]) -> None:
    session.require_args(args, 4)
    _, part, name, version = args[:4]
    if part not in LISTS or not parsing.is_whole(version):
        text = 'items drop: must be rules or pools, a name, and a version'
        raise session.CommandError(session.ExitCode.USAGE, text)
    _patch(client, {'drop': {part: [{'name': name, 'version': int(version)}]}})


def _patch(client: session.Session, change: typing.Any) -> None:
    # Retried without an id: the versions of the items make the call idempotent.
    changed = client.call_until_done('PATCH', '/v1/items', change)['took']
    print(f'took {changed}' + ('' if changed else ': all of it is there, or overtaken'))


ACTIONS = {'get': _get, 'versions': _versions, 'apply': _apply, 'drop': _drop}


def empty(client: session.Session, args: list[str]) -> None:
    """`empty CELL`: stop sending requests to a zone's plain endpoints."""
    _set_evacuated(client, args, True)


def refill(client: session.Session, args: list[str]) -> None:
    """`refill CELL`: send requests to a zone's plain endpoints again."""
    _set_evacuated(client, args, False)


def _set_evacuated(client: session.Session, args: list[str], is_evacuated: bool) -> None:
    session.require_args(args, 1)
    client.call_until_done('POST', '/v1/cell/empty', {'cell': args[0], 'on': is_evacuated})
    print(f'{args[0]} {"emptied" if is_evacuated else "refilled"}')
