"""Commands that show the state of the whole system, as the leader knows it, or of one process."""

import zinctrail.cli.commands.output as output
import zinctrail.cli.commands.session as session

# The warm-up state of a plain endpoint, by the value of its field `chill`.
PLAIN_WARM_UP = ('', 'cold', 'taken for cold')


def status(client: session.Session, args: list[str]) -> None:
    """`status`: print the leader, its margins, members, endpoints and zones; --json for scripts."""
    state = client.get('/v1/status')['state']
    if client.options.json:
        output.print_json(state)
        return
    _print_cluster(state)
    output.print_table([MEMBER_COLUMNS, *_member_rows(state)])
    print()
    output.print_table([ENDPOINT_COLUMNS, *_endpoint_rows(state)])
    print()
    output.print_table([ZONE_COLUMNS, *_zone_rows(state)])


def _print_cluster(state: dict) -> None:
    print(
        f'cluster {state["cluster"][:8]}  master {state["http"]}  term {state["term"]}'
        f'  generation {state["generation"][1]}  configuration {state["config"]}  epoch {state["epoch"]}'
    )
    margins = state['margins']
    print(
        f'unapplied for {margins["unapplied_ms"]} ms at most  least lease left {margins["least_lease_ms"]} ms'
        f'  oldest claim {margins["oldest_claim_epochs"]} epochs'
    )
    # Processes of earlier releases do not report it.
    if state.get('losses_borne') is not None:
        print(
            f'bears the loss of {max(0, state["losses_borne"])} more voters'
            f'  waits for: {"; ".join(state["voting_set_waits"]) or "nothing"}'
        )


MEMBER_COLUMNS = ('member', 'role', 'cell', 'http', 'votes', 'answered', 'leased', 'behind')


def _member_rows(state: dict) -> list[tuple[str, ...]]:
    voters = state['voters']['accepted']
    return [
        (
            node[:8],
            member['role'],
            member['cell'],
            member['http'],
            'yes' if node in voters else '',
            f'{member["ack_ms"]} ms',
            'yes' if member['leased'] else 'NO',
            str(max(0, state['routes'] - member['generation'][1])) if member['role'] != 'core' else '',
        )
        for node, member in by_role(state['members'])
    ]


def by_role(members: dict[str, dict]) -> list[tuple[str, dict]]:
    """Return (node, member) for all members, sorted by role and address."""
    return sorted(members.items(), key=lambda item: (item[1]['role'], item[1]['http']))


ENDPOINT_COLUMNS = ('endpoint', 'service', 'cell', 'state', 'slots', 'cold', 'beat')


def _endpoint_rows(state: dict) -> list[tuple[str, ...]]:
    endpoints = sorted(state['endpoints'].values(), key=lambda endpoint: (endpoint['service'], endpoint['addr']))
    return [
        (
            endpoint['addr'],
            endpoint['service'],
            endpoint['cell'],
            endpoint['state'],
            str(endpoint['slots']),
            _warm_up(endpoint),
            f'{endpoint["beat_ms"]} ms',
        )
        for endpoint in endpoints
    ]


def _warm_up(endpoint: dict) -> str:
    """Describe an endpoint's warm-up: in eighths, or for plain endpoints only whether they are warming up."""
    return PLAIN_WARM_UP[endpoint.get('chill', 0)] if endpoint.get('plain') else f'{endpoint["cold"]}/8'


ZONE_COLUMNS = ('cell', 'region', 'evacuated')


def _zone_rows(state: dict) -> list[tuple[str, ...]]:
    return [
        (name, zone.get('region', ''), 'YES' if zone.get('evacuated') or zone.get('emptied') else '')
        for name, zone in sorted(state['cells'].items())
    ]


def duties(client: session.Session, args: list[str]) -> None:
    """`duties`: print the member that has each singleton role, and its fencing token."""
    state = client.get('/v1/status')['state']
    names = {node: f'{member["http"]} ({member["cell"]})' for node, member in state['members'].items()}
    rows = [('duty', 'holder', 'under'), ('master', names.get(state['id'], state['id']), f'term {state["term"]}')]
    rows += [('voter', names.get(node, f'{node}, not there'), '') for node in state['voters']['accepted']]
    rows += [
        (key, names.get(assignment['holder'], f'{assignment["holder"]}, not there'), f'fence {assignment["fence"]}')
        for key, assignment in sorted(state['duties'].items())
    ]
    output.print_table(rows)


def ready(client: session.Session, args: list[str]) -> None:
    """`ready`: print whether the process is ready, or why not."""
    document = client.get('/v1/ready')
    print('ready' if document['ready'] else document['why'])


def own_state(client: session.Session, args: list[str]) -> None:
    """`self`: print the state of the process itself."""
    output.print_json(client.get('/v1/self')['state'])
