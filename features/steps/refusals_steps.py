"""Steps of refusals.feature: the conditions under which a node refuses, waits or returns early, one at a time."""

import hashlib
import json
import random

import behave

import features.support.control_node as control_node
import features.support.leading_control_node as leading_control_node
import features.support.machine_host as machine_host
import zinctrail.consensus.storage as storage
import zinctrail.control.controller as controller
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

PROXY = 1
CHUNK_ROWS = [['keys', 'k', {'value': '', 'rev': 1}]]
ENDPOINT = {
    'addr': '10.0.9.1:80',
    'service': 's',
    'cell': 'r0/c0',
    'labels': {},
    'slots': 4,
    'state': 'ready',
    'cold': 0,
}


def parse_version(text: str) -> tuple[int, int]:
    """Parse a version that is written TERM.NUMBER."""
    term, number = text.split('.')
    return int(term), int(number)


def respond_to_probe(host, *nodes: str) -> None:
    """Let nodes respond to a probe, so that the machine knows that they are reachable."""
    for node in nodes:
        row = machine_host.member_row(node)
        host.recv(node, 'probe_re', member=row, term=0, master=None, partners=[], seeds=[])


# -- elections ------------------------------------------------------------------


@behave.when('a requests pre-votes, and b grants one with accepted {accepted}')
def pre_vote_is_asked_for(context, accepted: str):
    host = context.host
    respond_to_probe(host, 'b')
    asked = []
    host.run(1000, lambda: (asked.extend(host.sent('prevote')), respond_to_probe(host, 'b')))
    assert asked
    host.recv('b', 'prevote_re', term=3, accepted=parse_version(accepted))


@behave.when('b grants a pre-vote with accepted {accepted}')
def pre_vote_is_given(context, accepted: str):
    context.host.recv('b', 'prevote_re', term=3, accepted=parse_version(accepted))


@behave.then('a starts no election')
def starts_no_election(context):
    assert not context.host.sent('sjoin'), context.host.effects


def pre_votes_asked_within(context, duration_ms: int) -> list:
    """Return the pre-vote requests that the machine sends while b and c respond to its probes."""
    host, asked = context.host, []
    respond_to_probe(host, 'b', 'c')
    host.run(duration_ms, lambda: (asked.extend(host.sent('prevote')), respond_to_probe(host, 'b', 'c')))
    return asked


@behave.then('a requests no pre-vote within {duration:d} ms, though a quorum responds to its probes')
def asks_for_no_pre_vote(context, duration: int):
    assert not pre_votes_asked_within(context, duration)


@behave.then('a requests pre-votes later')
def asks_for_pre_votes(context):
    assert pre_votes_asked_within(context, 2000)


@behave.given('a follows b in term {term:d}')
def voter_follows(context, term: int):
    context.host.recv('b', 'chk', term=term, to='a', round=1, http='')
    assert context.host.machine.mode == 'follower'


@behave.when('a loses its leader')
def leader_is_lost(context):
    context.host.recv('b', 'down', term=3)
    assert context.host.machine.mode == 'candidate'


@behave.when('a is told to stop')
def is_told_to_stop(context):
    context.host.feed('stop')


@behave.when("a's disk has failed")
def disk_has_failed(context):
    context.host.feed('disk_fault', 'full')


@behave.when('b names a as its successor in term {term:d}')
def is_named_successor(context, term: int):
    context.host.recv('b', 'succeed', term=term)


@behave.then('a starts an election at once')
def starts_election_at_once(context):
    assert {frame['term'] for frame in context.host.sent('sjoin')} == {context.host.machine.term}, context.host.effects


# -- leaders and leases ---------------------------------------------------------


@behave.given('it follows b in term {term:d}')
def proxy_follows(context, term: int):
    context.host.recv('b', 'chk', term=term, to=context.host.machine.node, round=7, http='')
    assert context.host.machine.mode == 'follower'


@behave.when('c sends it a heartbeat of term {term:d} with a lease grant for its last round')
def heartbeat_of_older_term(context, term: int):
    context.host.recv('c', 'chk', term=term, to=context.host.machine.node, round=8, http='', ack=7)


@behave.then('it responds with a refusal in term {term:d}, and holds no lease')
def heartbeat_is_refused(context, term: int):
    (answer,) = context.host.sent('chk_re')
    assert answer.get('no') is True and answer['term'] == term, answer
    assert not context.host.machine.has_lease()


@behave.when('d of term {term:d} requests to join')
def asks_to_be_member(context, term: int):
    row = machine_host.member_row('d')
    context.host.recv('d', 'join', member=row, accepted=(0, 0), term=term)


@behave.then('a sends nothing')
def sends_nothing(context):
    assert not context.host.effects, context.host.effects


