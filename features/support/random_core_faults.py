"""Random faults of control nodes in virtual time, and what must never come of them."""

import random

import features.support.voting_world as voting_world
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.disk as simulated_disk
import zinctrail.simulation.world as world

ms = durations.ms
FAULTS = ('stop', 'stop', 'power', 'silent power', 'wipe', 'freeze', 'all')
FAULT_COUNT = 40
FAULTS_MS = 60000
AWAY_MS = (300, 800, 1500, 3000, 6000)
CONTROL_NODE_COUNTS = (3, 4, 5, 6)
FEWEST_VOTERS = 3
CHANGE_GAP = ms(700)


class RandomCoreFaults:
    """One run: the configuration changes while control nodes leave, are wiped, lose power and freeze."""

    def __init__(self, seed: int):
        self.rng = random.Random(f'second loss/{seed}')
        self.control_node_count = self.rng.choice(CONTROL_NODE_COUNTS)
        shape: deployments.Shape = {**deployments.PRESETS['small'], 'cores': self.control_node_count}
        self.deployment = client_deployment.Deployment(world.World(seed), shape)
        self.world = self.deployment.world
        self.deployment.start()
        self.world.run(ms(8000))
        # The version of each number that was committed anywhere, and the leader of each term.
        self.versions: dict[int, tuple[int, int]] = {}
        self.leaders: dict[int, str] = {}
        self.violations: list[tuple] = []
        self.change_count = 0

    def run(self) -> list:
        """Let it all happen, then let it settle; what was violated, with what is wrong at the end."""
        self.change_configuration()
        for _ in range(FAULT_COUNT):
            self.world.after(ms(self.rng.uniform(0, FAULTS_MS)), self.cause_fault)
        self.world.run(ms(62000), self.look)
        self.world.heal()
        self.world.run(ms(15000), self.look)
        for node in self.world.of('core'):
            self.start(node)
        self.world.run(ms(20000), self.look)
        return self.violations or self.faults_at_the_end()

    def look(self) -> bool:
        """Whether a rule is violated by now."""
        for node in self.world.of('core'):
            if node.up:
                self.look_at(node.machine)
        return bool(self.violations)

    def look_at(self, machine) -> None:
        """Look at one control node."""
        committed = machine.replica.committed
        if committed > (0, 0) and self.versions.setdefault(committed[1], committed) != committed:
            self.violations.append(('two versions of one number', self.versions[committed[1]], committed))
        if machine.mode == 'leader' and self.leaders.setdefault(machine.term, machine.node) != machine.node:
            self.violations.append(('two leaders of one term', machine.term))
        voting_set = machine.voting_set()
        if voting_set and len(voting_set['accepted']) < FEWEST_VOTERS:
            self.violations.append(('a set below three', voting_set))

    def change_configuration(self) -> None:
        """Change the configuration, again and again."""
        self.change_count += 1
        text = str(self.change_count)
        self.deployment.operator.change(
            lambda config: config['cells'].setdefault('r0/c0', {}).update(labels={'n': text}), attempts=3
        )
        self.world.after(CHANGE_GAP, self.change_configuration)

    def start(self, node) -> None:
        """Start a process that is not up."""
        if not node.up:
            node.start()

    def start_once_ended(self, node) -> None:
        """Start a process that was told to stop, as soon as it has ended."""
        if node.up and node.machine.stopping:
            self.world.after(ms(500), self.start_once_ended, node)
        else:
            self.start(node)

    def may_wipe(self) -> bool:
        """Whether a wipe can be borne now.

        It loses what was acknowledged: only one at a time, with all others there and the voting set settled.
        """
        leader = self.world.leader()
        nodes = self.world.of('core')
        if leader is None or any(not node.up or node.paused is not None or node.machine.stopping for node in nodes):
            return False
        committed = voting_world.committed_voting_set(leader)
        is_settled = committed == leader.machine.voting_set() and not voting_world.is_joint(committed)
        return is_settled and leader.machine.losses_tolerated() >= 1

    def cause_fault(self) -> None:
        """Cause a random fault, if it can be borne now."""
        node = self.rng.choice(self.world.of('core'))
        fault = self.rng.choice(FAULTS)
        away = ms(self.rng.choice(AWAY_MS))
        if not node.up or (fault == 'wipe' and not self.may_wipe()):
            return
        if fault == 'stop':
            node.feed('stop')
            self.world.after(away, self.start_once_ended, node)
        elif fault == 'freeze':
            if node.paused is None:
                node.pause(away)
        elif fault == 'all':
            self.cut_power_of_all()
        else:
            self.cut_power(node, fault, away)

    def cut_power_of_all(self) -> None:
        """All control nodes lose power; each is back after a time of its own."""
        for node in self.world.of('core'):
            node.kill(power=True)
            self.world.after(ms(self.rng.uniform(300, 1500)), self.start, node)

    def cut_power(self, node, fault: str, away) -> None:
        """One control node loses power, in silence or with its disk if the fault says so."""
        if fault == 'silent power':
            self.world.isolate(node.name)
            self.world.after(away, self.world.heal, node.name)
        node.kill(power=True)
        if fault == 'wipe':
            node.disk = simulated_disk.Disk()
        self.world.after(away, self.start, node)

    def faults_at_the_end(self) -> list:
        """What is wrong once everything had time to settle; empty if nothing is."""
        leader = self.world.leader()
        if leader is None:
            return ['no leader']
        committed = leader.machine.replica.committed
        if committed[1] < max(self.versions):
            return ['lost', committed, max(self.versions)]
        size = min(voting_world.MOST_VOTERS, voting_world.settled_size(self.control_node_count))
        voting_set = voting_world.committed_voting_set(leader)
        if len(voting_set['accepted']) != size or voting_world.is_joint(voting_set):
            return ['not whole', voting_set, leader.machine.voting_set_waits()]
        return []
