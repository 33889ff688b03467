"""Bounds the memory that Twisted uses for the names of HTTP headers.

Twisted caches the canonical form of the first 10,000 names that a process sees,
for as long as it runs, and each may be as long as a whole header.
"""

import typing

import twisted.web.http_headers as http_headers

# Names of at most this many characters are cached; the headers that clients and endpoints use are shorter.
MAX_CACHED_LENGTH = 64


class ShortNames(dict):
    """A cache that takes short names only."""

    def __setitem__(self, name: str | bytes, canonical: bytes) -> None:
        if len(name) <= MAX_CACHED_LENGTH:
            super().__setitem__(name, canonical)


def limit_cache() -> None:
    """Make Twisted cache short names only, in this process."""
    encoder: typing.Any = http_headers._nameEncoder
    if not isinstance(encoder._canonicalHeaderCache, ShortNames):
        encoder._canonicalHeaderCache = ShortNames(encoder._canonicalHeaderCache)
