"""Steps of agree.feature: quorums, votes, elections and when a leader steps down, at a single control node."""

import behave

import features.support.machine_host as machine_host
import features.support.voter_host as voter_host
import zinctrail.consensus.replica as replica


def parse_nodes(text: str) -> list[str]:
    """Return the nodes of a comma-separated list, which may be empty."""
    return [node for node in text.split(',') if node]


# -- quorums -----------------------------------------------------------------------


def quorum_verdict(nodes: str, committed: str, accepted: str) -> str:
    """Return 'a quorum' or 'no quorum' for nodes and a voting set."""
    voting_set = {'committed': parse_nodes(committed), 'accepted': parse_nodes(accepted)}
    return 'a quorum' if replica.joint_quorum(parse_nodes(nodes), voting_set) else 'no quorum'


@behave.when('{nodes} agree, with committed voters {committed} and accepted voters {accepted}')
def nodes_agree(context, nodes: str, committed: str, accepted: str):
    context.verdict = quorum_verdict(nodes, committed, accepted)


@behave.when(' agree, with committed voters {committed} and accepted voters {accepted}')
def no_node_agrees(context, committed: str, accepted: str):
    context.verdict = quorum_verdict('', committed, accepted)


@behave.then('that is {verdict}')
def verdict_is(context, verdict: str):
    assert context.verdict == verdict, context.verdict


# -- votes ---------------------------------------------------------------------------


@behave.given('voter {node} of {voters} in term {term:d} with accepted {accepted}')
def voter_in_term(context, node: str, voters: str, term: int, accepted: str):
    files = machine_host.data_folder(node, parse_nodes(voters), term, voter_host.parse_version(accepted))
    context.host = voter_host.new_host(files, node)


@behave.given('an empty node a')
def empty_node(context):
    context.host = voter_host.new_host({})


@behave.given("a's disk is full")
def disk_is_full(context):
    context.host.is_disk_full = True


@behave.when('{node} requests a vote for term {term:d}')
def candidate_asks_for_vote(context, node: str, term: int):
    context.host.recv(node, 'sjoin', term=term)


@behave.then("a's vote is sent after its write")
def vote_is_sent_after_write(context):
    assert context.host.sent('vote') and context.host.written_before('vote'), context.host.effects


@behave.then("a's vote is not sent")
def vote_is_not_sent(context):
    assert not context.host.sent('vote'), context.host.effects


@behave.when('a starts an election and b votes with accepted {accepted}')
def candidate_gets_vote(context, accepted: str):
    host = context.host
    voter_host.introduce(host, 'b', 'c')
    host.machine.election.start(host.machine.term)
    voter_host.vote(host, 'b', voter_host.parse_version(accepted))


@behave.then('a is {mode}')
def mode_is(context, mode: str):
    assert context.host.machine.mode == mode, context.host.machine.mode


@behave.given('a is {mode}')
def put_into_mode(context, mode: str):
    if mode == 'leader':
        voter_host.lead(context.host)
    elif mode == 'follower of b':
        context.host.recv('b', 'chk', term=voter_host.TERM, to='a', round=1, http='')
        assert context.host.machine.mode == 'follower'


@behave.when('c requests a pre-vote')
def pre_vote_requested(context):
    context.host.recv('c', 'prevote', term=voter_host.TERM, accepted=voter_host.VERSION)


@behave.then("a's pre-vote is sent")
def pre_vote_is_sent(context):
    assert context.host.sent('prevote_re')


@behave.then("a's pre-vote is not sent")
def pre_vote_is_not_sent(context):
    assert not context.host.sent('prevote_re')


@behave.when('a receives a pre-vote of b in term {seen:d}')
def pre_vote_received(context, seen: int):
    host = context.host
    voter_host.introduce(host, 'b')
    host.run(1000, lambda: voter_host.introduce(host, 'b'))
    assert host.machine.election.pre_votes is not None
    host.recv('b', 'prevote_re', term=seen, accepted=voter_host.VERSION)


@behave.then('a starts an election for term {term:d}')
def starts_election_for_term(context, term: int):
    assert [frame['term'] for frame in context.host.sent('sjoin')] == [term], context.host.effects


# -- a leader that must step down -----------------------------------------------------


@behave.given('voter a of a,b,c leads')
def voter_leads(context):
    files = machine_host.data_folder('a', voter_host.VOTERS, voter_host.TERM, voter_host.VERSION)
    context.host = voter_host.new_host(files)
    voter_host.lead(context.host)


@behave.when('no node responds for {duration:d} ms')
def no_node_responds(context, duration: int):
    context.host.run(duration)


@behave.when('a version is accepted by no quorum for {duration:d} ms')
def version_finds_no_quorum(context, duration: int):
    host = context.host
    assert voter_host.in_flight(host)
    # The older version, because a voter that reports a version as accepted counts towards its quorum.
    host.run(duration, lambda: voter_host.respond_to_heartbeats(host, voter_host.VERSION))


@behave.when('b responds to heartbeats for {duration:d} ms')
def heartbeats_are_answered(context, duration: int):
    host = context.host
    voter_host.accept(host, voter_host.newest_publication(host))
    host.run(duration, lambda: voter_host.respond_to_heartbeats(host))


@behave.when('b responds to a heartbeat in a later term')
def heartbeat_answered_in_later_term(context):
    context.host.recv('b', 'chk_re', term=context.host.machine.term + 1, round=1, no=True)


@behave.when('its disk is full and it has to write')
def write_fails(context):
    host = context.host
    voter_host.accept(host, voter_host.newest_publication(host))
    host.is_disk_full = True
    host.machine.submit(
        lambda transaction: transaction.put('keys', 'k', {'value': '', 'rev': 1}) or {'status': 200},
        lambda result: None,
    )
    host.run(500, lambda: voter_host.respond_to_heartbeats(host))


@behave.when('b requests a vote of a for a later term')
def leader_sees_later_term(context):
    context.host.recv('b', 'sjoin', term=context.host.machine.term + 1)