@behave.given('a leader with a proxy that has a lease')
def leader_with_leased_proxy(context):
    context.leader = leader = leading_control_node.LeadingControlNode(PROXY)
    leader.run_with_proxies(2000)
    assert leader.grants


def leases_for_later_heartbeats(context) -> list:
    """Return the lease grants whose heartbeat was sent after the change was committed."""
    return [grant for grant in context.leader.grants if grant[2] > context.changed_at]


@behave.when('a route changes and the proxy responds only to heartbeats for {duration:d} ms')
def route_changes(context, duration: int):
    leader = context.leader
    leader.machine.submit(
        lambda txn: txn.put('endpoints', 'e1', dict(ENDPOINT)) or {'status': 200}, lambda result: None
    )
    leader.run_with_proxies(50, stale={PROXY})
    assert leader.machine.replica.get('endpoints', 'e1')
    context.changed_at = leader.now
    leader.run_with_proxies(duration, stale={PROXY})


@behave.then('no lease is granted for a heartbeat sent after the change')
def no_lease_after_change(context):
    assert not leases_for_later_heartbeats(context), leases_for_later_heartbeats(context)


@behave.when('the proxy responds to everything again for {duration:d} ms')
def proxy_responds_again(context, duration: int):
    context.leader.run_with_proxies(duration)


@behave.then('a lease is granted for a heartbeat sent after the change')
def lease_after_change(context):
    assert leases_for_later_heartbeats(context)


def respond_to_heartbeats(host, node: str, committed=None) -> None:
    """Let a node respond to the heartbeats of the last input that were sent to it."""
    for effect in list(host.effects):
        if not isinstance(effect, effects.Send) or effect.address != machine_host.address_of(node):
            continue
        frame, held = effect.frame, committed or host.machine.replica.accepted
        if frame['t'] == 'chk':
            host.recv(node, 'chk_re', term=frame['term'], round=frame['round'], accepted=held, committed=held)


@behave.given('voter a of a,b,c leads, and proxy p is a member')
def leads_with_member(context):
    files = machine_host.data_folder('a', list('abc'), 3, (3, 9))
    name = storage.snapshot_name((3, 9))
    snapshot = storage.decode(name, files[name])
    snapshot['tables']['members']['p'] = dict(machine_host.member_row('p'), role='prox')
    files[name] = storage.encode(snapshot)
    location = machine_host.location_of('a')
    context.host = host = machine_host.MachineHost(
        controller.Controller(location, settings.Settings(), random.Random(1), files)
    )
    host.feed('start')
    asks_for_pre_votes(context)
    host.recv('b', 'prevote_re', term=3, accepted=(3, 9))
    host.recv('b', 'vote', term=host.machine.term, accepted=(3, 9), member=machine_host.member_row('b'))
    assert host.machine.mode == 'leader'


@behave.when('p responds to a heartbeat with its committed version, and to nothing after that')
def member_responds_once(context):
    host = context.host
    respond_to_heartbeats(host, 'p', (3, 9))
    host.run(500, lambda: respond_to_heartbeats(host, 'p', (3, 9)))
    assert host.machine.peers['p'].responded_round


@behave.when('the first version is committed, and b responds to heartbeats for {duration:d} ms')
def first_version_becomes_committed(context, duration: int):
    host, context.grants = context.host, []
    # The first version is committed later than p's response, so that a lease for that response could be granted.
    host.run(10)
    first = host.machine.replica.accepted
    host.recv('b', 'pub_re', term=host.machine.term, at=first, ok=True, accepted=first)
    assert host.machine.replica.committed == first

    def record_grants():
        sends = [effect for effect in host.effects if isinstance(effect, effects.Send)]
        context.grants += [
            send.frame
            for send in sends
            if send.address == machine_host.address_of('p') and (send.frame['t'] == 'grant' or 'ack' in send.frame)
        ]

    def record_grants_and_respond():
        record_grants()
        respond_to_heartbeats(host, 'b')
        record_grants()

    host.run(duration, record_grants_and_respond)
    assert host.machine.mode == 'leader'


@behave.then('p is granted no lease')
def no_lease_granted(context):
    assert not context.grants, context.grants


# -- operations -----------------------------------------------------------------


@behave.given('a leading control node whose voters have stopped responding')
def leading_alone(context):
    context.node = node = control_node.ControlNode()
    node.serve()
    node.is_muted = True


@behave.when('a proxy requests the next number twice with one key')
def requested_twice(context):
    for _ in range(2):
        context.node.recv('d', 'ask', key='k.1', op='number.step', args={'name': 'n'})


@behave.when('the voters respond again')
def voters_respond_again(context):
    node = context.node
    node.is_muted = False
    # Frames that were sent while they were muted are lost; their next responses show which versions they lack.
    node.run(1000)


