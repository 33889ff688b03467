"""Steps of leaving.feature: the files of a data folder after versions and snapshots were written."""

import os
import tempfile

import behave

import zinctrail.errors as errors
import zinctrail.transport.disk as disk


@behave.given('a data folder with a snapshot that made two versions obsolete')
def folder_with_snapshot(context):
    context.folder = tempfile.mkdtemp(prefix='zt-disk-')
    context.disk = disk.Disk(context.folder)
    for name in ('gen-1', 'gen-2'):
        context.disk.write(name, 'x' * 100)
    context.disk.write('ckpt-2', 'whole', ('gen-1', 'gen-2'))


@behave.when('two more versions are written and one is left unfinished')
def versions_written(context):
    context.disk.write('gen-3', 'short')
    context.disk.write('gen-4', 'y' * 500)
    with open(os.path.join(context.folder, 'gen-5.tmp'), 'w') as unfinished:
        unfinished.write('torn')


@behave.then('the old files are removed, the new ones are complete, and no unfinished file is left')
def folder_holds_new_files(context):
    assert context.disk.load() == {'ckpt-2': 'whole', 'gen-3': 'short', 'gen-4': 'y' * 500}
    assert not [name for name in os.listdir(context.folder) if name.endswith('.tmp')]


@behave.then('a second process cannot use the folder')
def folder_is_locked(context):
    try:
        disk.Disk(context.folder)
    except errors.DiskError:
        return
    raise AssertionError('a second process took the lock of the data folder')
