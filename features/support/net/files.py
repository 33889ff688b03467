"""Damaged files of a control node's data folder."""

import random
import typing

import hypothesis.strategies as st

import features.support.machine_host as machine_host
import features.support.net.documents as documents
import zinctrail.control.controller as controller
import zinctrail.errors as errors
import zinctrail.runtime.settings as settings
import zinctrail.transport.disk as transport_disk


class Damage(typing.NamedTuple):
    """What happens to one file, drawn by its place in the order of names."""

    file: int
    share: float
    kind: str
    text: str


DAMAGES = st.builds(
    Damage,
    st.integers(0, 30),
    st.integers(0, 99).map(lambda part: part / 100),
    st.sampled_from(['changed', 'cut', 'longer', 'emptied']),
    st.text(min_size=1, max_size=5),
)


class Folder:
    """The files of a node that has acknowledged several pools."""

    def __init__(self) -> None:
        leader = documents.Leader()
        for number in range(3):
            assert leader.node.set_pools({'name': f'pool{number}', 'version': 1}) == 200
        self.pools = set(leader.node.pools())
        self.leader = leader
        self.files = transport_disk.Disk.load(leader.node.disk)

    def damaged(self, damage: Damage) -> dict[str, str]:
        """Return the files with one of them damaged."""
        files = dict(self.files)
        name = sorted(files)[damage.file % len(files)]
        text = files[name]
        place = int(damage.share * len(text))
        files[name] = {
            'changed': text[:place] + damage.text + text[place + len(damage.text) :],
            'cut': text[:place],
            'longer': text + damage.text,
            'emptied': '',
        }[damage.kind]
        return files


def check_damage(folder: Folder, damage: Damage) -> None:
    """A start on damaged files either has all that was acknowledged, or says that the folder is damaged."""
    files = folder.damaged(damage)
    try:
        machine = controller.Controller(
            machine_host.location_of('a'), settings.Settings(), random.Random(1), dict(files)
        )
    except errors.DiskError:
        return
    state = machine.replica.full_state()
    pools = {key.removeprefix('pools/') for key in state.get('items', {}) if key.startswith('pools/')}
    assert pools == folder.pools, (damage, pools)
