"""Steps of ops.feature: log lines, and traces of elections and requests read from them."""

import logging
import random
import re
import types

import behave

import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.log_trace as log_trace
import zinctrail.runtime.logs as logs
import zinctrail.runtime.request_sampling as request_sampling
import zinctrail.simulation.actors.caller as caller_actor
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.world as world

ms = durations.ms
LOG_PREFIX = 'I1202 03:21:20.123456 1234 host.py:189] '

LINES = {
    'plain fields': ('core: Leads term 5.', {'event': 'lead', 'term': 5, 'by': '10.0.0.1:7000'}),
    'a text with blanks': ('core: Lost.', {'event': 'lost', 'why': 'no quorum answers', 'none': ''}),
    'quotes and equals': ('x', {'event': 'e', 'why': 'a="b c" | d=e, "f"', 'path': '/a?b=c&d', 'slash': 'a\\"b'}),
    'lists and truths': (
        'x',
        {'event': 'e', 'votes': ['a', 'b'], 'one': ['c'], 'none': [], 'set': {'y', 'x'}, 'yes': True, 'no': False},
    ),
    'a bar in the sentence': ('core: a | b=c', {'event': 'e', 'k': 'v'}),
}
PARSED_FIELDS = {
    'lists and truths': {'event': 'e', 'votes': 'a,b', 'one': 'c', 'none': '', 'set': 'x,y', 'yes': 'yes', 'no': 'no'}
}


@behave.when('a log line with {line_name} is written in the {form} format')
def line_is_written(context, line_name: str, form: str):
    text, fields = LINES[line_name]
    record = logging.LogRecord('absl', logging.INFO, 'host.py', 1, '%s', (text,), None)
    record.fields = fields
    stamping = types.SimpleNamespace(format=lambda stamped: LOG_PREFIX + stamped.getMessage())
    context.line = logs.LineFormatter(form, stamping).format(record)
    expected_fields = {name: str(value) for name, value in PARSED_FIELDS.get(line_name, fields).items()}
    context.expected = {'text': text, **expected_fields}


@behave.then('the text and fields of the line are read back')
def line_is_read_back(context):
    # Also with a prefix, because a log collector may prepend the name of the process.
    for line in (context.line, context.line + '\n', f'  38.0693 edge-1 {context.line}'):
        record = logs.parse(line)
        assert record and record.pop('at') and record.pop('level') == 'info', (line, record)
        assert record == context.expected, (line, record)


FOREIGN_LINES = {
    'nothing': '',
    'a sentence of another program': 'Dec  2 03:21:20 host kernel: all is well',
    'JSON of another program': '{"at": "2026-12-02T03:21:20Z", "text": 7}',
    'JSON cut short': '{"at": "2026-12-02T03:21:20Z", "te',
    'JSON nested very deeply': '{"at": ' + '[' * 100000,
    'a field whose text is cut short': LOG_PREFIX + 'x | event=e why="\\q"',
}


@behave.when('{line_name} is parsed as a log line')
def foreign_line_is_parsed(context, line_name: str):
    context.record = logs.parse(FOREIGN_LINES[line_name])


@behave.then('no record is returned')
def no_record_is_returned(context):
    assert context.record is None, context.record


@behave.given('a simulated world whose leader is killed, with the log lines of its nodes')
def world_with_killed_leader(context):
    simulated = context.world = start_world(0.0)
    context.first_leader = simulated.leader()
    context.first_leader.kill()
    others = [node for node in simulated.nodes.values() if node is not context.first_leader]

    def has_another_leader():
        leader = simulated.leader()
        return leader and leader is not context.first_leader and all(node.machine.has_lease() for node in others)

    assert simulated.run(ms(20000), has_another_leader)


def start_world(sampled_share):
    """Start three control nodes and a proxy that sample a share of requests, and wait until all have a lease."""
    simulated = world.World(1)
    for index in range(3):
        simulated.add(f'core{index}', 'core', f'r{index}/c0')
    simulated.add('prox0', 'prox', 'r0/c0')
    nodes = simulated.nodes.values()
    for node in nodes:
        node.location.seeds = [control_node.location.addr for control_node in simulated.of('core')]
        node.start()
        node.machine.request_sampler = request_sampling.RequestSampler(sampled_share)
    assert simulated.run(ms(30000), lambda: simulated.leader() and all(node.machine.has_lease() for node in nodes))
    return simulated


def lines_of(simulated):
    """Return the log lines of all nodes in random order."""
    lines = []
    for node in simulated.nodes.values():
        for time, text, fields in node.log_records:
            all_fields = {**fields, 'by': node.location.addr} if fields else {}
            lines.append(logs.json_line(time.total_seconds(), 'info', text, all_fields))
    random.Random(1).shuffle(lines)
    return lines


@behave.when('its log lines are searched for elections')
def elections_are_searched(context):
    context.records = log_trace.parse_records(lines_of(context.world))
    context.election_lines = log_trace.election_lines(context.records)


@behave.then('each term shows the candidates with their reasons, the leader with its voters, and the followers')
def elections_are_shown(context):
    text = '\n'.join(context.election_lines)
    assert re.search(rf'{context.first_leader.location.addr}  leads, with the votes of ', text), text
    leader = context.world.leader()
    address = leader.location.addr
    term = leader.machine.term
    last = '\n'.join(log_trace.election_lines(context.records, term))
    assert last.startswith(f'term {term}\n') and last in text, last
    assert re.search(rf'{address}  starts an election, attempt \d+: (silent|disconnected)', last), last
    voters = re.search(rf'{address}  leads, with the votes of (.*)', last).group(1).split(', ')
    voted = set(re.findall(rf'(\S+)  votes for {address}', last))
    assert set(voters) == voted | {address} and len(voters) >= 2, (voters, voted)
    assert 'followed by 2,' in last, last


@behave.then('a term without an election shows nothing')
def unknown_term_is_empty(context):
    assert log_trace.election_lines(context.records, 9999) == []


@behave.given('a simulated world that samples every request')
def world_that_samples_requests(context):
    context.world = world.World(1)
    context.deployment = client_deployment.Deployment(
        context.world, dict(deployments.PRESETS['small'], services={'loans': 2})
    )
    context.deployment.start()
    for node in context.world.nodes.values():
        node.machine.request_sampler = request_sampling.RequestSampler(1.0)


@behave.when('a non-idempotent request is executed in it')
def at_most_once_request_runs(context):
    caller = caller_actor.Caller(context.deployment, 'caller', context.deployment.zones[0], ['loans'], 1)
    results = []
    caller.send_one('loans').addCallback(results.append)
    assert context.world.run(ms(10000), lambda: bool(results)) and results[0].outcome == 'ran', results
    context.result = results[0]


@behave.then('the trace of its id shows the claim at the leader, and its outcome at the proxy with the endpoint')
def request_is_traced(context):
    records = log_trace.parse_records(lines_of(context.world))
    lines = log_trace.request_lines(records, context.result.id)
    assert len(lines) == 2 and 'claim for' in lines[0] and 'claimed' in lines[0], lines
    assert re.search(
        rf'ran {context.result.status}: reply of the endpoint; service \w+, endpoint \S+, tries 1, \d+ ms here, \d+ ms there',
        lines[1],
    ), lines
