"""Common code of replays in the simulator and against processes."""

import collections
import typing

import twisted.internet.defer as defer
import twisted.python.failure as failure

import zinctrail.client.coordination as coordination
import zinctrail.errors as errors

# The calls that must not take effect twice when they are retried.
CALLS_WITH_EFFECT = ('number.next', 'key.put')


class Report(typing.NamedTuple):
    """The figures that a replay measured, and the violations of guarantees that it found."""

    figures: dict
    violations: list[str]


def configuration_change(verb: str, args: list[str]) -> typing.Callable[[dict], None]:
    """Return a function that applies an operator's command to a configuration document."""

    def change(document: dict) -> None:
        if verb in ('evacuate', 'return'):
            document['cells'].setdefault(args[0], {})['evacuated'] = verb == 'evacuate'
        elif verb == 'label':
            name, _, value = args[1].partition('=')
            document['labels'].setdefault(args[0], {})[name] = value
        else:
            document['pools'][args[0]]['selector'] = {'cell': args[1]}

    return change


def make_call(
    client: coordination.CoordinationClient, event: dict, counts: collections.Counter | dict
) -> defer.Deferred:
    """Make the coordination call of an event, and count its outcome."""
    operation, args = event['op'], event.get('args', {})
    path = '/v1/' + operation.replace('.', '/')
    call = client.call_once(path, args) if operation in CALLS_WITH_EFFECT else client.call('POST', path, args)

    def count(result: typing.Any) -> None:
        if not isinstance(result, failure.Failure):
            ending = 'done'
        elif result.check(errors.CoordinationError):
            ending = f'refused {typing.cast(errors.CoordinationError, result.value).status}'
        else:
            ending = 'broke'
        counts[ending] = counts.get(ending, 0) + 1

    return call.addBoth(count)
