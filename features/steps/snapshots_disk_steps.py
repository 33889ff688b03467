"""Steps of snapshots_disk.feature: a loss of power at every step of transport.disk."""

import behave

import features.support.folder_model as folder_model
import features.support.voter_history as voter_history
import zinctrail.consensus.storage as storage
import zinctrail.errors as errors

HISTORIES = {
    'small': voter_history.SMALL_STATE,
    'large': voter_history.LARGE_STATE,
    'large, with chunked snapshots,': voter_history.LARGE_STATE_CHUNKED,
}


def start_history(context, size):
    """Start a voter on an empty folder, and select the steps that it will take."""
    context.history = HISTORIES[size]
    context.model = folder_model.FolderModel()
    context.voter = voter_history.new_voter({})
    # The folders that a loss of power left and that were checked, and the violations found in them.
    context.tried_folders = set()
    context.violations = []
    # The number of folders that a second loss of power left.
    context.folders_after_second_loss = 0


def run_step(model, modelled_disk, voter, step, check):
    """Take a step; check(acknowledged, written) is called at every step of the disk.

    Both are the durable state of the voter: before the step, as acknowledged, and after it.
    """
    acknowledged = voter_history.durable_state_of(voter)
    step(voter)
    written = voter_history.durable_state_of(voter)
    model.after_step = lambda: check(acknowledged, written)
    voter_history.run_disk_effects(voter, modelled_disk)
    model.after_step = lambda: None


def run_history(model, voter, steps, check):
    """Take steps one after the other, as `run_step` does."""
    modelled_disk = folder_model.open_disk(model)
    try:
        for step in steps:
            run_step(model, modelled_disk, voter, step, check)
    finally:
        folder_model.restore_os()


def lose_power_everywhere(context, examine):
    """Call examine(acknowledged, written, entries, contents) once for each folder that a loss of power may leave."""

    def check(acknowledged, written):
        for entries, contents in context.model.possible_remains():
            key = (tuple(sorted(entries.items())), tuple(contents))
            if key in context.tried_folders:
                continue
            context.tried_folders.add(key)
            examine(acknowledged, written, entries, contents)

    run_history(context.model, context.voter, context.history, check)


def check_folder(context, acknowledged, written, entries, contents):
    """Record a folder that does not load, lacks acknowledged state, or holds state that was never written."""
    try:
        loaded = voter_history.durable_state_in(folder_model.files_of(entries, contents))
    except errors.CorruptionError as error:
        context.violations.append((sorted(entries), str(error)))
        return
    is_newer = loaded.accepted > written.accepted or loaded.term > written.term
    if loaded.is_older_than(acknowledged) or is_newer:
        context.violations.append((sorted(entries), loaded, acknowledged))


@behave.given('a modelled folder on which a voter of a {size} state writes terms, changes and snapshots')
def voter_on_modelled_folder(context, size: str):
    start_history(context, size)


@behave.when('the power is lost at each step, with each choice of entries and bytes preserved')
def power_is_lost_at_each_step(context):
    def examine(acknowledged, written, entries, contents):
        check_folder(context, acknowledged, written, entries, contents)

    lose_power_everywhere(context, examine)


def check_folders_tried(context):
    """Fail if a violation was found, or if not more than 100 folders were tried."""
    assert len(context.tried_folders) > 100, len(context.tried_folders)
    assert not context.violations, (len(context.violations), context.violations[:3])


@behave.then('every folder left loads a state no older than the last acknowledgement')
def every_folder_loads(context):
    check_folders_tried(context)


def restart_and_write(context, entries, contents):
    """Restart a voter on a folder that was left and let it write; the power may be lost at each of its steps."""
    model = folder_model.FolderModel(entries, contents)
    modelled_disk = folder_model.open_disk(model)

    def check(acknowledged, written):
        for entries_left, contents_left in model.possible_remains():
            context.folders_after_second_loss += 1
            check_folder(context, acknowledged, written, entries_left, contents_left)

    voter = voter_history.new_voter(modelled_disk.load())
    if voter.replica.accepted == storage.NO_VERSION:
        return
    for step in voter_history.AFTER_RESTART:
        run_step(model, modelled_disk, voter, step, check)
        loaded = voter_history.durable_state_in(folder_model.files_of(model.entries, model.newest_contents()))
        if loaded != voter_history.durable_state_of(voter):
            context.violations.append((sorted(entries.items()), loaded, voter_history.durable_state_of(voter)))


@behave.when('the voter restarts on each folder left, overwrites old files and may lose power once more')
def voter_goes_on_after_loss(context):
    def examine(acknowledged, written, entries, contents):
        try:
            restart_and_write(context, entries, contents)
        except errors.CorruptionError as error:
            context.violations.append((sorted(entries.items()), str(error)))
        finally:
            # The first voter continues on its own folder.
            folder_model.open_disk(context.model)

    lose_power_everywhere(context, examine)


@behave.then('every file that counts is as it was written')
def files_are_as_written(context):
    assert context.folders_after_second_loss > 10000, context.folders_after_second_loss
    check_folders_tried(context)


@behave.given('a modelled folder with a damaged snapshot')
def folder_with_damaged_snapshot(context):
    start_history(context, 'small')
    run_history(context.model, context.voter, context.history, lambda acknowledged, written: None)
    model = context.model
    name = max(path for path in model.entries if 'ckpt-' in path)
    inode = model.inodes[model.entries[name]]
    inode[0] = inode[1] = b'0' + inode[1][1:-1] + b'?'


@behave.when('the power is lost at each step of setting it aside')
def power_is_lost_while_setting_aside(context):
    model = context.model
    context.folders_left = []
    modelled_disk = folder_model.open_disk(model)

    def record_folders():
        for entries, contents in model.possible_remains():
            context.folders_left.append(folder_model.files_of(entries, contents))

    model.after_step = record_folders
    try:
        modelled_disk.set_aside()
    finally:
        folder_model.restore_os()


@behave.then('every folder left is empty, damaged, or loads without an identity')
def no_folder_has_identity(context):
    assert len(context.folders_left) > 20, len(context.folders_left)
    for files in context.folders_left:
        try:
            loaded = storage.load(files)
        except errors.CorruptionError:
            continue
        assert loaded.node is None, (sorted(files), loaded)
