"""What every process does as a member: finding the others, following a leader, holding a lease.

Roles add to this: zinctrail.consensus.voter elections and leadership,
zinctrail.directory.daemon and zinctrail.proxy.node what they do with the routes.
"""

import dataclasses
import uuid

import zinctrail
import zinctrail.consensus.chunked_transfer as chunked_transfer
import zinctrail.consensus.codec as codec
import zinctrail.consensus.discovery as discovery
import zinctrail.consensus.following as following
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

# Of frames that can not be read, one in so many is logged.
BAD_FRAMES_PER_LOG = 1000
# How many refused senders are remembered, so that each is logged once.
REFUSED_MOST = 1000
# Frames of a neighbouring wire level are read, those of others refused.
LEVELS_APART_MOST = 1
# How long a process that stops waits for its last messages to leave.
LEAVE_WAIT = durations.ms(200)
# The settings of its location that a process takes up at its next start only.
FIXED_LOCATION = ('addr', 'http', 'cell', 'front')


def as_version(pair) -> messages.Version:
    """A (term, generation) pair out of a row of the replicated state; (0, 0) for none."""
    return tuple(pair) if pair else (0, 0)


class Member(
    discovery.Discovery,
    following.Following,
    operation_requests.OperationRequests,
    member_status.MemberStatus,
    state_machine.StateMachine,
):
    """A process of the cluster: its identity, what it receives and sends, its start and its end."""

    role = ''
    prefix = 'member'
    level = zinctrail.WIRE_LEVEL

    def __init__(self, location: node_location.NodeLocation, bounds: settings.Settings, rng, node: str = ''):
        super().__init__(rng)
        self.location = location
        self.settings = bounds
        self.replica = replica.Replica()
        # What the leader sends of the replicated state.
        self.version_receiver = version_receiver.VersionReceiver(self)
        # Minted at the start, because a process that comes back without memory is another node.
        self.node = node or uuid.UUID(int=rng.getrandbits(128), version=4).hex[:16]
        self.cluster = ''
        self.stopping = False
        self.bad_frames = 0
        # The (address, cluster) of senders whose frames are left unread.
        self.refused_senders = set()

    # -- what is sent -----------------------------------------------------

    def frame(self, message: codec.Message) -> codec.Frame:
        """The frame of a message of ours."""
        return codec.encode(message, codec.Sender(self.node, self.location.addr, self.cluster, self.level))

    def send_message(self, address: str, message: codec.Message):
        """Send a message."""
        self.send(address, self.frame(message))

    def member(self) -> messages.MemberRow:
        """This process as the row that it has in the table of members."""
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

    # -- what is received -------------------------------------------------

    def on_recv(self, frame: codec.Frame):
        """Take one frame; one that can not be read is counted, one of a stranger refused.

        A frame is checked as a whole first, because a handler that failed
        half-way would leave a state behind that nobody meant.
        """
        try:
            message = message_kinds.decode(frame)
        except errors.FrameError as error:
            self.bad_frames += 1
            if self.bad_frames % BAD_FRAMES_PER_LOG == 1:
                self.log(f'Frame left unread: {error}.')
            return
        handler = getattr(self, message.handler, None)
        if handler is None:
            return
        sender = message.sender
        if abs(sender.level - self.level) > LEVELS_APART_MOST:
            self.refuse_sender(sender, 'wire level')
        elif sender.cluster and self.cluster and sender.cluster != self.cluster:
            self.take_from_other_cluster(message)
        elif sender.node != self.node:
            handler(message)

    def take_from_other_cluster(self, message: codec.Message):
        """Take a message of a cluster that is not ours."""
        if isinstance(message, messages.Retired):
            self.cluster_retired(message)
        elif message.sender.cluster in (self.replica.get('meta', 'retired') or ()):
            # A node that was believed lost when its cluster was recovered must not act when it comes back.
            self.send_message(message.sender.address, messages.Retired(clusters=self.replica.get('meta', 'retired')))
        elif not self.heard_other_cluster(message):
            self.refuse_sender(message.sender, 'cluster')

    def refuse_sender(self, sender: codec.Sender, what: str):
        """Log once that frames of this sender are left unread, because of another `what`."""
        key = (sender.address, sender.cluster)
        if key not in self.refused_senders:
            # Bounded, because strangers must not be able to fill our memory.
            if len(self.refused_senders) > REFUSED_MOST:
                self.refused_senders.clear()
            self.refused_senders.add(key)
            self.log(f'Peer {sender.address} refused: other {what}.')

    def heard_other_cluster(self, message: codec.Message) -> bool:
        """For the role: whether a message of another cluster than ours was of use."""
        return False

    def on_retired(self, message: messages.Retired):
        """Of our own cluster, or while we are in none: nothing to give up."""

    def cluster_retired(self, message: messages.Retired):
        """Our cluster was given up by its operators, and another stands in its place."""
        if self.cluster not in message.clusters:
            return
        self.log(f'Cluster {self.cluster} was given up for {message.sender.cluster}: forgets it.')
        self.term, self.leader, self.mode = 0, None, 'candidate'
        self.lease_until = None
        self.heartbeats_received.clear()
        self.timers.pop('leader', None)
        self.note_node(message.sender.address, message.sender.node, 'core', seen=True)
        self.forget_cluster()

    def forget_cluster(self):
        """Forget our cluster and its state, and look for others."""
        self.cluster = ''
        self.replica.reset()
        self.applied(None)
        self.restart_discovery()

    # -- versions ---------------------------------------------------------

    def on_publish(self, message: messages.Publish):
        """The leader sends a version."""
        self.version_receiver.on_publish(message)

    def on_chunk(self, message: messages.Chunk):
        """The leader sends a chunk of a version."""
        self.version_receiver.on_chunk(message)

    def on_commit(self, message: messages.Commit):
        """The leader says what is committed."""
        self.version_receiver.on_commit(message)

    def accept(
        self,
        version: messages.Version,
        base: messages.Version | None,
        rows: replica.Rows | None,
        tables: replica.Tables | None,
    ) -> None:
        """Accept a version: `rows` on `base`, or all of it in `tables`."""
        self.replica.accept(version, rows=rows, tables=tables)
        self.persist(version, base, rows, tables)

    def persist(
        self,
        version: messages.Version,
        base: messages.Version | None,
        rows: replica.Rows | None,
        tables: replica.Tables | None,
    ) -> None:
        """Make an accepted version durable; only voters have a disk."""

    def chunk_received(self, incoming: chunked_transfer.Incoming, rows: replica.Rows) -> None:
        """A chunk was added to a transfer; voters write it to disk."""

    def commit(self, version: messages.Version) -> None:
        """Apply all up to a version that was accepted before."""
        before = self.replica.committed
        rows = self.replica.commit(version)
        if self.replica.committed != before:
            self.rows_committed(rows)

    def rows_committed(self, rows: replica.Rows | None) -> None:
        """Rows are in force from now on; None: all of them are."""
        if rows is None or any(row[0] == 'members' for row in rows):
            for node, row in self.replica.get('members').items():
                self.note_node(row['addr'], node, row['role'])
        self.applied(rows)

    def applied(self, rows: replica.Rows | None) -> None:
        """For the role: rows are in force from now on; None: all of them are."""

    # -- start, settings, end ---------------------------------------------

    def on_start(self):
        """The process starts: look for the others."""
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
        """Take the settings that may change in a running process: seeds, and the settings that are live."""
        merged = dataclasses.replace(self.settings, **{name: getattr(bounds, name) for name in settings.RELOADABLE})
        faults = merged.faults()
        if faults:
            self.log('Settings not taken: ' + '; '.join(f'{name} {text}' for name, text in faults) + '.')
            return
        changed = [name for name in settings.RELOADABLE if getattr(merged, name) != getattr(self.settings, name)]
        for name in changed:
            # In place, because other parts keep references to the same settings.
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
        """The names of settings that differ from those in force."""
        fields = [field.name for field in dataclasses.fields(bounds)]
        waiting = [name for name in fields if getattr(bounds, name) != getattr(self.settings, name)]
        return waiting + [name for name in FIXED_LOCATION if getattr(location, name) != getattr(self.location, name)]

    def on_stop(self):
        """Asked to end: leave, so that nobody has to notice by a timeout."""
        if self.stopping:
            return
        self.stopping = True
        self.log('Leaves.', 'leave', node=self.node)
        if self.leader:
            self.send_message(self.leader['addr'], messages.Leave())
        self.set_timer('exit', self.leave_wait())

    def leave_wait(self):
        """How long the process stays after it was asked to end."""
        return LEAVE_WAIT

    def timer_exit(self):
        """The process ends."""
        self.out.append(effects.Exit(0))
