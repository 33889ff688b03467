"""Steps of settings.feature: settings that change while a process runs."""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile

import behave

import features.support.local_process as local_process
import features.support.repository as repository
import zinctrail.consensus.node_location as node_location
import zinctrail.proxy.node as proxy_node
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings

ms = durations.ms


def write_file(context):
    """Write the settings to a new file and rename it, because the process may read the file at any time."""
    with open(context.name + '.new', 'w') as file:
        json.dump(context.document, file)
    os.rename(context.name + '.new', context.name)


@behave.given('a proxy of the platform with a settings file')
def proxy_with_settings_file(context):
    port = local_process.free_ports(4)
    context.document = {
        'ip_address': '127.0.0.1',
        'zone': 'z',
        'region': 'r',
        'zones': {'z': 'r'},
        'internal_port_range': [port, port + 1],
        'seed_nodes': ['127.0.0.1:1'],
        'first_start': True,
        'listen_addresses': {'front_http': f'127.0.0.1:{port + 2}', 'readiness': f'127.0.0.1:{port + 3}'},
        'bounds': {'contact_ms': 5000, 'ttl_max_s': 1},
        'beat_interval_ms': 1500,
    }
    context.name = os.path.join(tempfile.mkdtemp(prefix='zt-settings-'), 'node.json')
    write_file(context)
    context.process = subprocess.Popen(
        [sys.executable, 'platform/proxy.py'],
        cwd=repository.ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, 'ZINCTRAIL_SETTINGS': context.name},
    )
    timer = local_process.limit_time(context.process)
    context.add_cleanup(timer.cancel)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    line_with(context, 'Starts as')


def line_with(context, text):
    """Return the next log line that contains a text."""
    for line in context.process.stderr:
        if text in line:
            return line
    raise AssertionError(f'the process exited with {context.process.wait()} before it logged {text!r}')


@behave.when('the file names other seeds and the process gets SIGHUP')
def file_names_other_seeds(context):
    context.document['seed_nodes'] = ['127.0.0.1:1', '127.0.0.2:1']
    write_file(context)
    context.process.send_signal(signal.SIGHUP)


@behave.when('the file is overwritten with half a document and the process gets SIGHUP')
def file_is_cut_short(context):
    with open(context.name, 'w') as file:
        file.write('{"seed_nodes": [')
    context.process.send_signal(signal.SIGHUP)


@behave.when('the file names a longer answer and the process gets no signal')
def file_changes_without_signal(context):
    context.document['bounds']['ttl_max_s'] = 2
    write_file(context)


@behave.when('the file names another lease and the process gets SIGHUP')
def file_names_another_lease(context):
    context.document['bounds']['contact_ms'] = 4000
    write_file(context)
    context.process.send_signal(signal.SIGHUP)


@behave.then('it logs that {names} changed, and keeps running')
def change_is_logged(context, names: str):
    assert names in line_with(context, 'Settings read anew; changed: ')
    assert context.process.poll() is None


@behave.then('it logs that it keeps its current settings, and keeps running')
def current_settings_are_kept(context):
    line_with(context, 'new settings are invalid, keeping the current settings')
    assert context.process.poll() is None


@behave.then('it logs that lease takes effect at the next start, and keeps running')
def lease_waits_for_next_start(context):
    line = line_with(context, 'from the next start: ')
    assert 'lease' in line and 'changed: nothing' in line, line
    assert context.process.poll() is None


@behave.given('a machine with its settings')
def machine_with_settings(context):
    context.machine = proxy_node.Proxy(
        node_location.NodeLocation('127.0.0.1:1', '127.0.0.1:2', 'r/c', ['127.0.0.1:7']),
        settings.Settings(),
        random.Random(1),
    )
    context.machine.feed('start', ms(0))


CHANGES = {
    'other seeds': (['127.0.0.1:8'], {}),
    'an answer of 1000 ms': (['127.0.0.1:7'], {'answer': ms(1000)}),
    'a repeat_share above its bound': (['127.0.0.1:8'], {'repeat_share': 0.5}),
}


@behave.when('settings come with {change}')
def settings_come_with_change(context, change: str):
    seeds, changed = CHANGES[change]
    context.machine.feed(
        'settings',
        ms(10),
        node_location.NodeLocation('127.0.0.1:1', '127.0.0.1:2', 'r/c', seeds),
        settings.Settings(**changed),
    )
    outputs = context.machine.feed('wake', ms(1000))
    context.probed = {effect.address for effect in outputs if isinstance(effect, effects.Send)}


@behave.then('it contacts the new seeds')
def new_seeds_are_contacted(context):
    assert context.probed == {'127.0.0.1:8'}, context.probed


@behave.then('it takes the new answer, and keeps its seeds')
def answer_time_is_new(context):
    assert context.machine.settings.answer == ms(1000) and context.probed == {'127.0.0.1:7'}


@behave.then('it keeps its settings')
def settings_are_unchanged(context):
    assert (
        context.probed == {'127.0.0.1:7'} and context.machine.settings.repeat_share == settings.Settings().repeat_share
    )
