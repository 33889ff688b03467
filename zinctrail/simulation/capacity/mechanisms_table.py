"""The table in docs/CAPACITY.md of the mechanisms that would meet each missed budget."""

import typing

import zinctrail.simulation.capacity.formats as formats
import zinctrail.simulation.capacity.projection as capacity_projection
import zinctrail.simulation.capacity.slopes as capacity_slopes

Projection = capacity_projection.Projection
three_figures = formats.three_figures

TARGET = capacity_projection.TARGET
NODE_BUDGET = capacity_projection.NODE_BUDGET
CORE_BUDGET = capacity_projection.CORE_BUDGET
CONTROL_MACHINES = capacity_projection.CONTROL_MACHINES
VOTERS = capacity_projection.VOTERS
RESTARTS_A_DAY = capacity_projection.RESTARTS_A_DAY
DAY_SECONDS = capacity_projection.DAY_SECONDS
DIMENSIONS = capacity_slopes.DIMENSIONS

HEAD = ('line', 'mechanism', 'slope today', 'slope with it', 'at the size', 'budget', '')
NO_BUDGET = formats.DASH

# The rows that a node would retain: the endpoints and proxies of its region, a summary of each service, and those of the
# other rows that it uses.
RETAINED_ROWS = 1000
RETAINED = {
    'nodes': TARGET['nodes'] / TARGET['regions'] + CONTROL_MACHINES,
    'endpoints': TARGET['endpoints'] / TARGET['regions'] + TARGET['services'],
    'services': TARGET['services'],
    'routes': RETAINED_ROWS,
    'tenants': RETAINED_ROWS,
}

# Relays run on the machines reserved for control that are not voters; the leader sends to relays and the other voters.
RELAYS = CONTROL_MACHINES - VOTERS
NODES_BELOW_RELAY = TARGET['nodes'] / RELAYS
LEADER_PEERS = RELAYS + VOTERS - 1
NODES_OF_ZONE = TARGET['nodes'] / TARGET['zones']

FRAME_BYTES = 32 << 20
# Heartbeat rounds per second; a node's quiet rate divided by this is the bytes of one heartbeat.
ROUNDS_PER_SECOND = 2.5
# A partitioned node that probes only a few members probes each this many times as often as one that probes all.
PROBES_OF_FEW = 5


class Row(typing.NamedTuple):
    """A row of the table: a budget line, and the mechanism that would meet it."""

    line: str
    mechanism: str
    slope_today: str
    slope_with_it: str
    at_size: str
    budget: str | float
    verdict: str


# -- leases and changes: a relay tree ------------------------------------------


def lease_cores(projection: Projection) -> Row:
    """Return the row of leases granted through relays, in processor time."""
    node_cores = projection.found['nodes']['quiet/master/cpu_ms']['b'] / 1000
    each = three_figures(node_cores)
    at_relay = node_cores * NODES_BELOW_RELAY
    return Row(
        'leader: leases, cores',
        f'relay tree: {RELAYS} relays of the machines set aside, by region',
        f'{each} x {three_figures(projection.nodes)} nodes',
        f'{each} x {three_figures(LEADER_PEERS)} peers at the leader,'
        f' x {three_figures(NODES_BELOW_RELAY)} nodes at a relay',
        f'{three_figures(node_cores * LEADER_PEERS)}; {three_figures(at_relay)}',
        CORE_BUDGET,
        formats.verdict(at_relay <= CORE_BUDGET),
    )


def lease_bytes(projection: Projection) -> Row:
    """Return the row of leases granted through relays, in bytes."""
    node_bytes = projection.found['nodes']['quiet/master/bytes']['b']
    each = three_figures(node_bytes)
    return Row(
        'leader: leases, bytes a second',
        'the same',
        f'{each} x {three_figures(projection.nodes)}',
        f'{each} x {three_figures(NODES_BELOW_RELAY)} at a relay',
        three_figures(node_bytes * NODES_BELOW_RELAY),
        NO_BUDGET,
        formats.verdict(None),
    )


def lease_bytes_in_zone(projection: Projection) -> Row:
    """Return the row of leases granted through one node in each zone, in bytes."""
    node_bytes = projection.found['nodes']['quiet/master/bytes']['b']
    each = three_figures(node_bytes)
    at_node = node_bytes * NODES_OF_ZONE
    return Row(
        'the same on a node that relays for its cell',
        'relay tree by cell on edge nodes',
        f'{each} x {three_figures(projection.nodes)}',
        f'{each} x {three_figures(NODES_OF_ZONE)} nodes of a cell',
        three_figures(at_node),
        three_figures(NODE_BUDGET['bytes']),
        formats.verdict(at_node <= NODE_BUDGET['bytes']),
    )


