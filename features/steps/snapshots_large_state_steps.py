"""Steps of snapshots_disk.feature: the files of a large state, chunked snapshots, and a new data folder."""

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
# The change after which the chunked snapshot is begun.
SNAPSHOT_NUMBER = 50


@behave.when('a data folder is made two levels deep')
def nested_data_folder_is_made(context):
    context.top = tempfile.mkdtemp()
    context.synced = []
    paths = {}

    def recording_open(path, *args, **options):
        handle = os.open(path, *args, **options)
        paths[handle] = path
        return handle

    def recording_fsync(handle):
        context.synced.append(os.path.abspath(paths.get(handle, '')))
        os.fsync(handle)

    recording_os = types.SimpleNamespace(**{name: getattr(os, name) for name in dir(os) if not name.startswith('__')})
    recording_os.open = recording_open
    recording_os.fsync = recording_fsync
    disk.os = recording_os
    try:
        disk.Disk(os.path.join(context.top, 'one', 'two')).lock.close()
    finally:
        folder_model.restore_os()
        shutil.rmtree(context.top)


@behave.then('the parent of each new folder was synced')
def parent_folders_are_synced(context):
    for path in (context.top, os.path.join(context.top, 'one')):
        assert path in context.synced, (path, context.synced)


def run_step(context, step):
    """Let the voter take a step, and apply its writes to the disk."""
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
    run_step(context, voter_history.accept_full_state(1, FIRST_NUMBER, large_rows))


@behave.when('it accepts {count:d} changes and restarts')
def voter_takes_changes_and_restarts(context, count: int):
    for number in range(FIRST_NUMBER + 1, FIRST_NUMBER + 1 + count):
        run_step(context, voter_history.accept_rows(1, number))
    context.before = voter_history.durable_state_of(context.voter)
    context.disk = folder_model.open_disk(context.model)
    context.files = context.disk.load()
    context.voter = voter_history.new_voter(context.files, context.settings)


@behave.then('its folder holds at most {most:d} files, of which at most {read:d} are read, and nothing is missing')
def folder_holds_few_files(context, most: int, read: int):
    assert len(context.files) <= most, len(context.files)
    assert len(context.voter.history.changes) + 1 <= read, len(context.voter.history.changes)
    assert voter_history.durable_state_of(context.voter) == context.before


@behave.then('after {count:d} more changes none of the superseded files is left')
def superseded_files_are_removed(context, count: int):
    superseded_files = set(context.voter.persistence.superseded_files)
    run_step(
        context, lambda voter: voter.persistence.write_identity(voter.persistence.superseded_files, may_be_read=True)
    )
    for _ in range(count):
        run_step(
            context,
            lambda voter: voter_history.accept_rows(1, voter.replica.accepted[1] + 1)(voter),
        )
    remaining_files = set(context.model.listdir(folder_model.FOLDER)) & superseded_files
    assert superseded_files
    assert not remaining_files, sorted(remaining_files)


@behave.when('it writes a snapshot in chunks while {count:d} changes are made')
def snapshot_is_written_in_chunks(context, count: int):
    context.chunk_sizes = []
    write_chunk = context.disk.write_chunk

    def recording_write_chunk(name, text, first):
        context.chunk_sizes.append(len(text))
        write_chunk(name, text, first)

    context.disk.write_chunk = recording_write_chunk
    for number in range(FIRST_NUMBER + 1, FIRST_NUMBER + 1 + count):
        run_step(context, voter_history.accept_rows(1, number))
        if number == SNAPSHOT_NUMBER:
            run_step(context, voter_history.begin_snapshot)
        elif number > SNAPSHOT_NUMBER and context.voter.snapshots.open_snapshot is not None:
            run_step(context, voter_history.write_next_chunk)


@behave.then('no chunk delayed a heartbeat by more than {kilobytes:d} KB of writing')
def chunks_are_small(context, kilobytes: int):
    assert len(context.chunk_sizes) > 20, len(context.chunk_sizes)
    assert max(context.chunk_sizes) <= kilobytes * 1000, max(context.chunk_sizes)


@behave.then('it restarts from that snapshot with the state that it had')
def voter_restarts_from_snapshot(context):
    files = folder_model.open_disk(context.model).load()
    restarted = voter_history.new_voter(files, context.settings)
    assert storage.snapshot_name((1, SNAPSHOT_NUMBER)) in files, sorted(files)[:5]
    assert restarted.history.changes[0].base == (1, SNAPSHOT_NUMBER), restarted.history.changes[0]
    assert voter_history.durable_state_of(restarted) == voter_history.durable_state_of(context.voter)
