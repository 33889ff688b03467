"""Records the data folder of a control node; features/data/format2 is such a recording.

    python -m features.support.folder_sample

writes the files of a node that led and applied an operation of most kinds, and
beside them their decoded content. It is run once for each format: every later
release must read the folder.
"""

import json
import os
import typing

import features.support.control_node as control_node
import features.support.machine_host as machine_host
import zinctrail.consensus.storage as storage
import zinctrail.runtime.effects as effects

DATA = os.path.join(os.path.dirname(__file__), '..', 'data')
FOLDER = os.path.join(DATA, 'format2')
CONTENT = os.path.join(DATA, 'format2.json')
ZONE = 'r0/c0'
POOL_ITEM = {'name': 's', 'version': 2, 'health': '/h', 'connections': 5, 'cold_s': 1.5, 'cold_per_s': 2.0}
CONFIGURATION = {
    'pools': {'loans': {'service': 'loans', 'selector': {'tier': ['a', 'b']}}},
    'rules': {'loans': {'match': {'kind': 'loan'}, 'pool': 'loans', 'deadline_ms': 900, 'repeat': {'attempts': 2}}},
    'cells': {ZONE: {'region': 'r0', 'evacuated': False}},
    'labels': {'10.1.0.1:80': {'tier': 'a'}},
}


def operations(epoch: int) -> list[tuple[str, dict[str, typing.Any]]]:
    """Return (operation, arguments) of each operation to apply."""
    endpoint = {'inc': 'e1', 'addr': '10.1.0.1:80', 'service': 'loans', 'cell': ZONE, 'slots': 4, 'state': 'ready'}
    request = {'id': f'{epoch}.r', 'attempt': 1, 'nonce': 'n', 'proxy': 'p', 'at': '10.2.0.1:1'}
    return [
        ('config.apply', {'config': CONFIGURATION, 'base': 0, 'id': f'{epoch}.c'}),
        ('items.apply', {'change': {'set': {'pools': [POOL_ITEM]}}}),
        ('beat', {**endpoint, 'seq': 1}),
        ('claim', request),
        ('close', {'id': request['id'], 'nonce': 'n'}),
        ('key.put', {'key': 'k', 'value': 'Gr\u00fc\u00dfe', 'id': f'{epoch}.k'}),
        ('key.put', {'key': 'gone', 'value': 'v', 'id': f'{epoch}.l'}),
        ('key.drop', {'key': 'gone', 'id': f'{epoch}.m'}),
        ('number.next', {'name': 'n', 'id': f'{epoch}.n'}),
        ('lock.hold', {'name': 'l', 'holder': 'x', 'lease_ms': 5000}),
        ('cell.put', {'group': 'g', 'key': 'c', 'name': 'c', 'value': 'v'}),
        ('cell.empty', {'cell': ZONE, 'on': True, 'id': 'o1', 'number': 0}),
    ]


class RecordedNode(control_node.ControlNode):
    """A control node whose files are stored in memory."""

    def __init__(self):
        voters, term, version = control_node.VOTERS, control_node.START_TERM, control_node.START_VERSION
        self.files: dict[str, str] = machine_host.data_folder('a', voters, term, version)
        super().__init__()

    def carry_out(self, effect: effects.Write) -> None:
        """Write a file, and remove those that it makes obsolete."""
        self.files[effect.name] = effect.text
        for name in effect.obsolete_files:
            self.files.pop(name, None)

    def feed(self, kind: str, *arguments) -> None:
        """Give the node an input, and store the files it writes."""
        original = self.machine.feed

        def feed_and_store(*inputs):
            feed_effects = original(*inputs)
            for effect in feed_effects:
                if isinstance(effect, effects.Write):
                    self.carry_out(effect)
            return feed_effects

        self.machine.feed = feed_and_store
        try:
            super().feed(kind, *arguments)
        finally:
            self.machine.feed = original


def content(files: dict[str, str]) -> dict[str, typing.Any]:
    """Return the decoded content of a data folder, as a document."""
    loaded = storage.load(files)
    return {
        'node': loaded.node,
        'cluster': loaded.cluster,
        'term': loaded.term,
        'vote': loaded.vote,
        'accepted': list(loaded.replica.accepted),
        'tables': loaded.replica.full_state(),
    }


def record() -> dict[str, str]:
    """Apply all operations at a new node, and return its files."""
    node = RecordedNode()
    node.serve()
    for operation, arguments in operations(node.machine.replica.get('meta', 'epoch')):
        result = node.operate(operation, **arguments)
        assert result['status'] == 200, (operation, result)
    return node.files


def main() -> None:
    """Write the folder, and its decoded content."""
    files = record()
    os.makedirs(FOLDER, exist_ok=True)
    for name, text in files.items():
        with open(os.path.join(FOLDER, name), 'w', encoding='utf-8') as file:
            file.write(text)
    with open(CONTENT, 'w', encoding='utf-8') as file:
        json.dump(content(files), file, indent=1, sort_keys=True)
        file.write('\n')


if __name__ == '__main__':
    main()
