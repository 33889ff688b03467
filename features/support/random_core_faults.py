"""Random faults of control nodes in virtual time, and the rules that must hold under them."""

import random

import features.support.voting_world as voting_world
import zinctrail.fleet.deployments as deployments
import zinctrail.runtime.durations as durations
import zinctrail.runtime.settings as settings
import zinctrail.simulation.actors.deployment as client_deployment
import zinctrail.simulation.disk as simulated_disk
import zinctrail.simulation.world as world

ms = durations.ms
FAULTS = ('stop', 'stop', 'power', 'silent power', 'wipe', 'freeze', 'all')
FAULT_COUNT = 40
FAULTS_MS = 60000
DOWNTIMES_MS = (300, 800, 1500, 3000, 6000)
CONTROL_NODE_COUNTS = (3, 4, 5, 6)
# The same if two disks may be lost.
CONTROL_NODE_COUNTS_FOR_TWO = (5, 6, 7)
MIN_VOTERS = 3
CHANGE_GAP = ms(700)


class RandomCoreFaults:
    """One run: the configuration changes while control nodes leave, are wiped, lose power and freeze.

    :param losses: how many disks may be lost before the voting set is whole again. One: only while all others run.
        More: at any time, also while others are down.
    """

    def __init__(self, seed: int, losses: int = 1):
        self.rng = random.Random(f'second loss/{seed}')
        self.losses = losses
        self.least_voters = 2 * losses + 1
        self.control_node_count = self.rng.choice(CONTROL_NODE_COUNTS if losses == 1 else CONTROL_NODE_COUNTS_FOR_TWO)
        shape: deployments.Shape = {**deployments.PRESETS['small'], 'cores': self.control_node_count}
        custom_settings = settings.Settings(least_voters=self.least_voters)
        self.deployment = client_deployment.Deployment(world.World(seed, custom_settings), shape)
        self.world = self.deployment.world
        self.deployment.start()
        self.world.run(ms(8000))
        # The version of each number that was committed anywhere, and the leader of each term.
        self.versions: dict[int, tuple[int, int]] = {}
        self.leaders: dict[int, str] = {}
        # The identities whose disks were lost, and the largest voting set that was accepted.
        self.lost_identities: set[str] = set()
        self.largest_set = 0
        self.violations: list[tuple] = []
        self.change_count = 0

    def run(self) -> list:
        """Run all faults, then let the cluster settle; return the violations, or the problems that remain at the end."""
        self.change_configuration()
        for _ in range(FAULT_COUNT):
            self.world.after(ms(self.rng.uniform(0, FAULTS_MS)), self.cause_fault)
        self.world.run(ms(62000), self.check_nodes)
        self.world.heal()
        self.world.run(ms(15000), self.check_nodes)
        for node in self.world.of('core'):
            self.start(node)
        self.world.run(ms(20000), self.check_nodes)
        return self.violations or self.remaining_problems()

    def check_nodes(self) -> bool:
        """Check all running control nodes; True if any rule was violated so far."""
        for node in self.world.of('core'):
            if node.up:
                self.check_node(node.machine)
        return bool(self.violations)

    def check_node(self, machine) -> None:
        """Check one control node, and record the rules that it violates."""
        committed = machine.replica.committed
        if committed > (0, 0) and self.versions.setdefault(committed[1], committed) != committed:
            self.violations.append(('two versions of one number', self.versions[committed[1]], committed))
        if machine.mode == 'leader' and self.leaders.setdefault(machine.term, machine.node) != machine.node:
            self.violations.append(('two leaders of one term', machine.term))
        voting_set = machine.voting_set()
        if not voting_set:
            return
        size = len(voting_set['accepted'])
        self.largest_set = max(self.largest_set, size)
        if size < MIN_VOTERS:
            self.violations.append(('a voting set below three', voting_set))
        if self.losses > 1 and size < self.least_voters <= self.largest_set:
            self.violations.append(('a voting set that is too small for the losses', voting_set))

    def change_configuration(self) -> None:
        """Change the configuration, and schedule the next change after CHANGE_GAP."""
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

    def start_once_exited(self, node) -> None:
        """Start a process that was told to stop, once it has exited."""
        if node.up and node.machine.stopping:
            self.world.after(ms(500), self.start_once_exited, node)
        else:
            self.start(node)

    def may_wipe(self) -> bool:
        """True if the cluster tolerates a wipe now.

        A wipe loses acknowledged state: only one at a time, with all others running and the voting set settled, unless
        more losses are to be tolerated.
        """
        if self.losses > 1:
            return self.may_lose_a_disk()
        leader = self.world.leader()
        nodes = self.world.of('core')
        if leader is None or any(not node.up or node.paused is not None or node.machine.stopping for node in nodes):
            return False
        committed = voting_world.committed_voting_set(leader)
        is_settled = committed == leader.machine.voting_set() and not voting_world.is_joint(committed)
        return is_settled and leader.machine.losses_tolerated() >= 1

    def may_lose_a_disk(self) -> bool:
        """True if no voting set that any node knows lacks as many disks as may be lost."""
        leader = self.world.leader()
        if leader is None:
            return False
        machines = [node.machine for node in self.world.of('core') if node.machine]
        known = [machine.voting_set() for machine in machines]
        known += [machine.replica.get('meta', 'vc') for machine in machines]
        sets = [set(members) for voting_set in known if voting_set for members in voting_set.values()]
        return all(
            len(members) >= self.least_voters and len(members & self.lost_identities) < self.losses for members in sets
        )

    def cause_fault(self) -> None:
        """Inject a random fault if the cluster tolerates it now."""
        node = self.rng.choice(self.world.of('core'))
        fault = self.rng.choice(FAULTS)
        downtime = ms(self.rng.choice(DOWNTIMES_MS))
        if not node.up or (fault == 'wipe' and not self.may_wipe()):
            return
        if fault == 'stop':
            node.feed('stop')
            self.world.after(downtime, self.start_once_exited, node)
        elif fault == 'freeze':
            if node.paused is None:
                node.pause(downtime)
        elif fault == 'all':
            self.cut_power_of_all()
        else:
            self.cut_power(node, fault, downtime)

    def cut_power_of_all(self) -> None:
        """Cut the power of all control nodes; each restarts after a random time."""
        for node in self.world.of('core'):
            node.kill(power=True)
            self.world.after(ms(self.rng.uniform(300, 1500)), self.start, node)

    def cut_power(self, node, fault: str, downtime) -> None:
        """Cut the power of a control node; 'silent power' isolates it first, 'wipe' also replaces its disk."""
        if fault == 'silent power':
            self.world.isolate(node.name)
            self.world.after(downtime, self.world.heal, node.name)
        node.kill(power=True)
        if fault == 'wipe':
            self.lost_identities.add(node.machine.node)
            node.disk = simulated_disk.Disk()
        self.world.after(downtime, self.start, node)

    def remaining_problems(self) -> list:
        """Return a problem that remains after everything had time to settle, as a list that is empty without one."""
        leader = self.world.leader()
        if leader is None:
            return ['no leader']
        committed = leader.machine.replica.committed
        if committed[1] < max(self.versions):
            return ['a committed version was lost', committed, max(self.versions)]
        size = min(max(voting_world.MAX_VOTERS, self.least_voters), voting_world.settled_size(self.control_node_count))
        voting_set = voting_world.committed_voting_set(leader)
        if len(voting_set['accepted']) != size or voting_world.is_joint(voting_set):
            return ['the voting set is not complete', voting_set, leader.machine.voting_set_waits()]
        return []
