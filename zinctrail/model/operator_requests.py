"""Requests that an operator sends to a node while a cluster is explored."""

import dataclasses
import json
import typing

import zinctrail.control.configuration_items as configuration_items


@dataclasses.dataclass(frozen=True)
class Request:
    """An operator's request: its operation, the arguments as JSON, and the nodes (indexes) that it may be sent to."""

    name: str
    operation: str
    arguments: str
    nodes: tuple[int, ...]

    @property
    def is_read(self) -> bool:
        """True if the request changes nothing."""
        return self.operation in ('get', 'items.get')

    def is_held_by(self, tables: dict[str, typing.Any]) -> bool:
        """True if the effect of this request, or of a newer one on the same items, is in the tables."""
        arguments = json.loads(self.arguments)
        if self.operation == 'put':
            return tables.get('keys', {}).get(arguments['key']) == arguments['value']
        if self.operation == 'items.apply':
            items = tables.get('items', {})
            return all(
                key in items and items[key]['v'] >= version
                for key, version, _ in configuration_items.to_changes(arguments['change'])
            )
        return False

    def is_written_in(self, tables: dict[str, typing.Any]) -> bool:
        """True if the tables hold exactly what this request wrote."""
        if self.operation != 'items.apply':
            return self.is_held_by(tables)
        items = tables.get('items', {})
        rows = configuration_items.to_changes(json.loads(self.arguments)['change'])
        return all(items.get(key) == {'v': version, 'row': row} for key, version, row in rows)

    def is_shown_by(self, result: dict[str, typing.Any]) -> bool:
        """True if the result of a read includes the effect of this request."""
        arguments = json.loads(self.arguments)
        return self.operation != 'put' or result['keys'].get(arguments['key']) == arguments['value']


def put(key: str, *nodes: int) -> Request:
    """Return a request that writes a key, with its name as its value."""
    return Request(f'put {key}', 'put', json.dumps({'key': key, 'value': key}), nodes)


def get(*nodes: int) -> Request:
    """Return a request that reads all keys."""
    return Request('get', 'get', '{}', nodes)


def apply_items(operator: str, version: int, timeout_ms: int, *nodes: int) -> Request:
    """Return a request that applies a version of a rule; operators differ in the timeout (milliseconds) they set."""
    rule = {
        'name': 'rule',
        'version': version,
        'host': 'h',
        'prefix': '/',
        'once': False,
        'timeout_ms': timeout_ms,
        'pool': 'pool',
    }
    change = {'set': {'pools': [{'name': 'pool', 'version': 1}], 'rules': [rule]}}
    return Request(f'apply of {operator}', 'items.apply', json.dumps({'change': change}), nodes)
