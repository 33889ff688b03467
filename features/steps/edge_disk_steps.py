"""Steps of edge.feature: disk writes that fail, the files of a data folder, and handlers that raise."""

import builtins
import contextlib
import errno
import itertools
import os
import random
import tempfile
import types
import unittest.mock as mock

import behave
import twisted.internet.task as task

import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.persistence as persistence
import zinctrail.consensus.storage as storage
import zinctrail.control.controller as controller
import zinctrail.errors as errors
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.runtime.state_machine as state_machine
import zinctrail.transport.disk as disk
import zinctrail.transport.host as host

LOCATION = node_location.NodeLocation('127.0.0.1:1', '127.0.0.1:2', 'c', [])
# How many versions a voter accepts between two starts.
VERSIONS_PER_START = 60


class RecordingMachine(state_machine.StateMachine):
    """Emits the effects that it is given, and records the disk errors that it is notified of."""

    def __init__(self):
        super().__init__(random.Random(1))
        self.settings = settings.Settings()
        self.disk_errors = []
        self.location = LOCATION

    def on_do(self, given_effects):
        """Emit these effects."""
        self.out.extend(given_effects)

    def on_disk_fault(self, text):
        """Record a disk error."""
        self.disk_errors.append(text)

    def on_break(self):
        """Raise, as a handler with a defect does."""
        raise KeyError('a bug of ours')


def host_of(machine, machine_disk):
    """Return a host for a machine, on a clock that does not advance."""
    clock = task.Clock()
    clock.stop = lambda: None
    return host.Host(machine, clock, machine_disk)


def term_in(folder):
    """Return the term that is loaded from a data folder."""
    files = disk.Disk.load(types.SimpleNamespace(folder=folder))
    return storage.decode('term', files['term'])['term']


def term_file(term, vote):
    """Return the text of the file `term`."""
    return storage.encode({'term': term, 'vote': vote})


@behave.given('a data folder that holds term 1')
def folder_of_term_1(context):
    context.folder = tempfile.mkdtemp(prefix='zt-edge-')
    context.disk = disk.Disk(context.folder)
    context.disk.write('term', term_file(1, None))


def failing_once(name, condition, error_number=errno.EIO):
    """Return a patch that makes os.NAME fail once: at the first call whose arguments meet a condition."""
    real_function = getattr(os, name)
    has_failed = False

    def function(*args, **options):
        nonlocal has_failed
        if not has_failed and condition(*args):
            has_failed = True
            raise OSError(error_number, os.strerror(error_number))
        return real_function(*args, **options)

    return mock.patch.object(os, name, function)


def is_folder(descriptor):
    """Return True if a descriptor is that of a folder."""
    return os.path.isdir(f'/proc/self/fd/{descriptor}')


