"""The record of one request in the proxy's pipeline."""

import dataclasses
import datetime
import enum
import typing

import zinctrail.control.configuration as configuration
import zinctrail.control.configuration_items as configuration_items
import zinctrail.proxy.refusals as refusals
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects

if typing.TYPE_CHECKING:
    import zinctrail.proxy.proxy_part as proxy_part

# The results of a stage: the next stage runs, or the request is parked until the part that it waits for resumes it.
GO, WAIT = True, False

# The initial result of a request; shared by all requests and never modified.
NO_RESULT = effects.HttpResult()


class Waiting(enum.Enum):
    """The reason why a request is parked; NOTHING while a stage runs or the request is at an endpoint."""

    NOTHING = enum.auto()
    # The commit of its claim by the leader.
    CLAIM = enum.auto()
    # Another attempt of the same id, which is running through this proxy.
    RUNNING_ATTEMPT = enum.auto()
    # The result from the proxy that owns the claim.
    OWNER = enum.auto()
    # Credit at an endpoint of its pool.
    CREDIT = enum.auto()
    # The closing of its claim by the leader, after the request was refused.
    CLAIM_CLOSED = enum.auto()
    # A lease of this proxy, or room at an endpoint (open traffic).
    ROOM = enum.auto()


@dataclasses.dataclass(slots=True)
class Request:
    """One attempt of a caller. Times are monotonic, like the state machine's `now`.

    The comment of each field names the code that sets it: the runner
    (request_runner.py), a stage (pipeline.py, open_pipeline.py) or the part
    that sends the request (upstream.py, open_upstream.py).
    """

    # The host's id of the HTTP call, its content, and when it was received. Set by the runner.
    call_id: typing.Any
    call: effects.HttpRequest
    received_at: datetime.timedelta
    # The stages it goes through, and the index of the current one. Set by the runner.
    stages: list['proxy_part.Stage'] = dataclasses.field(default_factory=list)
    position: int = 0
    # Whether it is routed by host and path, to endpoints that do not link the endpoint library. Set by the runner.
    is_open_traffic: bool = False
    # What it waits for while no stage runs. Set by the code that parks it; reset by the runner.
    waiting_for: Waiting = Waiting.NOTHING

    # The id that the caller chose, and the number of this attempt with it, from 1 (1 for open traffic). Set by accept.
    id: str = ''
    attempt: int = 1
    # By when the caller gets a response; ZERO while unknown. Set by accept and match_route; moved to an earlier time
    # by the runner when the request is refused and its claim has to be closed.
    deadline: datetime.timedelta = durations.ZERO
    # The regions it must stay in; empty: any. Set by accept, for open traffic by match_route.
    allowed_regions: tuple[str, ...] = ()
    # The service and the path at the endpoint. Set by accept, the path of open traffic by match_route.
    service: str = ''
    path: str = ''

    # The rule of a client's request or of open traffic (empty before a match), its pool, and whether the request may
    # run at most once. Set by match_route.
    client_rule: configuration.RuleRow = dataclasses.field(default_factory=configuration.RuleRow)
    open_rule: configuration_items.RuleItem = dataclasses.field(default_factory=configuration_items.RuleItem)
    pool: str = ''
    # Open traffic: the pool among whose pending requests it counts. Set by the runner.
    counted_pool: str = ''
    at_most_once: bool = True
    # Open traffic: the time by which a response is wanted, and until when the request may wait for room. Set by
    # match_route.
    latency_target: datetime.timedelta = durations.ZERO
    queue_deadline: datetime.timedelta = durations.ZERO

    # The nonce of its claim, and whether the claim is committed. Set by the stage claim and by at_most_once.py.
    claim_nonce: str = ''
    is_claimed: bool = False

    # The endpoint it is at or was last sent to, and that endpoint's zone. Set by the stages that choose an endpoint.
    incarnation: str = ''
    zone: str = ''
    # Incarnations that must not be chosen again. Set by retries and hedges.
    tried: set[str] = dataclasses.field(default_factory=set)
    # How often it was sent; for open traffic without the sends that certainly reached no endpoint. Set when it is sent.
    send_count: int = 0
    # The current fetch, and its result. Set when it is sent and when the fetch ends.
    fetch_id: int = 0
    result: effects.HttpResult = dataclasses.field(default_factory=lambda: NO_RESULT)
    # Open traffic: {fetch id: incarnation} of the fetches in flight. Set when it is sent and when a fetch ends.
    in_flight: dict[int, str] = dataclasses.field(default_factory=dict)
    # Open traffic: when its caller disconnected before the response. Set by client_disconnects.py.
    disconnected_at: datetime.timedelta | None = None
    # Open traffic: when the request is hedged. Set when it is sent.
    hedge_at: datetime.timedelta | None = None
    # Since when it is at an endpoint, and the total time of its earlier sends. Set when it is sent and when a fetch
    # ends.
    sent_at: datetime.timedelta | None = None
    time_at_endpoints: datetime.timedelta = durations.ZERO

    # Whether the next send is a retry, by the caller or this proxy. Set by check_retry_budget and retries.
    is_retry: bool = False
    # Whether the next send is already accounted for in the retry budget. Set by send and retries.
    is_charged: bool = False
    # Whether an endpoint may have run it, regardless of later sends. Set by check_response.
    may_have_run: bool = False
    # The refusal to respond with once its claim is closed. Set by the runner.
    refusal: refusals.Refusal | None = None
