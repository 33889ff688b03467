"""A process in a measured cluster: hosts a state machine and counts its messages, bytes and processor time."""

import collections
import collections.abc
import datetime
import json
import time

import zinctrail.runtime.effects as effects
import zinctrail.transport.peer_connections as peer_connections


class Process:
    """Holds a state machine and its counts.

    :param rig: the cluster (`rig.Rig`), which has the clock and delivers frames.
    :param is_complete: True if the machine has its own copy of the state and decodes received frames.
    """

    def __init__(self, rig, role: str, machine, is_complete: bool):
        self.rig, self.role, self.machine, self.is_complete = rig, role, machine, is_complete
        self.address = machine.location.addr
        self.zone = machine.location.cell
        # The real encoder of frames, without any connection: the size of its output is counted.
        self.connections = peer_connections.PeerConnections(
            None, rig.settings.frame_most, lambda frame: None, lambda address: None
        )
        self.is_up = False
        self.wake_at: datetime.timedelta | None = None
        # Counts of messages, bytes, writes, fetches and endpoint heartbeats, by name.
        self.counts: collections.Counter[str] = collections.Counter()
        # Frames sent, by kind.
        self.frame_kinds: collections.Counter[str] = collections.Counter()
        self.cpu_ns = 0
        self.responses: dict[int, effects.HttpResponse] = {}

    def feed(self, kind: str, *arguments) -> None:
        """Feed an input to the machine and carry out its effects; does nothing if the process is down."""
        if not self.is_up:
            return
        began = time.thread_time_ns()
        for effect in self.machine.feed(kind, self.rig.now, *arguments):
            carry_out = EFFECTS.get(type(effect))
            if carry_out is not None:
                carry_out(self, effect)
        self.cpu_ns += time.thread_time_ns() - began
        self.set_wake_up()

    def receive(self, frame: dict, data: bytes | None, size: int) -> None:
        """Receive a frame; does nothing if the process is down.

        :param data: the encoded frame, for a complete process; None for others.
        :param size: the bytes of the frame on the wire.
        """
        if not self.is_up:
            return
        self.counts['in'] += 1
        self.counts['in_bytes'] += size
        if data is not None:
            began = time.thread_time_ns()
            frame = self.decode(data)
            self.cpu_ns += time.thread_time_ns() - began
        self.feed('recv', frame)

    def decode(self, data: bytes) -> dict:
        """Decode a frame, compressed or not."""
        if data[:1] == peer_connections.COMPRESSED:
            data = peer_connections.decompress_frame(data, self.rig.settings.frame_most)
        return json.loads(data)

    def set_wake_up(self) -> None:
        """Schedule the machine's next timer, unless an earlier one is scheduled."""
        due = self.machine.next_timer()
        if due is not None and (self.wake_at is None or due < self.wake_at):
            self.wake_at = max(due, self.rig.now)
            self.rig.at(self.wake_at, self.wake, self.wake_at)

    def wake(self, at: datetime.timedelta) -> None:
        """Fire the timers that are due, if this wake-up is still the next one."""
        if self.wake_at == at and self.is_up:
            self.wake_at = None
            self.feed('wake')

    # -- effects -----------------------------------------------------------

    def do_send(self, effect: effects.Send) -> None:
        """Pass a frame to the rig for delivery."""
        self.rig.carry(self, effect.address, effect.frame, effect.may_compress)

    def do_response(self, effect: effects.HttpResponse) -> None:
        """Store a response by request id."""
        self.counts['http_out_bytes'] += len(effect.body)
        self.responses[effect.request_id] = effect

    def do_write(self, effect: effects.Write) -> None:
        """Count a write and its bytes."""
        self.counts['writes'] += 1
        self.counts['write_bytes'] += len(effect.text)

    def do_write_chunk(self, effect: effects.WriteChunk) -> None:
        """Count the bytes of a chunk."""
        self.counts['write_bytes'] += len(effect.text)

    def do_commit_chunks(self, effect: effects.CommitChunks) -> None:
        """Count the file that the chunks make up as one write."""
        self.counts['writes'] += 1

    def do_fetch(self, effect: effects.HttpFetch) -> None:
        """Count an outgoing HTTP request."""
        self.counts['fetches'] += 1


# Handlers by effect type; effects of other types are not counted.
EFFECTS: dict[type, collections.abc.Callable] = {
    effects.Send: Process.do_send,
    effects.HttpResponse: Process.do_response,
    effects.Write: Process.do_write,
    effects.WriteChunk: Process.do_write_chunk,
    effects.CommitChunks: Process.do_commit_chunks,
    effects.HttpFetch: Process.do_fetch,
}
