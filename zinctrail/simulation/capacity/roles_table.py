"""The table in docs/CAPACITY.md of each role's costs at the target size."""

import typing

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.simulation.capacity.formats as formats
import zinctrail.simulation.capacity.projection as capacity_projection

Projection = capacity_projection.Projection
three_figures = formats.three_figures

TARGET = capacity_projection.TARGET
NODE_BUDGET = capacity_projection.NODE_BUDGET
CORE_BUDGET = capacity_projection.CORE_BUDGET

HEAD = ('role', 'figure', 'at the size', 'budget', '', 'worked out')
NO_BUDGET = formats.DASH
NOT_SPECIFIED = 'not told'

LEADER, FOLLOWER, DIRECTORY, PROXY = 'core leader', 'core follower', 'directory', 'edge proxy'
ENDPOINT_LIBRARY, CLIENT_LIBRARY = "endpoint's library", "requester's library"


class Row(typing.NamedTuple):
    """A row of the table: a figure of a role, its budget and its derivation."""

    role: str
    figure: str
    at_size: str
    budget: str | float
    verdict: str
    derivation: str


def unbounded(role: str, figure: str, at_size: float, derivation: str, budget: str = NO_BUDGET) -> Row:
    """Return a row without a budget."""
    return Row(role, figure, three_figures(at_size), budget, formats.verdict(None), derivation)


def bounded(role: str, figure: str, at_size: float, budget: float, derivation: str) -> Row:
    """Return a row with a budget, which is shown unformatted."""
    return Row(role, figure, three_figures(at_size), budget, formats.verdict(at_size <= budget), derivation)


def bounded_bytes(role: str, figure: str, at_size: float, derivation: str) -> Row:
    """Return a row of bytes per second, compared with the budget of a node."""
    budget = NODE_BUDGET['bytes']
    verdict = formats.verdict(at_size <= budget)
    return Row(role, figure, three_figures(at_size), three_figures(budget), verdict, derivation)


def line_over_nodes(projection: Projection, figure: str) -> str:
    """Return the text of a figure's line over nodes."""
    found = projection.found['nodes'][figure]
    return f'{three_figures(found["a"])} + {three_figures(found["b"])} x {three_figures(projection.nodes)} nodes'


# -- rows of every role that is a member of the cluster ------------------------


def control_rows(projection: Projection, role: str, name: str) -> list[Row]:
    """Return the rows of control-plane costs of one process of a role."""
    return [
        unbounded(
            name,
            'messages a second, quiet',
            projection.quiet(role, 'messages'),
            f'{line_over_nodes(projection, f"quiet/{role}/messages")} + other dimensions',
        ),
        unbounded(
            name,
            'bytes a second, quiet',
            projection.quiet(role, 'bytes'),
            f'{line_over_nodes(projection, f"quiet/{role}/bytes")} + other dimensions',
        ),
        unbounded(
            name,
            'bytes a change',
            projection.change(role, 'bytes'),
            line_over_nodes(projection, f'change/{role}/bytes'),
        ),
        bytes_with_changes(projection, role, name),
        processor_with_changes(projection, role, name),
    ]


def bytes_with_changes(projection: Projection, role: str, name: str) -> Row:
    """Return the row of bytes per second on a usual day; only proxies run on nodes that have a budget."""
    row = bounded_bytes if role == 'prox' else unbounded
    return row(
        name,
        'bytes a second, with changes',
        projection.total(role, 'bytes'),
        f'quiet + a change x {three_figures(projection.versions_per_second())} a second',
    )


def processor_with_changes(projection: Projection, role: str, name: str) -> Row:
    """Return the row of processor time on a usual day."""
    quiet_cores = three_figures(projection.quiet(role, 'cpu_ms') / 1000)
    change_s = three_figures(projection.change(role, 'cpu_ms') / 1000)
    return bounded(
        name,
        'processor, cores',
        projection.total(role, 'cpu_ms') / 1000,
        NODE_BUDGET['cores'] if role == 'prox' else CORE_BUDGET,
        f'quiet {quiet_cores} + a change {change_s} s x {three_figures(projection.versions_per_second())}',
    )


def state_row(projection: Projection, name: str, derivation: str) -> Row:
    """Return the row of the size of the state."""
    at_size = f'{three_figures(projection.routes_rows())} rows, {three_figures(projection.routes_bytes())}B'
    budget = f'pieces of {chunked_transfer.CHUNK_BYTES >> 10} KiB'
    return Row(name, 'state', at_size, budget, formats.verdict(True), derivation)


# -- the roles ----------------------------------------------------------------


def leader_rows(projection: Projection) -> list[Row]:
    """Return the rows of the leader in addition to those of every member."""
    return [
        nodes_of_one_core(projection),
        state_row(
            projection,
            LEADER,
            'rows and bytes of each dimension x its size; sent in pieces, never as one frame (simulation.catch_up)',
        ),
        unbounded(LEADER, 'memory, MB', projection.memory_mb('master'), 'memory sweeps, role master', NOT_SPECIFIED),
        unbounded(
            LEADER,
            'disk, bytes a change',
            projection.change('master', 'write_bytes'),
            'sweep nodes, change/master/write_bytes',
        ),
    ]


