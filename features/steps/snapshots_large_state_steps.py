"""Steps of snapshots_disk.feature: the files of a large state, snapshots in parts, and a new data folder."""

import os
import shutil
import tempfile
import types

import behave

import features.support.folder_model as folder_model
import features.support.voter_history as voter_history
import zinctrail.consensus.storage as storage
import zinctrail.runtime.settings as settings
import zinctrail.transport.disk as disk

FIRST_NUMBER = 9
# The change after which the snapshot in parts is begun.
SNAPSHOT_NUMBER = 50


@behave.when('a data folder is made two levels deep')
def nested_data_folder_is_made(context):
    context.top = tempfile.mkdtemp()
    context.synced = []
    paths = {}

    def noting_open(path, *args, **options):
        handle = os.open(path, *args, **options)
        paths[handle] = path
        return handle

    def noting_fsync(handle):
        context.synced.append(os.path.abspath(paths.get(handle, '')))
        os.fsync(handle)

    noting_os = types.SimpleNamespace(**{name: getattr(os, name) for name in dir(os) if not name.startswith('__')})
    noting_os.open = noting_open
    noting_os.fsync = noting_fsync
    disk.os = noting_os
    try:
        disk.Disk(os.path.join(context.top, 'one', 'two')).lock.close()
    finally:
        folder_model.restore_os()
        shutil.rmtree(context.top)


@behave.then('the folder above each new one was synced')
def parent_folders_are_synced(context):
    for path in (context.top, os.path.join(context.top, 'one')):
        assert path in context.synced, (path, context.synced)


def run_step(context, step):
    """Let the voter take a step, and write what it asks for."""
    step(context.voter)
    voter_history.run_disk_effects(context.voter, context.disk)


@behave.given('a voter of a state of {kilobytes:d} KB')
def voter_of_large_state(context, kilobytes: int):
    context.model = folder_model.FolderModel()
    context.settings = settings.Settings()
    context.disk = folder_model.open_disk(context.model)
    context.add_cleanup(folder_model.restore_os)
    context.voter = voter_history.new_voter({}, context.settings)
    large_rows = {f'large-{number}': 'x' * 1000 for number in range(kilobytes)}
    run_step(context, lambda voter: voter.persistence.write_identity())
    run_step(context, voter_history.raise_term(1, 'a'))
    run_step(context, voter_history.accept_whole(1, FIRST_NUMBER, large_rows))


@behave.when('it takes {count:d} changes and starts again')
def voter_takes_changes_and_restarts(context, count: int):
    for number in range(FIRST_NUMBER + 1, FIRST_NUMBER + 1 + count):
        run_step(context, voter_history.accept_rows(1, number))
    context.before = voter_history.memory_of(context.voter)
    context.disk = folder_model.open_disk(context.model)
    context.files = context.disk.load()
    context.voter = voter_history.new_voter(context.files, context.settings)


@behave.then('its folder holds at most {most:d} files, of which at most {read:d} are read, and nothing is missing')
def folder_holds_few_files(context, most: int, read: int):
    assert len(context.files) <= most, len(context.files)
    assert len(context.voter.history.changes) + 1 <= read, len(context.voter.history.changes)
    assert voter_history.memory_of(context.voter) == context.before


@behave.then('after {count:d} more changes none of those passed over is left')
def files_passed_over_are_gone(context, count: int):
    superseded_files = set(context.voter.persistence.superseded_files)
    run_step(
        context, lambda voter: voter.persistence.write_identity(voter.persistence.superseded_files, may_be_read=True)
    )
    for _ in range(count):
        run_step(
            context,
            lambda voter: voter_history.accept_rows(1, voter.replica.accepted[1] + 1)(voter),
        )
    left = set(context.model.listdir(folder_model.FOLDER)) & superseded_files
    assert superseded_files
    assert not left, sorted(left)


@behave.when('it writes a checkpoint in parts while {count:d} changes go on')
def snapshot_is_written_in_parts(context, count: int):
    context.part_sizes = []
    write_chunk = context.disk.write_chunk

    def noting_write_part(name, text, first):
        context.part_sizes.append(len(text))
        write_chunk(name, text, first)

    context.disk.write_chunk = noting_write_part
    for number in range(FIRST_NUMBER + 1, FIRST_NUMBER + 1 + count):
        run_step(context, voter_history.accept_rows(1, number))
        if number == SNAPSHOT_NUMBER:
            run_step(context, voter_history.begin_snapshot)
        elif number > SNAPSHOT_NUMBER and context.voter.snapshots.open_snapshot is not None:
            run_step(context, voter_history.write_next_part)


@behave.then('no part held up a heartbeat by more than {kilobytes:d} KB of writing')
def parts_are_small(context, kilobytes: int):
    assert len(context.part_sizes) > 20, len(context.part_sizes)
    assert max(context.part_sizes) <= kilobytes * 1000, max(context.part_sizes)


@behave.then('what it starts with again is what it had, from that checkpoint')
def voter_restarts_from_snapshot(context):
    files = folder_model.open_disk(context.model).load()
    restarted = voter_history.new_voter(files, context.settings)
    assert storage.snapshot_name((1, SNAPSHOT_NUMBER)) in files, sorted(files)[:5]
    assert restarted.history.changes[0].base == (1, SNAPSHOT_NUMBER), restarted.history.changes[0]
    assert voter_history.memory_of(restarted) == voter_history.memory_of(context.voter)
