"""Checks that attributes of product classes which the model names as strings exist.

The model patches functions by name (guards) and excludes attributes from its
digests by name. A rename in the product would silently disable either, so
both tables are checked when their modules are imported.
"""

import ast
import collections.abc
import inspect
import textwrap
import typing

import zinctrail.errors as errors


class UnknownAttributeError(errors.ZinctrailError):
    """A table of the model names a product attribute that no longer exists or has other parameters."""

    def __init__(self, owner: object, attribute: str, reason: str):
        super().__init__(f'{getattr(owner, "__name__", owner)}.{attribute}: {reason}')
        self.owner = owner
        self.attribute = attribute


def require_assigned(owner: type, names: collections.abc.Iterable[str]) -> None:
    """Raise UnknownAttributeError unless `owner` or a base of it assigns each name to its instances."""
    known = set().union(*(assigned_in(base) for base in owner.__mro__ if base.__module__.startswith('zinctrail.')))
    for name in names:
        if name not in known:
            raise UnknownAttributeError(owner, name, 'no such attribute is assigned in the class or its bases')


def assigned_in(owner: type) -> set[str]:
    """Return the names of the attributes that the source of a class assigns to `self`."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(owner)))
    return {
        node.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.ctx, ast.Store)
        and isinstance(node.value, ast.Name)
        and node.value.id == 'self'
    }


def require_replaceable(owner: object, attribute: str, replacement: typing.Any) -> None:
    """Raise UnknownAttributeError unless `owner` has the attribute, with as many parameters as its replacement."""
    if not hasattr(owner, attribute):
        raise UnknownAttributeError(owner, attribute, 'there is no such attribute to replace')
    original = getattr(owner, attribute)
    if not callable(original):
        return
    expected = len(inspect.signature(original).parameters)
    given = len(inspect.signature(replacement).parameters)
    if expected != given:
        reason = f'takes {expected} parameters, and its replacement {replacement.__name__} takes {given}'
        raise UnknownAttributeError(owner, attribute, reason)
