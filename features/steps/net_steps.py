"""Steps of net.feature: properties that hold for drawn inputs."""

import collections.abc
import os
import typing

import behave
import hypothesis
import hypothesis.strategies as st

import features.support.net.bodies as bodies
import features.support.net.documents as documents
import features.support.net.files as files
import features.support.net.frames as frames
import features.support.net.sockets as sockets

# By hand: how many examples each property gets, drawn anew in each run.
EXAMPLES_VARIABLE = 'NET_EXAMPLES'


class Property(typing.NamedTuple):
    """What holds for each input of a strategy; `prepare` makes the object that all examples share."""

    strategy: collections.abc.Callable[[], st.SearchStrategy]
    holds: collections.abc.Callable
    prepare: collections.abc.Callable[[], typing.Any] | None = None


PROPERTIES = {
    'client bytes to open traffic': Property(lambda: sockets.SENT, sockets.check_open_traffic, sockets.ProxyOnSockets),
    'client bytes to the API': Property(lambda: sockets.SENT, sockets.check_api, sockets.ProxyOnSockets),
    'endpoint bytes': Property(
        lambda: st.lists(sockets.ANSWERS, min_size=1, max_size=3), sockets.check_endpoint, sockets.ProxyOnSockets
    ),
    'bodies of two attempts': Property(lambda: bodies.COURSES, bodies.check_course),
    "operators' JSON": Property(
        lambda: st.tuples(*[documents.strategies.JSON_TEXTS] * 2), documents.check_operator, documents.Leader
    ),
    "callers' JSON": Property(lambda: documents.CALLS, documents.check_caller, documents.Leader),
    "the platform's JSON": Property(lambda: documents.PLATFORM_CALLS, documents.check_platform, documents.Leader),
    'bytes to the port of frames': Property(lambda: frames.PORT_BYTES, frames.check_port, frames.FramePort),
    'frames': Property(frames.frames, frames.check_frame),
    'spoilt files': Property(lambda: files.DAMAGES, files.check_damage, files.Folder),
}


@behave.then('the property "{name}" holds for {count:d} examples')
def property_holds(context, name: str, count: int):
    examples = os.environ.get(EXAMPLES_VARIABLE)
    drawn: list[bool] = []
    checked = PROPERTIES[name]
    shared = (checked.prepare(),) if checked.prepare else ()

    @hypothesis.settings(
        derandomize=not examples,
        max_examples=int(examples or count),
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
        print_blob=False,
    )
    @hypothesis.given(checked.strategy())
    def run(value):
        drawn.append(False)
        checked.holds(*shared, value)
        drawn[-1] = True

    try:
        run()
    finally:
        # After the first failure the same one is looked for in smaller examples.
        first = f', example {drawn.index(False) + 1} was the first to fail' if False in drawn else ''
        print(f'{name}: {len(drawn)} examples{first}')
    assert len(drawn) >= min(count, 10), len(drawn)
