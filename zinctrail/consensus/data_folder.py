"""The voter's view of its data folder: the names of its files, and the effects that write and remove them."""

import typing

import zinctrail.consensus.storage as storage
import zinctrail.runtime.effects as effects


class FolderOwner(typing.Protocol):
    """The interface of the voter that DataFolder uses."""

    # The effects of the input that is being handled.
    out: list


class DataFolder:
    """Writes files by effects, and tracks which files the folder holds.

    :param files: the folder as it was found, {name: text}.
    """

    def __init__(self, voter: FolderOwner, files: dict[str, str]) -> None:
        self.voter = voter
        self.files = set(files)

    def write(
        self, name: str, document: typing.Any, obsolete: typing.Iterable[str] = (), may_be_read: bool = False
    ) -> int:
        """Write a file durably, then remove the `obsolete` ones; returns the length of its text.

        With `may_be_read` a loader may still read the obsolete files, so they are removed but not overwritten.
        """
        obsolete = tuple(obsolete)
        text = storage.encode(document)
        self._note(name, obsolete)
        self.voter.out.append(effects.Write(name, text, obsolete, may_be_read))
        return len(text)

    def write_chunk(self, name: str, text: str, first: bool = False) -> None:
        """Append text to a file that is written in chunks; with `first`, begin the file."""
        self.voter.out.append(effects.WriteChunk(name, text, first))

    def commit_chunks(self, name: str, head: str, obsolete: tuple[str, ...]) -> None:
        """Complete a file that was written in chunks by writing its first bytes, then remove the `obsolete` files."""
        self._note(name, obsolete)
        self.voter.out.append(effects.CommitChunks(name, head, obsolete))

    def state_files(self) -> list[str]:
        """Return the names of all snapshots and version files, sorted."""
        return sorted(name for name in self.files if name.startswith(storage.STATE_PREFIXES))

    def _note(self, name: str, obsolete: tuple[str, ...]) -> None:
        self.files.add(name)
        self.files -= set(obsolete)
