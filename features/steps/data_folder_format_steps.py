"""Steps of agree.feature: damaged data folders, and folders of older and newer formats."""

import os
import random
import shutil
import subprocess
import sys
import tempfile
import types

import behave

import features.support.machine_host as machine_host
import features.support.repository as repository
import features.support.voter_host as voter_host
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.storage as storage
import zinctrail.consensus.transactions as transactions
import zinctrail.control.controller as controller
import zinctrail.control.coordination as coordination
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.transport.disk as disk

FORMAT_1_FOLDER = os.path.join(repository.ROOT, 'features', 'data', 'format1')


# -- damage ---------------------------------------------------------------------------


def version_file(number: int) -> str:
    """Return the file of a version of term 3 that changes one row."""
    row = ['keys', f'k{number}', {'value': '', 'rev': number}]
    return storage.encode({'term': 3, 'gen': number, 'base': [3, number - 1], 'rows': [row]})


@behave.given('the files of voter a with versions up to 3.12 from snapshot 3.9')
def files_of_voter(context):
    context.files = machine_host.data_folder('a', voter_host.VOTERS, voter_host.TERM, voter_host.VERSION)
    for number in (10, 11, 12):
        context.files[storage.version_name((3, number))] = version_file(number)


def flip_bit(context, name: str):
    """Flip one bit near the end of a file."""
    text = context.files[name]
    context.files[name] = text[:-3] + chr(ord(text[-3]) ^ 1) + text[-2:]


@behave.when('they are left unchanged')
def files_are_left(context):
    """Leave the files as they are."""


@behave.when('a bit of the newest version is flipped')
def newest_version_is_damaged(context):
    flip_bit(context, storage.version_name((3, 12)))


@behave.when('a middle version is removed')
def middle_version_is_removed(context):
    context.files.pop(storage.version_name((3, 11)))


@behave.when('a bit of the snapshot is flipped')
def snapshot_is_damaged(context):
    flip_bit(context, storage.snapshot_name((3, 9)))


@behave.when('a bit of the term file is flipped')
def term_file_is_damaged(context):
    flip_bit(context, 'term')


@behave.when('the term file is removed')
def term_file_is_removed(context):
    context.files.pop('term')


@behave.when('the node file is removed')
def node_file_is_removed(context):
    context.files.pop('node')


@behave.when('a version of an older term is left over')
def older_version_is_kept(context):
    text = storage.encode({'term': 2, 'gen': 9, 'base': [2, 8], 'rows': []})
    context.files[storage.version_name((2, 9))] = text


@behave.when('everything is removed')
def all_files_are_removed(context):
    context.files.clear()


def load_verdict(files: dict[str, str]) -> str:
    """Load files; return the accepted version, 'empty' or 'corruption'."""
    try:
        node, _, _, _, loaded = storage.load(files)
    except errors.CorruptionError:
        return 'corruption'
    return 'empty' if node is None else f'{loaded.accepted[0]}.{loaded.accepted[1]}'


@behave.then('loading them gives {verdict}')
def loading_gives(context, verdict: str):
    loaded = load_verdict(context.files)
    assert loaded == verdict, loaded


# -- formats --------------------------------------------------------------------------


def read_folder(folder: str) -> dict[str, str]:
    """Read the files of a data folder without taking its lock."""
    return disk.Disk.load(types.SimpleNamespace(folder=folder))


@behave.given('the folder of format 1')
def folder_of_format_1(context):
    context.folder = os.path.join(tempfile.mkdtemp(prefix='zt-format-'), 'data')
    shutil.copytree(FORMAT_1_FOLDER, context.folder)


@behave.when('a control node starts on it')
def control_node_starts(context):
    folder = disk.Disk(context.folder)
    location = node_location.NodeLocation('127.0.0.1:1', '127.0.0.1:2', 'r0/c0', [])
    context.machine = controller.Controller(location, settings.Settings(), random.Random(1), folder.load())
    for effect in context.machine.feed('start', durations.ms(1)):
        if isinstance(effect, effects.Write):
            folder.write(effect.name, effect.text, effect.obsolete_files)
    folder.lock.close()


@behave.then('it has the settings, the key, the number and the lock, and is of format 2')
def state_is_read_and_upgraded(context):
    tables = context.machine.replica.full_state()
    assert set(tables['conf']) >= {'pools/loans', 'rules/loans'} and tables['keys']['k']['value'] == 'v'
    assert tables['numbers']['n'] == 2 and tables['locks']['l']['holder'] == 'x'
    files = disk.Disk(context.folder).load()
    assert storage.decode('node', files['node'])['format'] == 2


@behave.then(
    'the lock is renewed by its holder, refused to another holder, and released under the id it was taken with'
)
def lock_goes_on(context):
    machine = context.machine
    machine.lock_expiry.deadlines = {'l': durations.ms(60000)}
    transaction = transactions.Transaction(machine.replica, (2, 99), durations.ms(10))

    def run(operation, **arguments):
        return transaction.run(
            lambda running: coordination.run(machine, running, operation, {'name': 'l', **arguments})
        )

    renewed = run('lock.take', holder='x', id='a')
    assert renewed['status'] == 200 and renewed['fence'] == 2 and renewed['take'] == 'a', renewed
    assert run('lock.take', holder='y', id='b')['status'] == 409
    assert run('lock.free', holder='x', take='a')['freed']


@behave.given('its format is set to {level:d}')
def format_is_changed(context, level: int):
    name = os.path.join(context.folder, 'node')
    with open(name) as source:
        document = dict(storage.decode('node', source.read()), format=level)
    with open(name, 'w') as target:
        target.write(storage.encode(document))
    context.files_before = read_folder(context.folder)


@behave.when('zinctrail-controller is started on it')
def program_starts(context):
    flags = ['--addr=127.0.0.1:1', '--http=127.0.0.1:2', '--cell=c', '--seeds=127.0.0.1:1']
    context.done = subprocess.run(
        [sys.executable, '-m', 'zinctrail.cli.controller', *flags, f'--data={context.folder}'],
        capture_output=True,
        text=True,
        timeout=60,
    )


@behave.then('it exits with code 2, names both formats, and every file is unchanged')
def newer_format_is_refused(context):
    done = context.done
    assert done.returncode == 2 and '99' in done.stderr and 'up to 2' in done.stderr, done
    assert read_folder(context.folder) == context.files_before