def failing_half_way():
    """Return a patch that makes the first write take half of the data, and the next fail with ENOSPC."""
    real_write = os.write
    calls = itertools.count(1)

    def write(descriptor, data):
        call = next(calls)
        if call == 2:
            raise OSError(errno.ENOSPC, 'No space left on device')
        return real_write(descriptor, data[: len(data) // 2] if call == 1 else data)

    return mock.patch.object(os, 'write', write)


FAILURES = {
    'making the file': lambda: failing_once('open', lambda path, *rest: str(path).endswith('.tmp'), errno.ENOSPC),
    'writing, for want of space': lambda: failing_once('write', lambda descriptor, data: True, errno.ENOSPC),
    'writing, half-way': failing_half_way,
    'syncing the file': lambda: failing_once('fsync', lambda descriptor: not is_folder(descriptor)),
    'renaming': lambda: failing_once('rename', lambda old, new: new.endswith('term')),
    'syncing the folder': lambda: failing_once('fsync', is_folder),
}


@behave.when('term 2 is written and {failure_name} fails once')
def write_of_term_2_fails(context, failure_name: str):
    context.machine = RecordingMachine()
    context.host = host_of(context.machine, context.disk)
    context.logged = []
    recording_log = {effects.Log: lambda log_host, effect: context.logged.append(effect.text)}
    with FAILURES[failure_name](), mock.patch.dict(host.EFFECT_HANDLERS, recording_log):
        context.host.feed('do', [effects.Write('term', term_file(2, 'x')), effects.Log('voted')])


@behave.then('the write is reported as failed, and the effects after it are not executed')
def write_is_reported_as_failed(context):
    assert len(context.machine.disk_errors) == 1, context.machine.disk_errors
    assert not context.logged, context.logged


@behave.then('the folder still loads as term {term:d}')
def folder_loads_as_term(context, term: int):
    # After a failed sync of the folder either term is correct: the rename may or may not be on the disk, and nothing
    # depends on it.
    assert term_in(context.folder) == term


@behave.when('term 2 is written again')
def term_2_is_written_again(context):
    context.host.feed('do', [effects.Write('term', term_file(2, 'x'))])


@behave.then('the folder loads as term 2, with no temporary files left')
def folder_loads_as_term_2_without_temporary_files(context):
    names = sorted(os.listdir(context.folder))
    assert term_in(context.folder) == 2 and names == ['lock', 'term'], (term_in(context.folder), names)


@behave.when('term 2 is written while each system call takes at most 3 bytes')
def term_2_is_written_in_short_writes(context):
    real_write = os.write
    with mock.patch.object(os, 'write', lambda descriptor, data: real_write(descriptor, data[:3])):
        context.disk.write('term', term_file(2, 'x'))


def accept_version(voter_host, voter, number):
    """Send a voter the next version, as published by b."""
    rows = [['keys', f'k{number % 7}', {'value': 'x' * 50, 'rev': number}]]
    accepted = voter.replica.accepted
    frame = {'t': 'pub', 'v': 1, 'c': voter.cluster, 'f': 'b', 'a': '127.0.0.1:3', 'term': 1}
    frame.update(at=[1, accepted[1] + 1], base=list(accepted), rows=rows)
    voter_host.feed('recv', frame)


def run_voter(folder, first_number):
    """Start a voter on a folder, let it accept versions from this number on, and write a snapshot."""
    voter_disk = disk.Disk(folder)
    voter = controller.Controller(LOCATION, settings.Settings(), random.Random(first_number), voter_disk.load())
    with mock.patch.object(os, 'fsync', lambda descriptor: None):
        voter_host = host_of(voter, voter_disk)
        voter_host.peers.send = lambda address, frame, may_compress: None
        voter_host.feed('start')
        if voter.is_empty():
            voter.formation.accept_first_version('c' * 32, [voter.node])
        for number in range(first_number, first_number + VERSIONS_PER_START):
            accept_version(voter_host, voter, number)
        voter.persistence.write_snapshot()
        voter_host.run([effect for effect in voter.out if isinstance(effect, effects.Write)])
    voter_disk.lock.close()


@behave.given('a data folder that a voter wrote {count:d} snapshots into, restarting after each')
def folder_with_snapshots(context, count: int):
    context.folder = tempfile.mkdtemp(prefix='zt-edge-')
    for start in range(count):
        run_voter(context.folder, 1 + start * VERSIONS_PER_START)


@behave.then('the folder holds no more than {most:d} files, and loads')
def folder_stays_small(context, most: int):
    assert len(os.listdir(context.folder)) <= most, len(os.listdir(context.folder))
    files = disk.Disk(context.folder).load()
    assert storage.load(files).replica.accepted[1] > 1000


@behave.when('a handler raises in a machine with a disk and in one without')
def handlers_raise(context):
    context.hosts = [host_of(RecordingMachine(), object()), host_of(RecordingMachine(), None)]
    for machine_host in context.hosts:
        machine_host.feed('break')


@behave.then('the first has exited with code 70, and the second has not exited')
def only_host_with_disk_exits(context):
    exits = [(machine_host.has_ended, machine_host.exit_code) for machine_host in context.hosts]
    assert exits == [(True, 70), (False, 0)], exits


# -- a start while the disk refuses writes ----------------------------------------


def refusing(error_number: int, has_lock_file: bool = True):
    """Return patches that refuse to open files for writing, and to write.

    The lock file can still be opened if there is one.
    """
    real_open = os.open

    def refuse_open(path, flags, *rest, **options):
        is_lock = has_lock_file and str(path).endswith('/lock')
        if flags & (os.O_WRONLY | os.O_RDWR) and not is_lock:
            raise OSError(error_number, os.strerror(error_number))
        return real_open(path, flags, *rest, **options)

    def refuse_write(descriptor, data):
        raise OSError(error_number, os.strerror(error_number))

    def refuse_file(path, mode='r', **options):
        if mode != 'r':
            raise OSError(error_number, os.strerror(error_number))
        return builtins.open(path, mode, **options)

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch.object(os, 'open', refuse_open))
    patches.enter_context(mock.patch.object(os, 'write', refuse_write))
    patches.enter_context(mock.patch.object(disk, 'open', refuse_file, create=True))
    return patches


REFUSALS = {
    'the disk is full': lambda: refusing(errno.ENOSPC),
    'the quota is used up': lambda: refusing(errno.EDQUOT),
    'the device has errors': lambda: refusing(errno.EIO),
    'the disk is full and has no lock file': lambda: refusing(errno.ENOSPC, has_lock_file=False),
    'the folder is read-only': lambda: refusing(errno.EROFS),
}


def start_control_node(context) -> None:
    """Start a control node on the folder, with a host on a clock that does not advance."""
    context.disk = disk.Disk(context.folder)
    context.node = controller.Controller(LOCATION, settings.Settings(), random.Random(2), context.disk.load())
    context.host = host_of(context.node, context.disk)
    context.clock = context.host.reactor
    context.lines = []
    context.node.log = lambda text, event='', **fields: context.lines.append(text)
    context.host.feed('start')


@behave.when('a control node starts on the folder while {refusal}')
def control_node_starts(context, refusal: str):
    identity: storage.NodeFile = {
        'id': 'before',
        'format': storage.FORMAT,
        'may_form': True,
        'promised': None,
        'earlier_sets': [],
    }
    context.disk.write('node', storage.encode(identity))
    context.before = context.disk.load()
    context.disk.lock.close()
    if 'no lock file' in refusal:
        os.remove(os.path.join(context.folder, 'lock'))
    context.refusal = REFUSALS[refusal]()
    start_control_node(context)


@behave.then('the node has the identity and the term from the folder, and logs that its disk can not be written')
def node_has_state_of_folder(context):
    assert (context.node.node, context.node.term) == ('before', 1), (context.node.node, context.node.term)
    assert context.node.disk_failed and any('can not be written' in line for line in context.lines), context.lines


@behave.when('the disk accepts writes again, and a second passes')
def disk_accepts_writes(context):
    context.refusal.close()
    later = context.node.now + persistence.DISK_RETRY
    with mock.patch.object(context.host, 'now', lambda: later):
        context.host.feed('wake')


@behave.then('the node logs that its disk can be written again, and the folder loads as before')
def disk_is_written_again(context):
    assert not context.node.disk_failed and 'Disk can be written again.' in context.lines, context.lines
    after = context.disk.load()
    assert {name: after[name] for name in ('node', 'term')} == context.before, after


@behave.when('a program starts on the folder while {refusal}')
def program_starts(context, refusal: str):
    if 'full disk' in refusal:
        context.disk.lock.close()
        os.remove(os.path.join(context.folder, 'lock'))
        with refusing(errno.ENOSPC, has_lock_file=False):
            context.disk = disk.Disk(context.folder)
    elif refusal in REFUSALS:
        context.disk.lock.close()
    with REFUSALS.get(refusal, contextlib.nullcontext)():
        try:
            disk.Disk(context.folder)
        except errors.DiskError as error:
            context.error = str(error)
            return
    raise AssertionError('the folder was accepted')


@behave.then('the program gets an error that the folder can not be used')
def folder_error_is_reported(context):
    assert 'can not be used' in context.error, context.error
