"""The record of one request on its way through the proxy."""

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

# What a pass returns: the next pass runs, or the request is parked until somebody resumes it.
GO, WAIT = True, False

# The result of a request that has none yet; nobody changes it.
NO_RESULT = effects.HttpResult()


class Waiting(enum.Enum):
    """What a parked request waits for; NOTHING also while it is at an endpoint."""

    NOTHING = enum.auto()
    # The commit of its claim, by the leader.
    CLAIM = enum.auto()
    # Another attempt of the same id, which runs through this proxy now.
    RUNNING_ATTEMPT = enum.auto()
    # The result, from the proxy that owns the claim.
    OWNER = enum.auto()
    # Credit at an endpoint of its pool.
    CREDIT = enum.auto()
    # The closing of its claim, after it was given up.
    CLAIM_CLOSED = enum.auto()
    # A lease of this proxy, or room at an endpoint (open traffic).
    ROOM = enum.auto()


@dataclasses.dataclass(slots=True)
class Request:
    """One attempt of a caller. Times are monotonic, as the state machine's `now`.

    The comment of each field tells who sets it: the runner
    (request_runner.py), a pass (pipeline.py, open_pipeline.py) or the part
    that sends it (upstream.py, open_upstream.py).
    """

    # The HTTP call as the host knows it, what it holds, and when it came. Set by the runner.
    call_id: typing.Any
    call: effects.HttpRequest
    received_at: datetime.timedelta
    # The passes it goes through, and the index of the one that runs or waits. Set by the runner.
    stages: list['proxy_part.Stage'] = dataclasses.field(default_factory=list)
    position: int = 0
    # Whether it is matched by host and path, for endpoints that link no library of ours. Set by the runner.
    is_open_traffic: bool = False
    # What it waits for while no pass runs. Set by whoever parks it; the runner resets it.
    waiting_for: Waiting = Waiting.NOTHING

    # The caller's id and its number of attempts with it, from 1 (open traffic has none). Set by accept.
    id: str = ''
    attempt: int = 1
    # When the caller is answered at the latest; ZERO while that is not known. Set by accept and match_route; sooner once it is given up.
    deadline: datetime.timedelta = durations.ZERO
    # Regions it must stay in; empty: any. Set by accept, for open traffic by match_route.
    allowed_regions: tuple[str, ...] = ()
    # The service and the path at the endpoint. Set by accept, the path of open traffic by match_route.
    service: str = ''
    path: str = ''

    # The rule of a client's request or of open traffic (empty before), its pool, and whether it may run at most once. Set by match_route.
    client_rule: configuration.RuleRow = dataclasses.field(default_factory=configuration.RuleRow)
    open_rule: configuration_items.RuleItem = dataclasses.field(default_factory=configuration_items.RuleItem)
    pool: str = ''
    at_most_once: bool = True
    # Of open traffic: when a response is worth most, and until when it may wait for room. Set by match_route.
    latency_target: datetime.timedelta = durations.ZERO
    queue_deadline: datetime.timedelta = durations.ZERO

    # The nonce it claims its id with, and whether the claim is committed. Set by claim, at_most_once.py.
    claim_nonce: str = ''
    is_claimed: bool = False

    # The endpoint it is or was sent to last, and its zone. Set by the passes that choose one.
    incarnation: str = ''
    zone: str = ''
    # Incarnations that are not to be chosen again. Set by retries and hedges.
    tried: set[str] = dataclasses.field(default_factory=set)
    # How often it was sent, less what surely reached nobody (open traffic). Set when it is sent.
    send_count: int = 0
    # The fetch that counts, and its result. Set when it is sent and answered.
    fetch_id: int = 0
    result: effects.HttpResult = dataclasses.field(default_factory=lambda: NO_RESULT)
    # Of open traffic: {fetch id: incarnation} of what is not answered yet. Set when it is sent and answered.
    in_flight: dict[int, str] = dataclasses.field(default_factory=dict)
    # Of open traffic: when its caller went away before its answer. Set by client_disconnects.py.
    disconnected_at: datetime.timedelta | None = None
    # Of open traffic: when a hedged request is sent beside it. Set when it is sent.
    hedge_at: datetime.timedelta | None = None
    # Since when it is at an endpoint, and for how long it was before. Set when it is sent and answered.
    sent_at: datetime.timedelta | None = None
    time_at_endpoints: datetime.timedelta = durations.ZERO

    # Whether the next send is a retry, of the caller or ours. Set by check_retry_budget and retries.
    is_retry: bool = False
    # Whether the next send is already accounted for in the retry budget. Set by send and retries.
    is_charged: bool = False
    # Whether an endpoint may have run it, whatever becomes of later sends. Set by check_response.
    may_have_run: bool = False
    # Why it is given up, while its claim is being closed. Set by the runner.
    refusal: refusals.Refusal | None = None
