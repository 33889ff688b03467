"""Steps of days.feature: which requests the checker service-back counts."""

import types

import behave

import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.records as records
import zinctrail.simulation.checkers.requests as request_checkers

ms = durations.ms
SERVICE = 'loans'
LOST_AT = ms(20000)
# Within the time that the checker looks at, and after it.
SENT_AT, LAST_SENT_AT = LOST_AT + ms(12000), LOST_AT + ms(16000)


def response(sent_at, outcome: str, home: tuple[str, ...]) -> records.Response:
    """Return the response to a request."""
    return records.Response(sent_at, sent_at, 'id', SERVICE, outcome, 200, b'', 1, '', home, 'caller')


@behave.given('a loss after which an endpoint of the service runs in region r0 only')
def loss(context):
    context.records = records.Records()
    context.records.losses.append(records.Loss(LOST_AT, 'cell_for_good', frozenset({(SERVICE, 'r0')})))
    # The service itself runs again, so that only the share of the refused requests counts.
    context.records.runs.append(types.SimpleNamespace(service=SERVICE, at=SENT_AT))
    context.records.responses.append(response(LAST_SENT_AT, 'ran', ()))


@behave.when('60 requests without home regions run, and 40 requests for {homes} are refused')
def requests_are_refused(context, homes: str):
    home = () if homes == 'anywhere' else tuple(homes.split(' or '))
    context.records.responses += [response(SENT_AT, 'ran', ()) for _ in range(60)]
    context.records.responses += [response(SENT_AT, 'not-run', home) for _ in range(40)]


@behave.then('the checker service-back {verdict}')
def checker_finds(context, verdict: str):
    deployment = types.SimpleNamespace(shape={'services': {SERVICE: 1}}, records=context.records)
    found = request_checkers.service_back(deployment)
    assert bool(found) == (verdict == 'finds them'), found
