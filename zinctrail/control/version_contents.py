"""The binding of item versions to contents: a version belongs to the first content acknowledged under it.

The content of the version in force is the item's own row. The digests of
superseded contents are rows of table `contents`, which only voters store:
{"VERSION/ITEM": [digest, epoch in which it was stored]}.

A version below the one in force changes nothing and is acknowledged. The digest
of its content is stored too, but only if no digest was ever dropped: then no
acknowledged content is missing, and the version is certainly unused.
"""

import base64
import hashlib
import json
import typing

import zinctrail.consensus.transactions as transactions

TABLE = 'contents'
# The JSON of an item; None, a dropped item, is a content as well.
Content = typing.Mapping[str, typing.Any] | None
# The key of the row that is true if the digests of all contents ever acknowledged are stored; absent in states of
# earlier releases.
COMPLETE = 'complete'
# A multiple of three, so that its base64 text has no padding. Each change of an item sends one to every voter.
DIGEST_BYTES = 12
# A day holds hundreds of changes, most of a few items; this many digests are about 1 MB of state.
MAX_DIGESTS = 16384


def digest(row: Content) -> str:
    """Return the digest of an item's content."""
    text = json.dumps(_canonical(row), sort_keys=True, separators=(',', ':'))
    made = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(made).decode()


def is_same(one: Content, other: Content) -> bool:
    """True if two contents are the same.

    Most comparisons need no digest, which matters because calls with many items are often retried.
    """
    if one == other and _same_kinds(one, other):
        return True
    return digest(one) == digest(other)


def _same_kinds(one: typing.Any, other: typing.Any) -> bool:
    """True if equal contents have booleans at the same places, since True equals 1 in Python."""
    if isinstance(one, dict):
        return all(_same_kinds(value, other[key]) for key, value in one.items())
    if isinstance(one, list):
        return all(map(_same_kinds, one, other))
    return isinstance(one, bool) == isinstance(other, bool)


def _canonical(value: typing.Any) -> typing.Any:
    """Return a value with integral floats as integers, since some JSON writers turn 3.0 into 3."""
    if isinstance(value, dict):
        return {key: _canonical(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [_canonical(inner) for inner in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def initialize(txn: transactions.Transaction) -> None:
    """Mark the stored digests as complete, if the first items of a cluster are about to be stored."""
    if txn.get(TABLE, COMPLETE) is None and not txn.items('items'):
        txn.put(TABLE, COMPLETE, True)


def stored_digest(txn: transactions.Transaction, key: str, version: int) -> str | None:
    """Return the digest of a superseded version's content, or None."""
    row = txn.get(TABLE, _row_key(key, version))
    return row[0] if row else None


def store_digest(txn: transactions.Transaction, key: str, version: int, content: str) -> None:
    """Store the digest of a content that is not in force."""
    epoch = txn.get('meta', 'epoch') or 0
    txn.put(TABLE, _row_key(key, version), [content, epoch])


def is_complete(txn: transactions.Transaction) -> bool:
    """True if the digests of all contents ever acknowledged are stored."""
    return txn.get(TABLE, COMPLETE) is True


def trim(txn: transactions.Transaction) -> None:
    """Drop the oldest digests beyond MAX_DIGESTS; from then on the stored digests are incomplete."""
    rows = {key: row for key, row in txn.items(TABLE).items() if key != COMPLETE}
    excess = len(rows) - MAX_DIGESTS
    if excess <= 0:
        return
    oldest_first = sorted(rows, key=lambda key: (rows[key][1], key))
    for key in oldest_first[:excess]:
        txn.drop(TABLE, key)
    txn.put(TABLE, COMPLETE, False)


def _row_key(key: str, version: int) -> str:
    # The version comes first, since a name may contain any separator.
    return f'{version}/{key}'
