"""The state machine that every process shares as a member: discovery, following a leader, holding a lease.

Roles extend it: zinctrail.consensus.voter adds elections and leadership,
zinctrail.directory.daemon and zinctrail.proxy.node add their use of the routes.
"""

import collections
import dataclasses
import uuid

import zinctrail
import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.codec as codec
import zinctrail.consensus.discovery as discovery
import zinctrail.consensus.following as following
import zinctrail.consensus.internal_errors as internal_errors
import zinctrail.consensus.member_status as member_status
import zinctrail.consensus.message_kinds as message_kinds
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.operation_requests as operation_requests
import zinctrail.consensus.replica as replica
import zinctrail.consensus.version_receiver as version_receiver
import zinctrail.errors as errors
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.settings as settings
import zinctrail.runtime.state_machine as state_machine

# One in this many malformed frames is logged.
BAD_FRAMES_PER_LOG = 1000
# The number of refused senders that are remembered, so that each is logged only once.
MAX_REFUSED_SENDERS = 1000
# The largest difference in wire level between a sender and this node; frames from other levels are refused.
MAX_LEVEL_DIFFERENCE = 1
# How long a process that shuts down waits for its last messages to be sent.
EXIT_DELAY = durations.ms(200)
# After how long a timer that failed runs again.
TIMER_RETRY = durations.ms(100)
# How long before the end of the grace period a process stops to send responses, so that it exits in time.
SEND_MARGIN = durations.ms(400)
# The settings of the location that take effect only at the next start of the process.
FIXED_LOCATION = ('addr', 'http', 'cell', 'front')


def as_version(pair) -> messages.Version:
    """Return a row's (term, generation) pair as a version; (0, 0) if the row is missing."""
    return tuple(pair) if pair else (0, 0)


