"""A seeded run: operators send commands while control nodes fail, and checks of the outcome."""

import collections
import collections.abc
import functools
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.open_actors.world as open_world
import zinctrail.simulation.orders.command as operator_command
import zinctrail.simulation.orders.control_faults as control_faults
import zinctrail.simulation.orders.evacuations as orders_evacuations

ms = durations.ms

OPERATORS = 8
# The statuses of conclusive responses to a change; after any other the command is resent.
CONCLUSIVE_STATUSES = (200, 400, 409, 413, 422)
REFUSED_STATUSES = (400, 409, 413, 422)

RUN_LENGTH = ms(40000)
# The time limit for conclusive responses after the last fault.
LAST_RESPONSES_LIMIT = ms(40000)
READ_BACK_LIMIT = ms(20000)
READ_BACK_RUN = ms(21000)

# The probability that an operator resends an acknowledged command instead of a new one.
RESEND_SHARE = 0.35
# The probability that two copies of a command are sent at the same time.
TWO_COPIES_SHARE = 0.3
MAX_PAUSE_MS = 400


class Run:
    """A seeded run; `violations` lists the guarantees that were broken."""

    def __init__(self, seed: int):
        self.seed = seed
        shape = terms.SHAPES['small']
        self.world = open_world.World(seed, terms.bound(shape))
        self.world.callers_hang_up = True
        self.deployment = open_deployment.Deployment(self.world, shape)
        self.rng = self.world.rng
        self.commands: list[operator_command.Command] = []
        self.violations: list[str] = []
        self.changes = operator_command.Changes(self.rng)
        self.evacuations = orders_evacuations.Evacuations(self.deployment, self.violations)
        self.faults = control_faults.ControlFaults(self.world)
        # The number of copies of commands without a response.
        self.in_progress = 0
        self.max_in_progress = 0
        self.is_finishing = False

    def run(self) -> typing.Self:
        """Run the operators and the faults, then check the outcome; return self."""
        self.deployment.start()
        for number in range(OPERATORS):
            self.world.response_loss[f'operator{number}'] = operator_command.REPLY_LOSS
            self.send_commands(f'operator{number}')
        self.evacuations.start()
        self.faults.inject_next()
        self.world.run(RUN_LENGTH)
        self.finish()
        self.resend_acknowledged()
        self.check_contents()
        self.check_refusals()
        self.check_read_back()
        return self

    def finish(self) -> None:
        """Stop the faults and new commands, and wait until all commands have conclusive responses."""
        self.is_finishing = self.evacuations.is_over = self.faults.is_over = True
        self.world.response_loss.clear()
        if not self.world.run(LAST_RESPONSES_LIMIT, lambda: not self.in_progress and self.world.leader() is not None):
            self.violations.append(f'{self.in_progress} commands have no conclusive response')

    # -- commands ---------------------------------------------------------

    def send_commands(self, operator: str) -> None:
        """Send an operator's next command, and schedule the one after it once all copies have responses."""
        if self.is_finishing:
            return
        command = self.pick_command()
        copies_remaining = 2 if self.rng.random() < TWO_COPIES_SHARE else 1

        def on_response():
            nonlocal copies_remaining
            copies_remaining -= 1
            if not copies_remaining:
                self.world.after(ms(self.rng.uniform(0, MAX_PAUSE_MS)), self.send_commands, operator)

        for _ in range(copies_remaining):
            self.send(operator, command, on_response)

    def pick_command(self) -> operator_command.Command:
        """Return a new command, or an earlier one that was acknowledged."""
        acknowledged = [command for command in self.commands if command.acknowledgements()]
        if acknowledged and self.rng.random() < RESEND_SHARE:
            return self.rng.choice(acknowledged)
        command = operator_command.Command(self.changes.draw())
        self.commands.append(command)
        return command

    def send(
        self, operator: str, command: operator_command.Command, callback: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Send one copy of a command until it has a conclusive response; then call `callback`."""
        sent_at = self.world.now
        self.in_progress += 1
        if not self.is_finishing:
            self.max_in_progress = max(self.max_in_progress, self.in_progress)

        def on_response(response: open_deployment.Response):
            self.in_progress -= 1
            command.responses.append(operator_command.Response(sent_at, self.world.now, response.status))
            callback()

        limit = RUN_LENGTH + LAST_RESPONSES_LIMIT
        self.deployment.ask(
            operator, 'PATCH', '/v1/items', lambda: command.body, on_response, limit, final=CONCLUSIVE_STATUSES
        )

    def resend_acknowledged(self) -> None:
        """Resend every acknowledged command once."""
        remaining = [command for command in self.commands if command.acknowledgements()]
        for command in list(remaining):
            self.send('again', command, functools.partial(remaining.remove, command))
        self.world.run(LAST_RESPONSES_LIMIT, lambda: not remaining)

    # -- checks ----------------------------------------------------------

    def acknowledged_rows(self) -> dict[tuple[str, int], list[dict | None]]:
        """Return {(key, version): the distinct contents} of all acknowledged commands."""
        found: dict[tuple[str, int], list[dict | None]] = collections.defaultdict(list)
        for command in self.commands:
            if command.acknowledgements():
                for key, version, row in command.items():
                    if row not in found[key, version]:
                        found[key, version].append(row)
        return found

    def check_contents(self) -> None:
        """Check that each acknowledged version of an item has one content."""
        for (key, version), rows in sorted(self.acknowledged_rows().items()):
            if len(rows) > 1:
                self.violations.append(f'{key} {version}: {len(rows)} contents were acknowledged')

    def check_refusals(self) -> None:
        """Check that no acknowledged command was refused, neither before nor after."""
        for command in self.commands:
            acknowledgements = command.acknowledgements()
            if not acknowledgements:
                continue
            first = min(response.responded_at for response in acknowledgements)
            if any(response.status in REFUSED_STATUSES and response.sent_at >= first for response in command.responses):
                self.violations.append(f'{command}: was acknowledged, and refused later')
            elif any(response.status == 409 for response in command.responses):
                # A copy sent at the same time as the acknowledged one, or a version whose content had been forgotten.
                self.violations.append(f'{command}: was refused for its version, and acknowledged')

    def check_read_back(self) -> None:
        """Check that a read-back returns the newest acknowledged version of each item."""
        rows = self.read_back()
        if rows is None:
            self.violations.append('the items could not be read back')
            return
        newest: dict[str, tuple[int, list]] = {}
        for (key, version), contents in self.acknowledged_rows().items():
            if key not in newest or version > newest[key][0]:
                newest[key] = version, contents
        for key, (version, contents) in sorted(newest.items()):
            if rows.get(key) not in contents:
                self.violations.append(f'{key}: {version} was acknowledged, {rows.get(key)} is read back')

    def read_back(self) -> dict[str, dict] | None:
        """Return the rows of rules and pools by key, as an operator reads them; None without a response."""
        responses: list[dict | None] = []
        self.deployment.operator.read(responses.append, READ_BACK_LIMIT)
        self.world.run(READ_BACK_RUN, lambda: bool(responses))
        items = (responses[0] or {}).get('items') if responses else None
        if items is None:
            return None
        return {f'{kind}/{row["name"]}': row for kind in ('rules', 'pools') for row in items[kind]}

    def summary(self) -> str:
        """Return a one-line summary of the run."""
        statuses = collections.Counter(response.status for command in self.commands for response in command.responses)
        return (
            f'seed {self.seed}: {len(self.commands)} orders, {dict(sorted(statuses.items()))}, at most'
            f' {self.max_in_progress} at once, {self.evacuations.count} evacuations, {len(self.violations)} violations'
        )
