"""The parameters of deployments of open traffic: the bounds that checkers enforce, sizes, and services."""

import dataclasses
import datetime
import typing

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

ms = durations.ms


@dataclasses.dataclass(frozen=True)
class Terms:
    """The time bounds of the checkers' rules, and the limits on retries and on load during warm-up."""

    # How long a node without contact may act on its last known state.
    contact: datetime.timedelta = ms(5000)
    drain: datetime.timedelta = ms(3000)
    config: datetime.timedelta = ms(3000)
    evacuation: datetime.timedelta = ms(5000)
    # From SIGTERM to SIGKILL.
    grace: datetime.timedelta = ms(6000)
    recovery: datetime.timedelta = ms(15000)
    # An eighth of the time in which a process may still serve an older version.
    revert: datetime.timedelta = ms(250)
    # The time added to a bound while the control nodes are disturbed.
    stretch: datetime.timedelta = ms(10000)
    # The delay until callers learn of a change in the set of running control nodes.
    seed_lag: datetime.timedelta = ms(3000)
    # How far back a watch may start.
    history: datetime.timedelta = ms(20000)
    # How long endpoints may continue to work for a client that has closed its connection.
    abandoned_work: datetime.timedelta = ms(500)
    # How long after a fault in their region clients may be directed to other regions.
    region_recovery: datetime.timedelta = ms(15000)
    # The minimum time before an address may be reused by another endpoint.
    reuse: datetime.timedelta = ms(2000)
    # How long a command may stay without an acknowledgement.
    ack: datetime.timedelta = ms(6000)
    # The limit on retries that reach endpoints: a share of all arrivals in a window, plus a fixed number.
    repeat_share: float = 0.2
    repeat_slack: int = 20
    repeat_window: datetime.timedelta = ms(10000)
    # The limit on requests per second to an endpoint that warms up: a multiple of its warm-up rate, plus a constant.
    warm_up_ratio: float = 1.5
    warm_up_slack: int = 5


TERMS = Terms()


class Shape(deployments.Shape, total=False):
    """The sizes of a deployment of open traffic."""

    # The number of endpoints of each service, and the number of concurrent requests of each endpoint.
    ends: int
    slots: int


SHAPES: dict[str, Shape] = {
    'small': {'regions': 3, 'cells': 1, 'cores': 3, 'proxies': 4, 'rate': 40, 'ends': 4, 'slots': 3},
    'many': {'regions': 3, 'cells': 2, 'cores': 5, 'proxies': 10, 'rate': 60, 'ends': 8, 'slots': 3, 'herd': 4},
    'site': {'regions': 3, 'cells': 2, 'cores': 6, 'proxies': 9, 'rate': 120, 'ends': 12, 'slots': 6},
}


class Service(typing.NamedTuple):
    """The properties of a service's requests and endpoints."""

    once: bool
    work_ms: int
    latency_target_ms: int
    timeout_ms: int
    # Whether a full endpoint resets connections instead of refusing requests.
    resets_when_full: bool


SERVICES = {
    'search': Service(False, 80, 600, 1500, False),
    'loans': Service(True, 120, 600, 1500, True),
    'sync': Service(False, 200, 1200, 3000, True),
    'holds': Service(True, 80, 500, 1200, False),
}
# The requests per second that an endpoint can serve while warming up, and the length of the warm-up.
WARM_UP_RATE = 5.0
WARM_UP_S = 3.0
# The number of groups and of cells per group that applications use; the cells are named g<group>.<cell>.
GROUPS = 2
CELLS_PER_GROUP = 3
# The added one-way latency between regions, and between zones of a region.
REGION_MS = 20
ZONE_MS = 1
# How long a draining endpoint serves after its drain time: long enough to observe late requests.
AFTER_DRAIN = ms(800)
# Statuses after which a client does not retry.
FINAL_STATUSES = (400, 401, 404, 413, 431)
# Statuses that promise that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def bound(shape: Shape) -> settings.Settings:
    """Return the system's settings on a platform with these parameters."""
    return settings.Settings(
        herd=shape.get('herd', 40),
        grace=TERMS.grace,
        touch=TERMS.contact,
        lease=TERMS.contact * 3 / 4,
        beat=ms(1500),
        answer=ms(2000),
        repeat_window=TERMS.repeat_window,
        repeat_share=TERMS.repeat_share,
        repeat_allowance=int(0.7 * TERMS.repeat_slack),
    )


def pools_of(rule: dict | None) -> set[str]:
    """Return the pools that a rule routes to; an empty set for a dropped rule (None)."""
    if rule is None:
        return set()
    if 'pool' in rule:
        return {rule['pool']}
    return {share['pool'] for share in rule.get('shares', ()) if share['weight'] > 0}
