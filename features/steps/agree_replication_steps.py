"""Steps of agree.feature: publications, commits, changes of the voting set and reads, at a single control node."""

import behave

import features.support.machine_host as machine_host
import features.support.voter_host as voter_host
import zinctrail.runtime.effects as effects

NEW_ROW = ['conf', 'pools/x', {'service': 's'}]


# -- a follower -----------------------------------------------------------------------


@behave.when('b publishes {version} on {base} in term {term:d}')
def version_published(context, version: str, base: str, term: int):
    if base == 'no base':
        contents = {'full': {'meta': {'cluster': machine_host.CLUSTER}}}
    else:
        contents = {'base': voter_host.parse_version(base), 'rows': [NEW_ROW]}
    context.host.recv('b', 'pub', term=term, at=voter_host.parse_version(version), **contents)


@behave.then('a responds {response}')
def publication_is_answered(context, response: str):
    host = context.host
    responses = host.sent('pub_re')
    assert len(responses) == 1 and responses[0]['ok'] == response.startswith('ok'), host.effects
    assert host.written_before('pub_re') == response.endswith('after its write'), host.effects


@behave.when('b commits {version} in term {term:d}')
def version_committed(context, version: str, term: int):
    context.host.recv('b', 'com', term=term, at=voter_host.parse_version(version))


@behave.then('a has committed version {version}')
def committed_version_is(context, version: str):
    committed = context.host.machine.replica.committed
    assert committed == voter_host.parse_version(version), committed


# -- a leader -------------------------------------------------------------------------


@behave.given('its first version is committed')
def first_version_is_committed(context):
    host = context.host
    voter_host.accept(host, voter_host.newest_publication(host))
    # Run on until the changes that a new leader makes after its first version are committed, too.
    for _ in range(20):
        host.run(100, lambda: voter_host.respond_to_heartbeats(host))
        if voter_host.in_flight(host):
            voter_host.accept(host, voter_host.newest_publication(host))
    assert host.machine.replica.committed[0] == host.machine.term and not voter_host.in_flight(host)


def change_row(host, *row):
    """Submit a change of one row of the state: table, key, value."""
    host.machine.submit(lambda transaction: transaction.put(*row) or {'status': 200}, lambda result: None)


def published_tables(host) -> list[set[str]]:
    """Return the tables that each publication changes, apart from the row of the newest routing table's version."""
    return [
        {table for table, key, _ in publication.rows if (table, key) != ('meta', 'routes')}
        for publication in voter_host.in_flight(host)
    ]


@behave.when('d replaces c in the voting set, and a zone is changed right after')
def voting_set_and_zone_change(context):
    host = context.host
    context.version_before = host.machine.replica.committed
    change_row(host, 'meta', 'vc', {'committed': ['a', 'b', 'c'], 'accepted': ['a', 'b', 'd']})
    change_row(host, 'cells', 'r0/c9', {'labels': {'x': 'y'}})


@behave.then('only the change of the voting set is published for {duration:d} ms, while b responds only to heartbeats')
def only_voting_set_is_published(context, duration: int):
    host = context.host
    host.run(duration, lambda: voter_host.respond_to_heartbeats(host, context.version_before))
    assert host.machine.mode == 'leader'
    published = published_tables(host)
    assert published == [{'meta'}], published


@behave.then('the change of the zone is published within {duration:d} ms of b accepting the voting set')
def zone_is_published(context, duration: int):
    host = context.host
    version = voter_host.newest_publication(host)
    voter_host.accept(host, version)
    host.run(duration)
    assert host.machine.replica.committed == version, host.machine.replica.committed
    published = published_tables(host)
    # The same publication may contain the change that completes the joint voting set.
    assert len(published) == 1 and 'cells' in published[0], published


@behave.when('a read arrives and b responds to {which}')
def read_arrives(context, which: str):
    host, context.results = context.host, []
    round_before = host.machine.heartbeat_round
    host.machine.submit(
        lambda transaction: {'status': 200, 'value': transaction.get('meta', 'cluster')}, context.results.append
    )
    known = {
        'term': host.machine.term,
        'accepted': host.machine.replica.accepted,
        'committed': host.machine.replica.committed,
    }
    host.run(50)
    assert host.machine.heartbeat_round > round_before
    if which != 'nothing':
        is_old = which == 'the round before the read'
        host.recv('b', 'chk_re', round=round_before if is_old else host.machine.heartbeat_round, **known)


@behave.then('the read is {verdict}')
def read_verdict_is(context, verdict: str):
    assert bool(context.results) == (verdict == 'answered'), context.results


@behave.given("a's state lists no member but a")
def only_member_is_a(context):
    for node in 'bc':
        del context.host.machine.replica.tables['members'][node]


@behave.then('b is sent the first version')
def first_version_is_sent(context):
    host = context.host
    context.version = voter_host.newest_publication(host)
    assert [
        effect
        for effect in host.effects
        if isinstance(effect, effects.Send)
        and effect.address == machine_host.address_of('b')
        and effect.frame['t'] == 'pub'
    ]


@behave.then("b's acceptance commits it")
def acceptance_commits(context):
    voter_host.accept(context.host, context.version)
    assert context.host.machine.replica.committed == context.version