def nodes_of_one_core(projection: Projection) -> Row:
    """Return the row of the number of nodes that a leader on one core can grant leases to; higher is better here."""
    leader_ms = projection.found['nodes']['quiet/master/cpu_ms']
    nodes = (1000 * CORE_BUDGET - leader_ms['a']) / leader_ms['b']
    return Row(
        LEADER,
        'nodes that one core bears, quiet',
        three_figures(nodes),
        three_figures(projection.nodes),
        formats.verdict(nodes >= projection.nodes),
        f'1,000 ms over {three_figures(leader_ms["b"])} ms a node: where a lease from the leader for each ends',
    )


def follower_rows(projection: Projection) -> list[Row]:
    """Return the rows of a follower in addition to those of every member."""
    followers = capacity_projection.CONTROL_MACHINES - 1
    beats = capacity_projection.HEARTBEATS_PER_SECOND
    heartbeat_ms = projection.heartbeat_ms()
    return [
        unbounded(
            FOLLOWER, 'memory, MB', projection.memory_mb('master'), 'as the leader: it holds the same', NOT_SPECIFIED
        ),
        bounded(
            FOLLOWER,
            'beats, cores',
            beats / followers * heartbeat_ms / 1000,
            CORE_BUDGET,
            f'{three_figures(beats)} beats a second over {followers} x {three_figures(heartbeat_ms)} ms (loopback beat)',
        ),
    ]


def directory_rows(projection: Projection) -> list[Row]:
    """Return the rows of a directory in addition to those of every member."""
    lookup_ms = projection.lookup_ms()
    messages = projection.found['pools']['quiet/prox/messages']['b']
    nodes = three_figures(projection.nodes)
    return [
        bounded(
            DIRECTORY,
            'standing answers, cores each 100 a second',
            lookup_ms / 10,
            CORE_BUDGET,
            f'{three_figures(lookup_ms)} ms an answer at {nodes} nodes (loopback answer)',
        ),
        unbounded(
            DIRECTORY,
            'credit: messages a second, if one keeps one pool',
            messages * projection.nodes,
            f'{three_figures(messages)} a pool and proxy x {nodes}',
        ),
    ]


def proxy_rows(projection: Projection) -> list[Row]:
    """Return the rows of a proxy in addition to those of every member."""
    routes_ms, versions = projection.routes_ms(), projection.versions_per_second()
    pools = projection.found['pools']
    messages, credit_bytes = pools['quiet/prox/messages']['b'], pools['quiet/prox/bytes']['b']
    services = TARGET['services']
    return [
        state_row(projection, PROXY, 'as the leader: every row'),
        bounded(PROXY, 'memory, MB', projection.memory_mb('prox'), NODE_BUDGET['mb'], 'memory sweeps, role prox'),
        bounded(
            PROXY,
            'working the routes out, cores',
            routes_ms / 1000 * versions,
            NODE_BUDGET['cores'],
            f'{three_figures(routes_ms)} ms a generation x {three_figures(versions)} a second',
        ),
        unbounded(
            PROXY,
            'credit: messages a second, all pools',
            messages * services,
            f'{three_figures(messages)} a pool x {three_figures(services)}',
        ),
        bounded_bytes(
            PROXY,
            'credit: bytes a second, all pools',
            credit_bytes * services,
            f'{three_figures(credit_bytes)} a pool x {three_figures(services)}',
        ),
    ]


def endpoint_rows(projection: Projection) -> list[Row]:
    """Return the rows of the costs of an endpoint's library."""
    body_bytes = projection.found['endpoints']['quiet/follower/http_bytes']['b']
    return [
        unbounded(
            ENDPOINT_LIBRARY,
            'beats a second, each',
            1 / capacity_projection.HEARTBEAT_INTERVAL_S,
            'bound beat; the same whatever the size',
        ),
        unbounded(
            ENDPOINT_LIBRARY,
            'bytes a second, bodies',
            body_bytes * 2,
            f'{three_figures(body_bytes)} an endpoint and control node (2 followers of 3 nodes share them)',
        ),
    ]


def client_rows(projection: Projection) -> list[Row]:
    """Return the rows of the load that a client's library puts on the control plane."""
    requests = TARGET['requests']
    messages, claim_ms = projection.claim_cost('messages'), projection.claim_cost('cpu_ms')
    return [
        unbounded(
            CLIENT_LIBRARY,
            'standing answers a second, each',
            1 / capacity_projection.LOOKUP_INTERVAL_S,
            'bound answer; each is one call at a directory',
        ),
        unbounded(
            CLIENT_LIBRARY,
            'claims: messages a second at the leader, all requests run-once',
            messages * requests,
            f'{three_figures(messages)} a claim x {three_figures(requests)}',
        ),
        bounded(
            CLIENT_LIBRARY,
            'claims: processor at the leader, cores',
            claim_ms * requests / 1000,
            CORE_BUDGET,
            f'{three_figures(claim_ms)} ms a claim x {three_figures(requests)}; open traffic needs none',
        ),
    ]


def roles_table(projection: Projection) -> str:
    """Return the table in Markdown."""
    rows = [
        *control_rows(projection, 'master', LEADER),
        *leader_rows(projection),
        *control_rows(projection, 'follower', FOLLOWER),
        *follower_rows(projection),
        *control_rows(projection, 'dir', DIRECTORY),
        *directory_rows(projection),
        *control_rows(projection, 'prox', PROXY),
        *proxy_rows(projection),
        *endpoint_rows(projection),
        *client_rows(projection),
    ]
    return formats.table(HEAD, rows)
