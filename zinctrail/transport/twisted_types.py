"""Type aliases for Twisted objects that Twisted leaves untyped."""

import typing

import twisted.internet.defer as defer

Result = typing.TypeVar('Result')

# A reactor, or a simulated clock in its place. Twisted's interfaces can not be combined into one type.
Reactor: typing.TypeAlias = typing.Any

# The return type of a generator function that `defer.inlineCallbacks` decorates.
DeferredGenerator: typing.TypeAlias = typing.Generator[defer.Deferred[typing.Any], typing.Any, Result]
