"""zinctrail-controller: a control node. Votes, leads when elected, stores its state under --data.

zinctrail-controller --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C --data=FOLDER
"""

import random

import absl.flags
import absl.logging

import zinctrail.consensus.node_location as node_location
import zinctrail.control.controller as controller
import zinctrail.errors as errors
import zinctrail.runtime.settings as settings
import zinctrail.transport.disk as transport_disk
import zinctrail.transport.program as program


def make(
    location: node_location.NodeLocation, settings_: settings.Settings, rng: random.Random
) -> tuple[controller.Controller, transport_disk.Disk]:
    """Create the state machine, with the state loaded from its data folder, and the disk that it writes to."""
    if not program.FLAGS.data:
        raise errors.SettingsError('--data: is missing')
    location.directory = program.FLAGS.directory
    disk = transport_disk.Disk(program.FLAGS.data)
    if disk.has_set_aside():
        location.first_start = False
    try:
        return controller.Controller(location, settings_, rng, disk.load()), disk
    except errors.CorruptionError as error:
        # A node that lost part of its state must not vote under the identity that made promises, so it gets a new one.
        aside = disk.set_aside()
        absl.logging.error(
            'core: data folder is damaged (%s); files moved to %s, starting with a new identity.', error, aside
        )
        location.first_start = False
        return controller.Controller(location, settings_, rng, {}), disk


def run(dialect=None, argv: list[str] | None = None, changed_command_line=None) -> None:
    """Run the program; the parameters are those of `transport.program.serve`."""
    absl.flags.DEFINE_string('data', '', 'The data folder.')
    absl.flags.DEFINE_bool('directory', False, 'Also answer lookups, as a zinctrail-directory does.')
    program.serve(__doc__, make, dialect, argv, changed_command_line)


if __name__ == '__main__':
    run()
