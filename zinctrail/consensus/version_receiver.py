"""Receives versions of the replicated state from the leader: as full tables, as rows on a base, or in chunks."""

import typing

import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.codec as codec
import zinctrail.consensus.messages as messages
import zinctrail.consensus.replica as replica

NO_VERSION = (0, 0)

Version = replica.Version
Rows = replica.Rows
Tables = replica.Tables


class ReceivingMember(typing.Protocol):
    """The interface of the member that VersionReceiver uses."""

    role: str
    cluster: str
    term: int
    # The leader that this member follows.
    leader: messages.LeaderRow | None
    replica: replica.Replica

    def follow(self, message: typing.Any) -> bool:
        """Follow the sender of a leader's message; return False if the message's term is older than this member's."""

    def send_message(self, address: str, message: codec.Message) -> None:
        """Send a message to another process."""

    def log(self, text: str, event: str = '', **fields: typing.Any) -> None:
        """Log a sentence about an event."""

    def accept(self, version: Version, base: Version | None, rows: Rows | None, tables: Tables | None) -> None:
        """Accept a version: `rows` on `base`, or a full state in `tables`."""

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: Rows) -> None:
        """Handle the rows of a chunk that was added to a transfer."""

    def commit(self, version: Version) -> None:
        """Commit the accepted versions up to and including `version`."""


class VersionReceiver:
    """Handles a leader's messages about versions, and responds whether they were accepted."""

    def __init__(self, member: ReceivingMember) -> None:
        self.member = member
        # The chunked transfer that is being received.
        self.incoming: chunked_transfer.Incoming | None = None

    def on_publish(self, message: messages.Publish) -> None:
        """Accept a version if it may follow the accepted one, and apply the commit that it carries."""
        member = self.member
        if not member.follow(message):
            self.refuse_version(message)
            return
        version, base, tables = message.version, message.base or NO_VERSION, message.tables
        if member.replica.accepted in (message.between or ()):
            base = member.replica.accepted
        is_accepted = member.replica.accepted == version
        if not is_accepted and member.replica.fits(version, base, tables is not None):
            member.cluster = member.cluster or codec.sender_of(message).cluster
            member.accept(version, base, message.rows, tables)
            is_accepted = True
        self.respond(message, is_accepted)
        if message.committed:
            member.commit(message.committed)

    def refuse_version(self, message: messages.Publish | messages.Chunk) -> None:
        """Refuse a version of a leader of an older term; the response has only our term, which is all it needs."""
        self.member.send_message(
            codec.sender_of(message).address,
            messages.PublishResponse(term=self.member.term, version=message.version, is_accepted=False),
        )

    def respond(self, message: messages.Publish | messages.Chunk, is_accepted: bool) -> None:
        """Tell the leader whether its version was accepted, and which version is accepted here now."""
        self.member.send_message(
            codec.sender_of(message).address,
            messages.PublishResponse(
                term=self.member.term,
                version=message.version,
                is_accepted=is_accepted,
                accepted=self.member.replica.accepted,
            ),
        )

    def on_chunk(self, message: messages.Chunk) -> None:
        """Add a chunk to its transfer, and accept the version with the last chunk."""
        member = self.member
        if not member.follow(message):
            self.refuse_version(message)
            return
        version, base = message.version, message.base
        if member.replica.accepted == version:
            self.respond(message, True)
            return
        if not member.replica.fits(version, base, base is None):
            # Refused at the first chunk, because all further chunks would be sent in vain.
            self.respond(message, False)
            return
        key = chunked_transfer.TransferKey(codec.sender_of(message).node, message.term, version, base)
        if self.incoming is None or self.incoming.key != key:
            self.incoming = chunked_transfer.Incoming(key)
        incoming = self.incoming
        if message.number == incoming.received:
            incoming.add_chunk(message.rows)
            member.chunk_received(incoming, message.rows)
            if message.digest is not None:
                self.incoming = None
                self.respond(message, self.accept_transfer(incoming, message, message.digest))
                return
        member.send_message(
            codec.sender_of(message).address,
            messages.ChunkResponse(term=member.term, version=version, base=base, received=incoming.received),
        )

    def accept_transfer(self, incoming: chunked_transfer.Incoming, message: messages.Chunk, digest: str) -> bool:
        """Accept a received transfer if its digest matches and it may follow the accepted version."""
        version, base = incoming.key.version, incoming.key.base
        if not incoming.matches(digest):
            self.member.log(
                f'Version {version} refused: its rows have another digest than its sender reported.',
                'digest',
                at=list(version),
            )
            return False
        if not self.member.replica.fits(version, base, base is None):
            return False
        self.member.cluster = self.member.cluster or codec.sender_of(message).cluster
        self.member.accept(version, base, incoming.rows, incoming.tables)
        return True

    def drop_foreign_transfer(self) -> None:
        """Drop a transfer from a leader other than the present one, or of another term."""
        if self.incoming is None:
            return
        key = self.incoming.key
        leader = self.member.leader
        if leader is None or (key.sender, key.term) != (leader['id'], self.member.term):
            self.incoming = None

    def on_commit(self, message: messages.Commit) -> None:
        """Apply a commit and acknowledge it; voters acknowledge with their next heartbeat response, soon enough."""
        if not self.member.follow(message):
            return
        self.member.commit(message.version)
        if self.member.role != 'core':
            self.member.send_message(
                codec.sender_of(message).address,
                messages.CommitResponse(term=self.member.term, version=self.member.replica.committed),
            )
