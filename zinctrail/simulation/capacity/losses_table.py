"""The table of losses at the target size in docs/CAPACITY.md."""

import statistics
import typing

import zinctrail.simulation.capacity.formats as formats
import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.slopes as capacity_slopes

Projection = capacity_projection.Projection
three_figures = formats.three_figures

TARGET = capacity_projection.TARGET
IN_FORCE_LIMIT_S = capacity_projection.IN_FORCE_LIMIT_S
FAILURES_A_DAY = capacity_projection.FAILURES_A_DAY
RESTARTS_A_DAY = capacity_projection.RESTARTS_A_DAY


class Cost(typing.NamedTuple):
    """The cost of an event at the leader."""

    messages: float
    bytes: float
    cpu_ms: float

    def times(self, factor: float) -> 'Cost':
        """Return the cost multiplied by a number of events or by the factor of a larger cluster."""
        return Cost(self.messages * factor, self.bytes * factor, self.cpu_ms * factor)

    def plus(self, more_bytes: float = 0, more_ms: float = 0) -> 'Cost':
        """Return this cost plus additional bytes and processor time."""
        return Cost(self.messages, self.bytes + more_bytes, self.cpu_ms + more_ms)


class Loss(typing.NamedTuple):
    """A loss, restart or change listed in the table."""

    title: str
    how_often: str
    cost: Cost
    # The measured duration in seconds, in addition to the leader's processor time.
    measured_s: float
    derivation: str


class Group(typing.NamedTuple):
    """A group of nodes that are lost at once."""

    title: str
    nodes: int
    how_often: str


RACK = Group('a rack', 17, 'most days')
ZONE = Group('a cell', 51, '1 or 2 a year')
REGION = Group('a region', 203, '')
GROUPS = (RACK, ZONE, REGION)


# -- costs at the target size -------------------------------------------------


def cost_over_nodes(projection: Projection, event: str) -> Cost:
    """Return the cost of an event at the target number of nodes."""
    return Cost(*(projection.over_nodes(f'{event}/master/{metric}') for metric in capacity_slopes.METRICS))


def restart_cost(projection: Projection) -> Cost:
    """Return the cost of a restart, after which the node is sent the full state."""
    return cost_over_nodes(projection, 'restarted').plus(more_bytes=projection.compressed_bytes())


def change_cost(projection: Projection) -> Cost:
    """Return the cost of one change."""
    return Cost(*(projection.change('master', metric) for metric in capacity_slopes.METRICS))


def leader_loss_cost(projection: Projection) -> Cost:
    """Return the cost of the loss of the leader, at its successor."""
    found = projection.found['headless']
    lines = [found[f'headless/master/{metric}'] for metric in capacity_slopes.METRICS]
    return Cost(*(line['a'] + line['b'] * projection.nodes for line in lines))


def encoded_bytes_per_second(projection: Projection) -> float:
    """Return the encoding rate of a full state, measured at the largest number of tenants."""
    points = projection.points['tenants']
    largest = max(point['size']['tenants'] for point in points)
    return statistics.median(
        point['state']['routes']['bytes'] / point['encode_ms'] * 1000
        for point in points
        if point['size']['tenants'] == largest
    )


def leader_cores(projection: Projection) -> float:
    """Return the cores that the leader uses while nothing changes."""
    return projection.quiet('master', 'cpu_ms') / 1000


# -- the events ---------------------------------------------------------------


def last_seconds(projection: Projection, sweep: str, figure: str) -> float:
    """Return a time, in seconds, measured at the largest size of a sweep."""
    return projection.found[sweep][figure]['y'][-1] / 1000


def single_losses(projection: Projection) -> list[Loss]:
    """Return the events of single nodes: a change, a failure and a restart."""
    slowest_change_ms = max(projection.found['nodes']['in_force_ms']['y'])
    return [
        Loss(
            'one change of one route',
            '7,200 a day',
            change_cost(projection),
            slowest_change_ms / 1000,
            'change x size',
        ),
        Loss(
            'a machine fails',
            '120 a day',
            cost_over_nodes(projection, 'killed'),
            last_seconds(projection, 'nodes', 'killed/ms'),
            'killed, over nodes; its connections close',
        ),
        Loss(
            'a machine is restarted',
            '5,000 a day',
            restart_cost(projection),
            last_seconds(projection, 'nodes', 'restarted/ms'),
            'restarted, over nodes, and the whole state to the newcomer',
        ),
    ]


