"""Operators that evacuate zones and return them to service, and check that each acknowledged state stays in force."""

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.orders.command as operator_command

ms = durations.ms

EVACUATION_LIMIT = ms(8000)
# The pause between an operator's commands; a delayed copy of the last command would take effect in that time.
SETTLE_TIME = ms(2500)


class Evacuations:
    """One operator per zone, which alternates between evacuating it and returning it, with a check after each."""

    def __init__(self, deployment: open_deployment.Deployment, violations: list[str]):
        self.deployment, self.world = deployment, deployment.world
        self.violations = violations
        self.count = 0
        self.is_over = False

    def start(self) -> None:
        """Start the operators of all zones."""
        for zone in self.deployment.zones:
            self.evacuate(zone, True)

    def evacuate(self, zone: str, is_evacuated: bool) -> None:
        """Evacuate a zone or return it to service, then do the opposite, and so on."""
        if self.is_over:
            return
        self.count += 1
        operator = f'zones-{zone}'

        def on_response(response: open_deployment.Response):
            self.world.after(SETTLE_TIME, on_settled, response.status)

        def on_settled(status: int):
            if status == 200:
                self.check(zone, is_evacuated)
            self.evacuate(zone, not is_evacuated)

        body = {'cell': zone, 'on': is_evacuated}
        self.deployment.ask(operator, 'POST', '/v1/cell/empty', lambda: body, on_response, EVACUATION_LIMIT)
        self.world.response_loss[operator] = operator_command.REPLY_LOSS

    def check(self, zone: str, is_evacuated: bool) -> None:
        """Check that the last acknowledged state of a zone is in force at the leader."""
        leader = self.world.leader()
        if leader is None:
            return
        row = leader.machine.replica.latest('cells', zone) or {}
        if bool(row.get('emptied')) != is_evacuated:
            self.violations.append(
                f'{zone}: evacuated={is_evacuated} was acknowledged last, {not is_evacuated} is in force'
                f' at {self.world.now}'
            )
