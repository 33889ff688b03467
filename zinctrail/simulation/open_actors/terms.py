"""What a deployment of open traffic tells the system: bounds of its rules, sizes, services."""

import dataclasses
import datetime
import typing

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings

ms = durations.ms


@dataclasses.dataclass(frozen=True)
class Terms:
    """How long until the bound of each rule holds, the slacks, and the shares of repeats and of cold endpoints."""

    # How long a machine out of contact may act on what it knows.
    contact: datetime.timedelta = ms(5000)
    drain: datetime.timedelta = ms(3000)
    config: datetime.timedelta = ms(3000)
    evacuation: datetime.timedelta = ms(5000)
    # From SIGTERM to SIGKILL.
    grace: datetime.timedelta = ms(6000)
    recovery: datetime.timedelta = ms(15000)
    # An eighth of how long a process may still show an older version.
    revert: datetime.timedelta = ms(250)
    # What is added to a bound while the control nodes are unsettled.
    stretch: datetime.timedelta = ms(10000)
    # How far behind callers are in knowing who serves control.
    seed_lag: datetime.timedelta = ms(3000)
    # How far back watches reach.
    history: datetime.timedelta = ms(20000)
    # How long endpoints may go on working for a client that has left.
    left: datetime.timedelta = ms(500)
    # How long after trouble in their region clients may be led to other regions.
    calm: datetime.timedelta = ms(15000)
    # How soon an address may pass to another endpoint.
    reuse: datetime.timedelta = ms(2000)
    # How long an operator's order goes without an acknowledgement.
    ack: datetime.timedelta = ms(6000)
    # Further arrivals of the same requests: as a share of all in a window, and how many besides.
    repeat_share: float = 0.2
    repeat_slack: int = 20
    repeat_window: datetime.timedelta = ms(10000)
    # How many times what it bears a cold endpoint may get in a second, and how many besides.
    cold_ratio: float = 1.5
    cold_slack: int = 5


TERMS = Terms()


class Shape(deployments.Shape, total=False):
    """The sizes of a deployment of open traffic."""

    # Endpoints of each service, and the requests that each works on at once.
    ends: int
    slots: int


SHAPES: dict[str, Shape] = {
    'small': {'regions': 3, 'cells': 1, 'cores': 3, 'proxies': 4, 'rate': 40, 'ends': 4, 'slots': 3},
    'many': {'regions': 3, 'cells': 2, 'cores': 5, 'proxies': 10, 'rate': 60, 'ends': 8, 'slots': 3, 'herd': 4},
    'site': {'regions': 3, 'cells': 2, 'cores': 6, 'proxies': 9, 'rate': 120, 'ends': 12, 'slots': 6},
}


class Service(typing.NamedTuple):
    """What one service's requests and endpoints are like."""

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
# How many requests a second a cold endpoint bears, and how long it is cold.
COLD_PER_S = 5.0
COLD_S = 3.0
# Cells of coordination, g<group>.<cell>, that applications put and read.
GROUPS = 2
CELLS_A_GROUP = 3
# How long the way takes between regions, and between zones of a region.
REGION_MS = 20
ZONE_MS = 1
# How long an endpoint that drains serves on after its time: long enough for late requests to show.
AFTER_DRAIN = ms(800)
# Statuses after which a client does not retry.
FINAL = (400, 401, 404, 413, 431)
# Statuses that promise that the request has not run.
PROMISE = (408, 421, 429, 503)


def bound(shape: Shape) -> settings.Settings:
    """The settings as a platform of these terms has them."""
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
    """The pools that a rule routes to; none for a rule that was dropped."""
    if rule is None:
        return set()
    if 'pool' in rule:
        return {rule['pool']}
    return {share['pool'] for share in rule.get('shares', ()) if share['weight'] > 0}