def change_in_force(projection: Projection) -> Row:
    """Return the row of a change published through relays.

    The cost at small sizes is used, because a relay serves a few hundred nodes, where that cost is still linear.
    """
    over_nodes = projection.found['nodes']['change/master/cpu_ms']
    node_s = capacity_slopes.cost_each_at_small_size(over_nodes) / 1000
    seconds = node_s * (LEADER_PEERS + NODES_BELOW_RELAY)
    return Row(
        'a change in force, s of processor in a row',
        'relay tree, item-wise publication',
        f'{three_figures(projection.change("master", "cpu_ms") / 1000)} at the leader',
        f'{three_figures(node_s)} x ({three_figures(LEADER_PEERS)} + {three_figures(NODES_BELOW_RELAY)})',
        three_figures(seconds),
        capacity_projection.IN_FORCE_LIMIT_S,
        formats.verdict(seconds <= capacity_projection.IN_FORCE_LIMIT_S),
    )


# -- what a node does and holds -------------------------------------------------


def heartbeat_cores(projection: Projection) -> Row:
    """Return the row of endpoint heartbeats that are sent only to nodes of the endpoint's zone."""
    heartbeat_ms, beats = projection.heartbeat_ms(), capacity_projection.HEARTBEATS_PER_SECOND
    beats_at_node = beats / projection.nodes
    at_node = heartbeat_ms * beats / projection.nodes / 1000
    at_voter = three_figures(heartbeat_ms * beats / VOTERS / 1000)
    return Row(
        'beats, cores',
        'sharded liveness: beats end at the nodes of the cell, changes alone go up',
        f'{three_figures(heartbeat_ms)} ms x {three_figures(beats)} a second over {VOTERS} control nodes: {at_voter}',
        f'{three_figures(heartbeat_ms)} ms x {three_figures(beats_at_node)} a second at a node',
        three_figures(at_node),
        NODE_BUDGET['cores'],
        formats.verdict(at_node <= NODE_BUDGET['cores']),
    )


def node_memory(projection: Projection) -> Row:
    """Return the row of the memory of a node that retains only a part of the rows."""
    found = projection.found
    empty_mb = found['memory_nodes']['prox/mb']['a']
    row_mb = {dimension: max(0, found[f'memory_{dimension}']['prox/mb']['b']) for dimension in DIMENSIONS}
    total_mb = empty_mb + sum(row_mb[dimension] * RETAINED[dimension] for dimension in DIMENSIONS)
    kept = [
        f'{three_figures(row_mb[dimension] * 1000)} KB x {three_figures(RETAINED[dimension])} {dimension}'
        for dimension in DIMENSIONS
    ]
    return Row(
        'a node: memory, MB',
        f'tenants and routes fetched on demand ({three_figures(RETAINED_ROWS)} of each kept),'
        ' summaries between regions (a row a service)',
        f'{three_figures(projection.memory_mb("prox"))} for {three_figures(projection.routes_rows())} rows',
        ' + '.join([f'{three_figures(empty_mb)} empty', *kept]),
        three_figures(total_mb),
        NODE_BUDGET['mb'],
        formats.verdict(total_mb <= NODE_BUDGET['mb']),
    )


def first_state_bytes(projection: Projection) -> float:
    """Return the bytes of the rows that a new node would be sent."""
    return sum(projection.found[dimension]['state/routes/bytes']['b'] * RETAINED[dimension] for dimension in DIMENSIONS)


def first_state(projection: Projection) -> Row:
    """Return the row of the initial state of a new node."""
    first_bytes = first_state_bytes(projection)
    return Row(
        'a newcomer: bytes of its first state',
        'the same, item-wise',
        f'{three_figures(projection.routes_bytes())}B in one frame',
        'the rows kept, in parts',
        three_figures(first_bytes),
        three_figures(FRAME_BYTES),
        formats.verdict(first_bytes <= FRAME_BYTES),
    )