class GroupLosses:
    """Losses of a group of nodes, measured with the same group size in a smaller cluster.

    They are projected only by the number of nodes in the cluster, because the number that fail at once was measured.
    """

    def __init__(self, projection: Projection, group: Group):
        self.projection, self.group = projection, group
        self.found = projection.found['losses']
        self.measured_nodes = projection.points['losses'][0]['size']['nodes']
        self.factor = projection.nodes / self.measured_nodes

    def measured(self, figure: str) -> float:
        """Return a figure as measured for a group of this size."""
        found = self.found[figure]
        return found['y'][self.found['killed/ms']['x'].index(self.group.nodes)]

    def cost(self, event: str) -> Cost:
        """Return the cost of an event at the target size."""
        measured = Cost(*(self.measured(f'{event}/master/{metric}') for metric in capacity_slopes.METRICS))
        return measured.times(self.factor)

    def seconds(self, event: str) -> float:
        """Return the duration of an event in seconds."""
        return self.measured(f'{event}/ms') / 1000

    def lost(self) -> Loss:
        """Return the loss of all nodes of the group at once."""
        title, nodes, how_often = self.group
        return Loss(
            f'{title} of {nodes} nodes is lost',
            how_often,
            self.cost('killed'),
            self.seconds('killed'),
            f'losses at {nodes} of 1,000 nodes, x {three_figures(self.factor)}',
        )

    def restarted(self) -> Loss:
        """Return the restart of all nodes of the group at once; each is sent the full state, which is encoded once."""
        title, nodes, how_often = self.group
        state_bytes = self.projection.compressed_bytes() * nodes
        encode_s = self.projection.routes_bytes() / encoded_bytes_per_second(self.projection)
        return Loss(
            f'{title} of {nodes} nodes is restarted',
            how_often,
            self.cost('restarted').plus(state_bytes, encode_s * 1000),
            self.seconds('restarted'),
            'the same, and the whole state to each, encoded once',
        )

    def back(self) -> Loss:
        """Return the reconnection of all nodes of the group after a partition."""
        title, nodes, _ = self.group
        return Loss(
            f'{title} of {nodes} nodes comes back after a parting',
            'now and then',
            self.cost('back'),
            self.seconds('back'),
            f'losses, back, x {three_figures(self.factor)}',
        )


def group_losses(projection: Projection) -> list[Loss]:
    """Return the events that affect a group of nodes at once."""
    found = []
    for group in GROUPS:
        losses = GroupLosses(projection, group)
        found += [losses.lost(), losses.restarted()]
        if group is REGION:
            found.append(losses.back())
    return found


def leader_loss(projection: Projection) -> Loss:
    """Return the loss of the leader."""
    return Loss(
        'the leader is lost',
        '',
        leader_loss_cost(projection),
        last_seconds(projection, 'headless', 'headless/ms'),
        'headless, over nodes; the new one sends the state only to who refuses the change that follows on it',
    )


# -- the table ----------------------------------------------------------------


def loss_row(loss: Loss, busy_cores: float) -> tuple:
    """Return the row of an event: the time until it is in force at an idle leader and at one that grants leases.

    One thread does both, so a change gets only the processor time that the leases leave.
    """
    cpu_s = loss.cost.cpu_ms / 1000
    idle_s = cpu_s + loss.measured_s
    is_met_beside_leases = busy_cores < 1 and cpu_s / (1 - busy_cores) + loss.measured_s <= IN_FORCE_LIMIT_S
    return (
        loss.title,
        loss.how_often,
        three_figures(loss.cost.messages),
        three_figures(loss.cost.bytes),
        three_figures(cpu_s),
        three_figures(idle_s),
        formats.verdict(idle_s <= IN_FORCE_LIMIT_S),
        formats.verdict(is_met_beside_leases),
        loss.derivation,
    )


def partition_row(projection: Projection) -> tuple:
    """Return the row of a partitioned region: traffic sent by all its nodes, and the verdict on the budget of each."""
    region_nodes = TARGET['nodes'] / TARGET['regions']
    messages = projection.over_nodes('apart/prox/messages')
    sent_bytes = projection.over_nodes('apart/prox/bytes')
    return (
        f'a region of {round(region_nodes)} nodes is parted, each second',
        'now and then',
        three_figures(messages * region_nodes),
        three_figures(sent_bytes * region_nodes),
        formats.DASH,
        formats.DASH,
        formats.DASH,
        formats.verdict(sent_bytes <= capacity_projection.NODE_BUDGET['bytes']),
        f'each parted node sends {three_figures(sent_bytes)}B a second, looking for everybody',
    )


def day_row(projection: Projection) -> tuple:
    """Return the row of all failures and restarts of a day."""
    failures = cost_over_nodes(projection, 'killed').times(FAILURES_A_DAY)
    restarts = restart_cost(projection).times(RESTARTS_A_DAY)
    messages = failures.messages + restarts.messages
    sent_bytes = failures.bytes + restarts.bytes
    messages_per_second = three_figures(messages / capacity_projection.DAY_SECONDS)
    bytes_per_second = three_figures(sent_bytes / capacity_projection.DAY_SECONDS)
    return (
        "an ordinary day's 120 and 5,000",
        'a day',
        three_figures(messages),
        three_figures(sent_bytes),
        three_figures((failures.cpu_ms + restarts.cpu_ms) / 1000),
        formats.DASH,
        formats.DASH,
        formats.DASH,
        f'of the leader; a second: {messages_per_second} messages, {bytes_per_second}B',
    )


def losses_table(projection: Projection) -> str:
    """Return the table in Markdown."""
    busy_cores = leader_cores(projection)
    head = (
        'what',
        'how often',
        'messages of the leader',
        'bytes',
        'its processor, s',
        's to be in force',
        f'{IN_FORCE_LIMIT_S:g} s, were it idle',
        f'{IN_FORCE_LIMIT_S:g} s, beside its leases ({three_figures(busy_cores)} cores)',
        'worked out',
    )
    losses = [*single_losses(projection), *group_losses(projection)]
    rows = [
        *(loss_row(loss, busy_cores) for loss in losses),
        partition_row(projection),
        loss_row(leader_loss(projection), busy_cores),
        day_row(projection),
    ]
    return formats.table(head, rows)
