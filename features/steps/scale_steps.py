"""Steps of scale.feature: what roles send and hold at small sizes, against the slopes on record."""

import unittest.mock as mock

import behave

import zinctrail.consensus.member as member
import zinctrail.consensus.voter as voter
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.capacity.slopes as capacity_slopes
import zinctrail.simulation.scale.hollow as hollow
import zinctrail.simulation.scale.point as scale_point
import zinctrail.simulation.scale.records as records
import zinctrail.simulation.scale.sizes as sizes
import zinctrail.simulation.scale.sweeps as sweeps

# How much above the record a figure may be, because which messages share a frame depends on the delays of the seed.
ALLOWANCE = 1.02
ROUNDING = 1e-6
PARTS = ('quiet', 'change')
UNITS = ('messages', 'bytes')
SEED = 1


def measure(context, sweep):
    """Measure the two smallest sizes of a sweep, beside what is on record for it."""
    sizes = sweeps.SWEEPS[sweep][:2]
    points = [scale_point.measure_point(size, SEED) for size in sizes]
    context.record = records.load(capacity_slopes.SLOPES)[sweep]
    context.sizes = [getattr(size, sweep) for size in sizes]
    context.figures = {name: [figure(point) for point in points] for name, figure in figures(sweep).items()}


def figures(sweep):
    """{name: function of a measured point} for the figures of a sweep that are on record."""
    if sweep == 'claims':
        found = {
            f'claim/{role}/{unit}': capacity_slopes.per_change(role, unit, 'claims', 'claims')
            for role in capacity_slopes.ROLES
            for unit in UNITS
        }
    else:
        found = {
            f'{part}/{role}/{unit}': (capacity_slopes.quiet if part == 'quiet' else capacity_slopes.per_change)(
                role, unit
            )
            for part in PARTS
            for role in capacity_slopes.ROLES
            for unit in UNITS
        }
    found['state/routes/bytes'] = lambda point: point['state']['routes']['bytes']
    return found


def excess(context, name):
    """How far a figure is above what was measured, or above the slope, on record: {size: ratio}."""
    record = context.record[name]
    found = {}
    for size, figure in zip(context.sizes, context.figures[name], strict=True):
        # Compared with the highest of the seeds on record, because the one that runs here is among them, and with
        # the measured value besides the fitted line, because the line's own residual must not hide a rise.
        highest = record['most'][record['x'].index(size)]
        if figure > highest * ALLOWANCE + ROUNDING:
            found[size] = figure / max(highest, 1e-9)
        line = record['a'] + record['b'] * size
        is_linear = record['residual'] is not None and record['residual'] <= capacity_slopes.NOT_LINEAR
        if is_linear and size >= record['from']:
            allowed = line * (ALLOWANCE + record['residual'] + record['spread']) + ROUNDING
            if figure > allowed:
                found[f'line at {size}'] = figure / line
    return found


@behave.when('the two smallest sizes of {sweep:w} are measured')
def measure_sweep(context, sweep: str):
    measure(context, sweep)


@behave.then("no role's messages and bytes, quiet or for a change, are above the record")
def messages_and_bytes_within_record(context):
    compared = [name for name in context.figures if name in context.record and not name.startswith('state')]
    assert len(compared) >= 4, 'too little is on record'
    above = {name: excess(context, name) for name in compared}
    assert not any(above.values()), {name: ratios for name, ratios in above.items() if ratios}


@behave.then('no row of the state takes more bytes than on record')
def state_within_record(context):
    above = excess(context, 'state/routes/bytes')
    assert not above, above


def twice(method):
    """The method, called twice in place of once."""

    def call_twice(self, *arguments, **options):
        method(self, *arguments, **options)
        return method(self, *arguments, **options)

    return call_twice


def with_longer_heartbeats(method):
    """The method that makes frames, with 100 bytes more in each heartbeat."""

    def make_frame(self, message, **body):
        frame = method(self, message, **body)
        if frame['t'] == 'chk':
            frame['more'] = 'x' * 100
        return frame

    return make_frame


# Changes of the product that make it send more.
FAULTS = {
    'each member answers every check twice': lambda: mock.patch.object(
        proxy_node.Proxy, 'on_heartbeat', twice(member.Member.on_heartbeat)
    ),
    'each check tells 100 bytes more': lambda: mock.patch.object(
        voter.Voter, 'frame', with_longer_heartbeats(member.Member.frame)
    ),
    'each change is published twice': lambda: mock.patch.object(
        hollow.WarmUpdates, 'send_missing', twice(hollow.WarmUpdates.send_missing)
    ),
}


@behave.when('the two smallest sizes of nodes are measured, and {fault}')
def measure_with_fault(context, fault: str):
    with FAULTS[fault]():
        measure(context, 'nodes')


@behave.then('{figure} is above the record')
def figure_is_above_record(context, figure: str):
    assert excess(context, figure), (context.figures[figure], context.record[figure])


@behave.when('a slope is fitted to {points}')
def fit_slope(context, points: str):
    pairs = [tuple(float(number) for number in pair.split(':')) for pair in points.split()]
    measured = [{'size': {'nodes': nodes}, 'figure': figure} for nodes, figure in pairs]
    context.slope = capacity_slopes.slope(measured, 'nodes', lambda point: point['figure'])


@behave.then('it is {a} + {b} x, and called {straight}')
def slope_is(context, a: str, b: str, straight: str):
    assert capacity_slopes.confidence(context.slope)[2].startswith(straight), context.slope
    for expected, fitted in ((a, context.slope['a']), (b, context.slope['b'])):
        assert expected == '-' or abs(float(expected) - fitted) < ROUNDING, context.slope


@behave.when('10 hollow nodes lose one, restart one and are parted from one')
def lose_restart_and_part(context):
    context.point = scale_point.measure_point(sizes.Size(nodes=10, killed=1, restarted=1, parted=1), SEED)


@behave.then('all of them are led again each time, within a lease and an election')
def all_are_led_again(context):
    defaults = settings.Settings()
    limit_ms = durations.to_ms(defaults.lease + defaults.elect_most)
    point = context.point
    for took_ms in (point['killed']['ms'], point['restarted']['ms'], point['parted']['back']['ms']):
        assert 0 < took_ms <= limit_ms, point
    assert point['parted']['apart']['messages'] > 0