def restart_bytes(projection: Projection) -> Row:
    """Return the row of the initial states sent after a day's restarts."""
    bytes_per_second = three_figures(RESTARTS_A_DAY * first_state_bytes(projection) / DAY_SECONDS)
    return Row(
        '5,000 restarts a day: bytes a second out of the leader, packed',
        'the same',
        three_figures(RESTARTS_A_DAY * projection.compressed_bytes() / DAY_SECONDS),
        bytes_per_second,
        bytes_per_second,
        NO_BUDGET,
        formats.verdict(None),
    )


def routes_cores(projection: Projection) -> Row:
    """Return the row of incremental route updates, in which a change recomputes only the rows that it affects."""
    all_ms, versions = projection.routes_ms(), projection.versions_per_second()
    row_ms = all_ms / projection.routes_rows()
    cores = row_ms / 1000 * versions
    return Row(
        'a node: routes worked out, cores',
        'item-wise: what a changed row touches alone',
        f'{three_figures(all_ms)} ms x {three_figures(versions)} a second = {three_figures(all_ms / 1000 * versions)}',
        f'{three_figures(row_ms)} ms a row x {three_figures(versions)}',
        three_figures(cores),
        NODE_BUDGET['cores'],
        formats.verdict(cores <= NODE_BUDGET['cores']),
    )


# -- losses, credit, claims -----------------------------------------------------


def leader_lost(projection: Projection) -> Row:
    """Return the row of a new leader that asks its peers for their versions before it sends state."""
    heartbeat_bytes = projection.found['nodes']['quiet/master/bytes']['b'] / ROUNDS_PER_SECOND
    peers = three_figures(LEADER_PEERS)
    return Row(
        'leader lost: bytes to be in force',
        'standby cores that ask before they send, and relays that keep their leaves',
        f'{three_figures(projection.compressed_bytes())}B x {three_figures(projection.nodes)}',
        f'a check and its answer x {peers}, then {peers} x what is missing',
        three_figures(heartbeat_bytes * LEADER_PEERS),
        NO_BUDGET,
        formats.verdict(None),
    )


def partitioned_node(projection: Projection) -> Row:
    """Return the row of a partitioned node that probes only a few members."""
    sent = projection.found['nodes']['apart/prox/bytes']
    each = sent['b'] * PROBES_OF_FEW
    total = sent['a'] + each * CONTROL_MACHINES
    return Row(
        'a parted node: bytes a second',
        'summaries: it looks for its relays and the control nodes alone',
        f'{three_figures(sent["b"])} x {three_figures(projection.nodes)} known',
        f'{three_figures(each)} each x {CONTROL_MACHINES}',
        three_figures(total),
        three_figures(NODE_BUDGET['bytes']),
        formats.verdict(total <= NODE_BUDGET['bytes']),
    )


def credit_bytes(projection: Projection) -> Row:
    """Return the row of credit that is requested only for the pools in use."""
    pool_bytes = projection.found['pools']['quiet/prox/bytes']['b']
    each = three_figures(pool_bytes)
    return Row(
        'a node: credit, bytes a second',
        'sharded credit: keepers by cell, wants for pools in use alone, one frame for all',
        f'{each} x {three_figures(TARGET["services"])} pools',
        f'{each} x pools in use',
        f'{three_figures(NODE_BUDGET["bytes"] / pool_bytes)} pools fill the budget',
        three_figures(NODE_BUDGET['bytes']),
        formats.verdict(None),
    )


def claim_cores(projection: Projection) -> Row:
    """Return the row of claims that are sharded over separate leaders."""
    claim_ms = projection.claim_cost('cpu_ms')
    cores = claim_ms * TARGET['requests'] / 1000 / RELAYS
    return Row(
        'claims, cores',
        'sharded by id over leaders of their own; open traffic, whose endpoints keep its ids, needs none',
        f'{three_figures(claim_ms)} ms x {three_figures(TARGET["requests"])}',
        f'the same over {RELAYS} shards',
        three_figures(cores),
        CORE_BUDGET,
        formats.verdict(cores <= CORE_BUDGET),
    )


ROWS = (
    lease_cores,
    lease_bytes,
    lease_bytes_in_zone,
    change_in_force,
    heartbeat_cores,
    node_memory,
    first_state,
    restart_bytes,
    routes_cores,
    leader_lost,
    partitioned_node,
    credit_bytes,
    claim_cores,
)


def mechanisms_table(projection: Projection) -> str:
    """Return the table in Markdown: for each missed budget the mechanism that meets it, and the slope with it."""
    return formats.table(HEAD, [make(projection) for make in ROWS])
