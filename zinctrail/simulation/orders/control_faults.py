"""Faults of the control nodes during a run."""

import zinctrail.runtime.durations as durations
import zinctrail.simulation.node as simulated_node
import zinctrail.simulation.open_actors.world as open_world

ms = durations.ms


class ControlFaults:
    """Kills, pauses and wipes control nodes, one fault after another."""

    def __init__(self, world: open_world.World):
        self.world, self.rng = world, world.rng
        self.is_over = False

    def inject_next(self) -> None:
        """Inject a random fault now, and schedule the next in 4.5 to 6.5 seconds."""
        if self.is_over:
            return
        fault = self.rng.choice((self.kill_leader, self.freeze_one, self.freeze_one, self.wipe_one, self.power_off_all))
        fault()
        self.world.after(ms(self.rng.uniform(4500, 6500)), self.inject_next)

    def running_nodes(self) -> list[simulated_node.Node]:
        """Return the control nodes that are up and not paused."""
        return [node for node in self.world.of('core') if node.up and node.paused is None]

    def start_later(self, node: simulated_node.Node, after_ms: float) -> None:
        """Restart a node after `after_ms`, unless it is up by then."""

        def start():
            if not node.up:
                node.start()

        self.world.after(ms(after_ms), start)

    def kill_leader(self) -> None:
        """Kill the leader, half of the time by a power loss; it restarts within two seconds."""
        leader = self.world.leader()
        if leader:
            leader.kill(power=self.rng.random() < 0.5)
            self.start_later(leader, self.rng.uniform(200, 2000))

    def freeze_one(self) -> None:
        """Pause a random control node for 0.3 to 3.5 seconds."""
        if self.running_nodes():
            self.rng.choice(self.running_nodes()).pause(ms(self.rng.uniform(300, 3500)))

    def wipe_one(self) -> None:
        """Wipe a follower's disk, so that the leader sends it a full snapshot when it restarts."""
        followers = [node for node in self.running_nodes() if node is not self.world.leader()]
        if len(followers) < len(self.world.of('core')) - 1 or not self.world.leader():
            return
        node = self.rng.choice(followers)
        node.kill(power=True)
        node.disk.files, node.disk.synced, node.disk.obsolete = {}, {}, []
        self.start_later(node, 500)

    def power_off_all(self) -> None:
        """Cut the power of all control nodes at once; each restarts within 1.5 seconds."""
        for node in self.world.of('core'):
            node.kill(power=True)
            self.start_later(node, self.rng.uniform(200, 1500))