@behave.then('the number has been advanced once, and the request gets one response')
def advanced_once(context):
    node = context.node
    responses = [frame['result'] for frame in node.sent('ask_re', 'd')]
    assert len(responses) == 1 and responses[0]['status'] == 200, responses
    assert node.machine.replica.get('numbers', 'n') == 1, node.machine.replica.get('numbers')


@behave.when('it requests an operation, and c responds that it came too late')
def responded_as_too_late(context):
    context.results = []
    host = context.host
    host.machine.request_operation('number.step', {'name': 'n'}, context.results.append)
    (context.key,) = list(host.machine.pending_operations)
    host.recv('c', 'ask_re', key=context.key, result={'status': 503, 'late': True, 'fault': 'late'})


@behave.then('the request is still pending')
def request_is_pending(context):
    assert not context.results, context.results


@behave.when('b responds to it with status {status:d}')
def leader_responds(context, status: int):
    context.host.recv('b', 'ask_re', key=context.key, result={'status': status})


@behave.then('its result has status {status:d}')
def result_has_status(context, status: int):
    assert [result['status'] for result in context.results] == [status], context.results


# -- disks and clusters ---------------------------------------------------------


@behave.when("a's disk has space again, and b publishes {version} on {base} in term {term:d}")
def publishes_after_fault(context, version: str, base: str, term: int):
    context.host.is_disk_full = False
    rows = [['conf', 'pools/x', {'service': 's'}]]
    context.host.recv('b', 'pub', term=term, at=parse_version(version), base=parse_version(base), rows=rows)


@behave.then('no publication gets a response')
def no_publication_response(context):
    assert not context.host.sent('pub_re'), context.host.effects


@behave.when('a value in the newest version is altered')
def value_is_changed(context):
    name = storage.version_name((3, 12))
    # The document is still well-formed JSON, so that only the checksum detects the change.
    context.files[name] = context.files[name].replace('"k12"', '"k13"')


@behave.when('the file of the newest version holds the version before it')
def file_holds_another_version(context):
    context.files[storage.version_name((3, 12))] = context.files[storage.version_name((3, 11))]


@behave.given('voter a of a,b,c whose cluster was abandoned for c2')
def cluster_abandoned(context):
    files = machine_host.data_folder('a', list('abc'), 3, (3, 9))
    files['retired'] = storage.encode({'for': 'c2'})
    location = machine_host.location_of('a')
    context.host = machine_host.MachineHost(
        controller.Controller(location, settings.Settings(), random.Random(1), files)
    )
    outputs = context.host.feed('start')
    assert not [output for output in outputs if isinstance(output, effects.Send | effects.Write)]


@behave.then('a probes nobody for {duration:d} ms')
def probes_nobody(context, duration: int):
    sent = []
    context.host.run(duration, lambda: sent.extend(context.host.sent('probe')))
    assert not sent, sent


@behave.when('d of cluster c2 notifies it that cluster c3 was abandoned')
def other_cluster_abandoned(context):
    frame = machine_host.frame_from('d', 'retired', {'of': ['c3']})
    context.host.machine.cluster = machine_host.CLUSTER
    context.host.feed('recv', dict(frame, c='c2'))


@behave.then('it still follows b')
def still_follows(context):
    machine = context.host.machine
    assert machine.mode == 'follower' and machine.leader['id'] == 'b' and machine.cluster == machine_host.CLUSTER


# -- chunks ---------------------------------------------------------------------


def digest_of(rows: list) -> str:
    """Return the digest of a transfer of these rows."""
    return hashlib.sha256(b''.join(json.dumps(row, separators=(',', ':')).encode() for row in rows)).hexdigest()


@behave.when('b sends the only chunk of {version} on {base} in term {term:d} with {digest}')
def chunk_is_sent(context, version: str, base: str, term: int, digest: str):
    digest_sent = digest_of(CHUNK_ROWS if digest == 'its digest' else [])
    fields = {
        'at': parse_version(version),
        'base': parse_version(base),
        'number': 0,
        'rows': CHUNK_ROWS,
        'http': '',
        'digest': digest_sent,
    }
    context.host.recv('b', 'piece', term=term, **fields)


@behave.then('a has accepted {accepted} and responds {response}')
def chunk_is_answered(context, accepted: str, response: str):
    (frame,) = context.host.sent('pub_re')
    assert frame['ok'] is (response == 'ok'), frame
    assert context.host.machine.replica.accepted == parse_version(accepted), context.host.machine.replica.accepted


@behave.when('b sends the first of two chunks of {version} on {base} in term {term:d}')
def first_chunk_is_sent(context, version: str, base: str, term: int):
    fields = {'at': parse_version(version), 'base': parse_version(base), 'number': 0, 'rows': CHUNK_ROWS, 'http': ''}
    context.host.recv('b', 'piece', term=term, **fields)
