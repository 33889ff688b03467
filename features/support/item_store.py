"""The replicated state of configuration items, with its files, and changes in a short notation.

A change is written `NAME:VERSION=LETTER>POOL` for a rule, `NAME:VERSION=LETTER`
for a pool or the limits, and `NAME:VERSION-` for what is dropped; several are
joined by ` + `. The letter determines the content.
"""

import collections.abc
import json
import typing

import zinctrail.consensus.replica as replica
import zinctrail.consensus.storage as storage
import zinctrail.consensus.transactions as transactions
import zinctrail.control.configuration_items as configuration_items
import zinctrail.control.version_contents as version_contents
import zinctrail.runtime.durations as durations

TERM = 1
# The part of the configuration that an item belongs to, by the first letter of its name.
PARTS = {'r': 'rules', 'p': 'pools', 'q': 'pools', 'l': 'limits'}

Document = dict[str, typing.Any]


def rule(name: str, version: int, letter: str, pool: str) -> Document:
    """Return a rule whose content is determined by a letter."""
    return {
        'name': name,
        'version': version,
        'host': 'h',
        'prefix': f'/{name}/',
        'once': False,
        'timeout_ms': 1000 + ord(letter),
        'pool': pool,
    }


def parse_change(text: str) -> Document:
    """Return the document of a change in the short notation."""
    sets: Document = {'rules': [], 'pools': []}
    drops: Document = {'rules': [], 'pools': []}
    for word in text.split(' + '):
        name, _, rest = word.partition(':')
        part = PARTS[name[0]]
        if rest.endswith('-'):
            drops[part].append({'name': name, 'version': int(rest[:-1])})
            continue
        version, _, content = rest.partition('=')
        letter, _, pool = content.partition('>')
        if part == 'limits':
            sets['limits'] = {'version': int(version), 'idle_ms': 1000 + ord(letter)}
        elif part == 'pools':
            sets['pools'].append({'name': name, 'version': int(version), 'connections': ord(letter or 'a')})
        else:
            sets['rules'].append(rule(name, int(version), letter, pool))
    return {'set': sets, 'drop': drops}


# The result of a step in a transaction.
Result = collections.abc.Mapping[str, typing.Any]


class ItemStore:
    """Holds the replicated state of items and its files; applies changes to it."""

    def __init__(self):
        self.replica = replica.Replica()
        self.files = {
            'node': storage.encode({'id': 'a', 'format': storage.FORMAT}),
            'term': storage.encode({'term': TERM, 'vote': None}),
        }

    def run(self, step: collections.abc.Callable[[transactions.Transaction], Result]) -> Result:
        """Run a step in a transaction and commit the changed rows; return its result."""
        version = (TERM, self.replica.accepted[1] + 1)
        transaction = transactions.Transaction(self.replica, version, durations.ZERO)
        result = transaction.run(step)
        rows = transaction.rows()
        if rows:
            document = {'term': version[0], 'gen': version[1], 'base': self.replica.accepted, 'rows': rows}
            self.files[storage.version_name(version)] = storage.encode(document)
            self.replica.accept(version, rows=json.loads(json.dumps(rows)))
            self.replica.commit(version)
        return result

    def change(self, text: str) -> Result:
        """Apply a change in the short notation; return its result."""
        return self.run(lambda transaction: configuration_items.apply(transaction, parse_change(text)))

    def begin_epoch(self) -> None:
        """Begin the next epoch, and trim the digests."""

        def step(transaction: transactions.Transaction) -> Document:
            transaction.put('meta', 'epoch', (transaction.get('meta', 'epoch') or 0) + 1)
            version_contents.trim(transaction)
            return {'status': 200}

        self.run(step)

    def apply_event(self, text: str) -> None:
        """Run one of EVENTS, or apply a change that must be accepted."""
        if text in EVENTS:
            EVENTS[text](self)
        else:
            assert self.change(text)['status'] == 200, text

    def write_snapshot(self) -> None:
        """Replace the files of versions by a snapshot."""
        version = self.replica.accepted
        document = {'term': version[0], 'gen': version[1], 'tables': self.replica.full_state()}
        self.files = {name: text for name, text in self.files.items() if not name.startswith('gen-')}
        self.files[storage.snapshot_name(version)] = storage.encode(document)

    def restart(self) -> None:
        """Load the state from the files."""
        self.replica = storage.load(self.files).replica
        self.replica.commit(self.replica.accepted)

    def transfer(self) -> None:
        """Send the full state to a new node, which replaces this one."""
        tables = json.loads(json.dumps(self.replica.full_state()))
        new_replica = replica.Replica()
        new_replica.accept(self.replica.accepted, tables=tables)
        new_replica.commit(self.replica.accepted)
        self.replica = new_replica
        self.write_snapshot()

    def restart_from_earlier_release(self) -> None:
        """Load files as the previous release wrote them: items without the digests of their versions."""
        self.replica.tables.pop(version_contents.TABLE)
        self.write_snapshot()
        self.restart()

    def item(self, key: str) -> Document:
        """Return the row of an item."""
        return self.replica.get('items', key)

    def read(self) -> Document:
        """Return all items, as an operator reads them."""
        view = transactions.View(self.replica, self.replica.committed, durations.ZERO)
        return configuration_items.read(view)


EVENTS: dict[str, collections.abc.Callable[[ItemStore], None]] = {
    'none': lambda store: None,
    'restart': ItemStore.restart,
    'checkpoint': ItemStore.write_snapshot,
    'snapshot': ItemStore.transfer,
    'old disk': ItemStore.restart_from_earlier_release,
}