class Member(
    discovery.Discovery,
    following.Following,
    operation_requests.OperationRequests,
    member_status.MemberStatus,
    state_machine.StateMachine,
):
    """A process of the cluster: its identity, message handling, start and shutdown."""

    role = ''
    prefix = 'member'
    level = zinctrail.WIRE_LEVEL

    def __init__(self, location: node_location.NodeLocation, bounds: settings.Settings, rng, node: str = ''):
        super().__init__(rng)
        self.location = location
        self.settings = bounds
        self.replica = replica.Replica()
        # Receives versions of the replicated state from the leader.
        self.version_receiver = version_receiver.VersionReceiver(self)
        # Generated at the start, because a process that returns without its state is a new node.
        self.node = node or uuid.UUID(int=rng.getrandbits(128), version=4).hex[:16]
        self.cluster = ''
        self.stopping = False
        # Until when responses that were begun are sent, once the process was asked to stop.
        self.send_until = durations.ZERO
        self.bad_frames = 0
        # Counters by name, for metrics.
        self.counts: collections.Counter[str] = collections.Counter()
        self.guard = internal_errors.Guard(self)
        # The (address, cluster) of senders whose frames are ignored.
        self.refused_senders = set()

    # -- sending ----------------------------------------------------------

    def frame(self, message: codec.Message) -> codec.Frame:
        """Encode a message, with this node as its sender, into a frame."""
        return codec.encode(message, codec.Sender(self.node, self.location.addr, self.cluster, self.level))

    def send_message(self, address: str, message: codec.Message):
        """Send a message."""
        self.send(address, self.frame(message))

    def member_row(self) -> messages.MemberRow:
        """Return the row that describes this process in the `members` table."""
        row = {
            'role': self.role,
            'addr': self.location.addr,
            'http': self.location.http,
            'cell': self.location.cell,
            'level': self.level,
        }
        if self.location.front:
            row['front'] = self.location.front
        return row

    # -- receiving --------------------------------------------------------

    def on_recv(self, frame: codec.Frame):
        """Receive one frame: count malformed ones, refuse those of another wire level or cluster.

        A frame is validated completely first, because a handler that failed
        half-way would leave an inconsistent state behind.
        """
        try:
            message = message_kinds.decode(frame)
        except errors.FrameError as error:
            self.bad_frames += 1
            if self.bad_frames % BAD_FRAMES_PER_LOG == 1:
                self.log(f'Ignored a malformed frame ({self.bad_frames} so far): {error}.')
            return
        handler = getattr(self, message.handler, None)
        if handler is None:
            return
        sender = message.sender
        if abs(sender.level - self.level) > MAX_LEVEL_DIFFERENCE:
            self.refuse_sender(sender, 'wire level')
        elif sender.cluster and self.cluster and sender.cluster != self.cluster:
            self.receive_from_other_cluster(message)
        elif sender.node != self.node:
            # A frame whose handler fails before it has changed anything is like a frame that was lost.
            self.guard.run(f'frame {type(message).__name__} of {sender.address}', handler, message)

    def progress(self) -> tuple:
        """Return a value that differs once this node has changed its state or has sent anything."""
        acts = sum(not isinstance(effect, effects.Log) for effect in self.out)
        return acts, self.replica.accepted, self.replica.committed, self.replica.tables_version, self.operation_number

    def run_timer(self, name: str) -> None:
        """Run a timer; one that fails before it has changed anything runs again soon, since nobody else would set it."""
        if self.guard.run(f'timer {name}', super().run_timer, name) is not None and name not in self.timers:
            self.set_timer(name, TIMER_RETRY)

    def receive_from_other_cluster(self, message: codec.Message):
        """Handle a message from another cluster than ours."""
        if isinstance(message, messages.Retired):
            self.cluster_retired(message)
        elif message.sender.cluster in (self.replica.get('meta', 'retired') or ()):
            # A node that was believed lost when its cluster was recovered must not act when it returns.
            self.send_message(message.sender.address, messages.Retired(clusters=self.replica.get('meta', 'retired')))
        elif not self.handle_other_cluster(message):
            self.refuse_sender(message.sender, 'cluster')

    def refuse_sender(self, sender: codec.Sender, mismatch: str):
        """Log once that frames of this sender are ignored, because its cluster or wire level (`mismatch`) differs."""
        key = (sender.address, sender.cluster)
        if key not in self.refused_senders:
            # Bounded, because unknown senders must not be able to fill our memory.
            if len(self.refused_senders) > MAX_REFUSED_SENDERS:
                self.refused_senders.clear()
            self.refused_senders.add(key)
            self.log(f'Peer {sender.address} refused: other {mismatch}.')

    def handle_other_cluster(self, message: codec.Message) -> bool:
        """Hook of the role: handle a message of another cluster; return False if its sender is to be refused."""
        return False

    def on_retired(self, message: messages.Retired):
        """Ignore the list of retired clusters if it comes from our own cluster, or while we are in none."""

    def cluster_retired(self, message: messages.Retired):
        """Leave our cluster if its operators retired it and another cluster replaced it."""
        if self.cluster not in message.clusters:
            return
        self.log(f'Cluster {self.cluster} was replaced by {message.sender.cluster}: its state is discarded.')
        self.term, self.leader, self.mode = 0, None, 'candidate'
        self.lease_until = None
        self.heartbeats_received.clear()
        self.timers.pop('leader', None)
        self.record_node(message.sender.address, message.sender.node, 'core', seen=True)
        self.forget_cluster()

    def forget_cluster(self):
        """Discard our cluster and its state, and restart discovery."""
        self.cluster = ''
        self.replica.reset()
        self.applied(None)
        self.restart_discovery()

    # -- versions ---------------------------------------------------------

    def on_publish(self, message: messages.Publish):
        """Handle a version that the leader published."""
        self.version_receiver.on_publish(message)

    def on_chunk(self, message: messages.Chunk):
        """Handle a chunk of a version sent by the leader."""
        self.version_receiver.on_chunk(message)

    def on_commit(self, message: messages.Commit):
        """Handle the leader's notice that a version is committed."""
        self.version_receiver.on_commit(message)

    def accept(
        self,
        version: messages.Version,
        base: messages.Version | None,
        rows: replica.Rows | None,
        tables: replica.Tables | None,
    ) -> None:
        """Accept a version: `rows` on top of `base`, or the complete state in `tables`."""
        self.replica.accept(version, rows=rows, tables=tables)
        self.persist(version, base, rows, tables)

    def persist(
        self,
        version: messages.Version,
        base: messages.Version | None,
        rows: replica.Rows | None,
        tables: replica.Tables | None,
    ) -> None:
        """Write an accepted version to disk; does nothing here, as only voters have a disk."""

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: replica.Rows) -> None:
        """Handle a chunk added to a transfer; only voters write it to disk."""

    def commit(self, version: messages.Version) -> None:
        """Commit all versions up to `version`, which was accepted before."""
        before = self.replica.committed
        rows = self.replica.commit(version)
        if self.replica.committed != before:
            self.rows_committed(rows)

    def rows_committed(self, rows: replica.Rows | None) -> None:
        """Handle newly committed rows; None stands for the complete state."""
        if rows is None or any(row[0] == 'members' for row in rows):
            for node, row in self.replica.get('members').items():
                self.record_node(row['addr'], node, row['role'])
        self.guard.run('taking up a version', self.applied, rows)

    def applied(self, rows: replica.Rows | None) -> None:
        """Hook of the role: handle newly committed rows; None stands for the complete state."""

    # -- start, settings, shutdown ----------------------------------------

    def on_start(self):
        """Start the discovery of other nodes."""
        self.leaderless_since = self.now
        self.log(
            f'Starts as {self.node} at {self.location.addr}.',
            'start',
            node=self.node,
            role=self.role,
            cell=self.location.cell,
            http=self.location.http,
            release=zinctrail.__version__,
        )
        self.restart_discovery()

    def on_settings(self, location: node_location.NodeLocation, bounds: settings.Settings):
        """Apply the settings that can change in a running process: the seeds and the reloadable settings."""
        merged = dataclasses.replace(self.settings, **{name: getattr(bounds, name) for name in settings.RELOADABLE})
        faults = merged.faults()
        if faults:
            self.log('Settings rejected: ' + '; '.join(f'{name} {text}' for name, text in faults) + '.')
            return
        changed = [name for name in settings.RELOADABLE if getattr(merged, name) != getattr(self.settings, name)]
        for name in changed:
            # Set in place, because other components hold references to the same object.
            setattr(self.settings, name, getattr(merged, name))
        if location.seeds != self.location.seeds:
            changed.append('seeds')
            self.location.seeds = list(location.seeds)
        waiting = self.settings_for_next_start(location, bounds)
        if changed or waiting:
            self.log(
                f'Settings read anew; changed: {", ".join(changed) or "nothing"}'
                + (f'; from the next start: {", ".join(waiting)}' if waiting else '')
                + '.'
            )

    def settings_for_next_start(self, location: node_location.NodeLocation, bounds: settings.Settings) -> list[str]:
        """Return the names of the settings whose new values take effect only at the next start."""
        fields = [field.name for field in dataclasses.fields(bounds)]
        waiting = [name for name in fields if getattr(bounds, name) != getattr(self.settings, name)]
        return waiting + [name for name in FIXED_LOCATION if getattr(location, name) != getattr(self.location, name)]

    def on_stop(self):
        """Shut down, and notify the leader, so that it need not detect the loss by a timeout."""
        if self.stopping:
            return
        self.begin_stop()
        self.log('Shuts down and leaves the cluster.', 'leave', node=self.node)
        if self.leader:
            self.send_message(self.leader['addr'], messages.Leave())
        self.set_timer('exit', self.exit_delay())

    def begin_stop(self):
        """Record that the process was asked to stop, and until when it may send responses."""
        self.stopping = True
        self.send_until = self.now + self.settings.grace - SEND_MARGIN

    def exit_delay(self):
        """Return how long the process keeps running after it was asked to stop."""
        return EXIT_DELAY

    def timer_exit(self):
        """Exit the process, once its responses were sent."""
        self.out.append(effects.Exit(0, self.send_until))
