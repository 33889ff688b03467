"""Steps of platform_settings.feature: settings of the platform become flags, and errors in them are reported."""

import json
import os
import subprocess
import sys
import tempfile

import behave
import settings

import features.support.platform_documents as platform_documents
import features.support.repository as repository
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as runtime_settings

SEEDS = ['10.1.0.17:8649', '10.2.0.44:8649']


def edge_settings():
    """Return the settings that the platform gives to an edge machine."""
    return platform_documents.process_settings('edge', '10.1.0.15', 'z1', SEEDS)


def by_flag(lines):
    """Return the lines of a flag file as {flag: value}."""
    return dict(line.removeprefix('--').partition('=')[::2] for line in lines)


@behave.then('the settings of an edge machine become these flags')
def edge_settings_become_flags(context):
    assert by_flag(settings.flags(edge_settings())) == {row['flag']: row['value'] for row in context.table}


@behave.then('the settings of a core machine also give two API addresses, the data folder and the directory flag')
def core_settings_become_flags(context):
    got = by_flag(
        settings.flags(platform_documents.process_settings('core', '10.1.0.17', 'z1', SEEDS, data='/data/my-core'))
    )
    assert got['doors'] == '10.1.0.17:8644,10.1.0.17:8649' and got['data'] == '/data/my-core', got
    assert got['directory'] == '' and 'front' not in got, got


@behave.when('the setting {place} is {value}')
def change_setting(context, place, value):
    doc = (
        platform_documents.with_value(edge_settings(), place.partition('.')[0], {})
        if place.split('.')[0] not in edge_settings()
        else edge_settings()
    )
    if value != 'gone' or place.split('.')[-1] in doc or '.' in place:
        doc = platform_documents.with_value(
            doc, place, platform_documents.MISSING if value == 'gone' else json.loads(value)
        )
    context.errors, context.lines = [], []
    try:
        context.lines = settings.flags(doc)
    except settings.SettingsFileError as e:
        context.errors = e.errors


@behave.then('the flag {flag} is {value}')
def flag_is(context, flag: str, value: str):
    assert by_flag(context.lines)[flag] == value, context.lines


@behave.then('the settings are refused at {place}')
def settings_are_refused_at(context, place):
    assert [p for p, _ in context.errors] == [place], context.errors


@behave.then('the settings are accepted')
def settings_are_accepted(context):
    assert not context.errors, context.errors
    got = by_flag(context.lines)
    names = {f.name: f for f in runtime_settings.Settings.__dataclass_fields__.values()}
    made = {}
    for k, v in got.items():
        name = k.removesuffix('_ms')
        if name in names:
            made[name] = durations.ms(int(v)) if k.endswith('_ms') else type(names[name].default)(v)
    # Accepted settings must not become flags that the product refuses.
    assert runtime_settings.Settings(**made).faults() == [], (made, runtime_settings.Settings(**made).faults())


@behave.then('zinctrail-controller and zinctrail-proxy started with {what} exit with 2 and print {lines}')
def programs_refuse_settings(context, what, lines):
    folder = tempfile.mkdtemp(prefix='zt-settings-')
    name = os.path.join(folder, 'node.json')
    text = {
        'half a document': b'{"ip_address": "10',
        'a list': b'[]',
        'bytes of no text': b'\xff\xfe{}',
        'three faults': json.dumps(
            platform_documents.with_value(
                platform_documents.with_value(
                    platform_documents.with_value(edge_settings(), 'ip_address', 7), 'zones', platform_documents.MISSING
                ),
                'bounds.ttl_max_s',
                'x',
            )
        ).encode(),
    }.get(what)
    if text is not None:
        with open(name, 'wb') as f:
            f.write(text)
    env = {k: v for k, v in os.environ.items() if k != 'ZINCTRAIL_SETTINGS'}
    if what != 'no file named':
        env['ZINCTRAIL_SETTINGS'] = name
    for program in ('controller', 'proxy'):
        got = subprocess.run(
            [sys.executable, f'platform/{program}.py'],
            cwd=repository.ROOT,
            env=env,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=60,
        )
        assert got.returncode == 2, (program, got.returncode, got.stdout)
        for line in lines.split(', '):
            assert line in got.stdout, (program, line, got.stdout)
