"""Commands that read, check and replace the operator's configuration, or change labels and zones in it."""

import sys
import typing

import zinctrail.cli.commands.output as output
import zinctrail.cli.commands.session as session


def get(client: session.Session, args: list[str]) -> None:
    """`get`: print the configuration in force, and its generation to standard error."""
    document = client.get('/v1/config')
    print(f'generation {document["generation"]}', file=sys.stderr)
    output.print_json(document['config'])


def check(client: session.Session, args: list[str]) -> None:
    """`check FILE`: print every error of a configuration."""
    session.require_args(args, 1)
    client.post('/v1/config/check', {'config': output.read_json_file(args[0])})
    print('valid')


def apply(client: session.Session, args: list[str]) -> None:
    """`apply FILE [--base=N]`: put a configuration into force."""
    session.require_args(args, 1)
    configuration = output.read_json_file(args[0])
    base = client.options.base if client.options.base is not None else client.get('/v1/config')['generation']
    _put(client, configuration, base)


def label(client: session.Session, args: list[str]) -> None:
    """`label ADDR K=V ... [K- ...]`: set or remove labels of an endpoint."""
    session.require_args(args, 2)
    _change(client, lambda configuration: _set_labels(configuration['labels'].setdefault(args[0], {}), args[1:]))


def cell(client: session.Session, args: list[str]) -> None:
    """`cell CELL [region=R] [K=V] [K-]`: set a zone's region and labels."""
    session.require_args(args, 2)

    def set_zone(configuration: dict):
        row = configuration['cells'].setdefault(args[0], {})
        regions = [arg for arg in args[1:] if arg.startswith('region=')]
        for arg in regions:
            row['region'] = arg.partition('=')[2]
        _set_labels(row.setdefault('labels', {}), [arg for arg in args[1:] if arg not in regions])

    _change(client, set_zone)


def evacuate(client: session.Session, args: list[str]) -> None:
    """`evacuate CELL`: move traffic away from a zone."""
    _set_evacuated(client, args, True)


def end_evacuation(client: session.Session, args: list[str]) -> None:
    """`return CELL`: return traffic to a zone."""
    _set_evacuated(client, args, False)


def _set_evacuated(client: session.Session, args: list[str], is_evacuated: bool) -> None:
    session.require_args(args, 1)
    _change(client, lambda configuration: configuration['cells'].setdefault(args[0], {}).update(evacuated=is_evacuated))


def _set_labels(labels: dict[str, str], label_args: list[str]) -> None:
    """Set (K=V) and remove (K-) labels."""
    for arg in label_args:
        key, equals, value = arg.partition('=')
        if equals and key:
            labels[key] = value
        elif arg.endswith('-') and not equals:
            labels.pop(arg[:-1], None)
        else:
            raise session.CommandError(session.ExitCode.USAGE, f'{arg}: must be K=V or K-')


def _change(client: session.Session, change: typing.Callable[[dict], None]) -> None:
    """Read the configuration, change it, and apply it based on the generation that was read."""
    document = client.get('/v1/config')
    change(document['config'])
    _put(client, document['config'], document['generation'])


def _put(client: session.Session, configuration: dict, base: int) -> None:
    # The id makes the call idempotent: a retry after a lost response neither makes the change twice nor gets a conflict.
    body = {'config': configuration, 'base': base, 'wait': client.options.wait, 'id': client.new_call_id()}
    document = client.call_until_conclusive('PUT', '/v1/config', body)
    print(f'generation {document["generation"]}' + (' in force' if document.get('in_force') else ' accepted'))
