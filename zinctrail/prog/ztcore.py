"""ztcore: a control node. Votes, leads when elected, keeps the state under --data.

ztcore --addr=IP:PORT --http=IP:PORT --cell=CELL --seeds=A,B,C --data=FOLDER
"""

import absl.flags
import absl.logging

import zinctrail.ctl.core as core
import zinctrail.edge.disk as disk_
import zinctrail.edge.main as main
import zinctrail.faults as faults


def make(place, bounds, rng):
    if not main.FLAGS.data:
        raise faults.SettingFault('--data: is missing')
    place.directory = main.FLAGS.directory
    disk = disk_.Disk(main.FLAGS.data)
    try:
        return core.Core(place, bounds, rng, disk.load()), disk
    except faults.DamageFault as e:
        # Why a new identity: a memory with holes must not vote as the one that promised.
        aside = disk.set_aside()
        absl.logging.error('core: data is damaged (%s); set aside in %s, starts as somebody new.', e, aside)
        return core.Core(place, bounds, rng, {}), disk


def run(dialect=None, argv=None, again=None):
    absl.flags.DEFINE_string('data', '', 'The data folder.')
    absl.flags.DEFINE_bool('directory', False, 'Give standing answers too.')
    main.serve(__doc__, make, dialect, argv, again)


if __name__ == '__main__':
    run()
