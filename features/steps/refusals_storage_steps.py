"""Steps of refusals.feature that check the data folder."""

import dataclasses
import hashlib
import json
import random

import behave

import features.support.machine_host as machine_host
import zinctrail.consensus.storage as storage
import zinctrail.control.controller as controller
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.simulation.disk as disk

TERM = 3
FIRST_VERSION = (TERM, 9)


@behave.given('voter a of a,b,c that writes a snapshot with every version')
def voter_with_snapshots(context):
    files = machine_host.data_folder('a', list('abc'), TERM, FIRST_VERSION)
    bounds = dataclasses.replace(settings.Settings(), checkpoint_every=1)
    machine = controller.Controller(machine_host.location_of('a'), bounds, random.Random(1), files)
    context.host = machine_host.MachineHost(machine)
    context.disk = disk.Disk()
    context.disk.files = dict(files)
    carry_out(context, context.host.feed('start'))


def carry_out(context, outputs: list) -> None:
    """Apply the machine's writes to the disk."""
    for effect in outputs:
        if isinstance(effect, effects.Write | effects.WriteChunk | effects.CommitChunks):
            context.disk.carry_out(effect)


@behave.when('b sends versions 3.{first:d} to 3.{last:d}, each in chunks, as changes of the one before')
def versions_in_chunks(context, first, last):
    for number in range(first, last + 1):
        rows = [['keys', f'k{number}', {'value': 'x' * 100, 'rev': number}]]
        digest = hashlib.sha256(json.dumps(rows[0], separators=(',', ':')).encode()).hexdigest()
        fields = {'at': (TERM, number), 'base': (TERM, number - 1), 'number': 0, 'rows': rows, 'digest': digest}
        carry_out(context, context.host.recv('b', 'piece', term=TERM, http='', **fields))
    assert context.host.machine.replica.accepted == (TERM, last)


@behave.then('its data folder holds all that it has accepted, in a snapshot')
def folder_holds_all(context):
    files = {name: text for name, text in context.disk.files.items() if not name.endswith('.tmp')}
    loaded = storage.load(files).replica
    accepted = context.host.machine.replica
    assert loaded.accepted == accepted.accepted and loaded.full_state() == accepted.full_state(), loaded.full_state()
    snapshots = [name for name in files if name.startswith(storage.SNAPSHOT_PREFIX)]
    assert max(map(storage.version_of, snapshots)) > FIRST_VERSION, sorted(files)
