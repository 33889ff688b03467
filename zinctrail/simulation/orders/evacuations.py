"""Operators who evacuate zones and return them, and look whether that stays in force."""

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.orders.order as operator_order

ms = durations.ms

EVACUATION_LIMIT = ms(8000)
# How long an operator waits for an evacuation before the next one; a late copy would act in that time.
SETTLE = ms(2500)


class Evacuations:
    """One operator a zone: an evacuation, a while to see that it stays, its return, and so on."""

    def __init__(self, deployment: open_deployment.Deployment, violations: list[str]):
        self.deployment, self.world = deployment, deployment.world
        self.violations = violations
        self.count = 0
        self.is_over = False

    def start(self) -> None:
        """Begin in all zones."""
        for zone in self.deployment.cells:
            self.evacuate(zone, True)

    def evacuate(self, zone: str, is_evacuated: bool) -> None:
        """Evacuate a zone, or return it, and then the opposite."""
        if self.is_over:
            return
        self.count += 1
        operator = f'zones-{zone}'

        def answered(answer: open_deployment.Answer):
            self.world.after(SETTLE, settled, answer.status)

        def settled(status: int):
            if status == 200:
                self.check(zone, is_evacuated)
            self.evacuate(zone, not is_evacuated)

        body = {'cell': zone, 'on': is_evacuated}
        self.deployment.ask(operator, 'POST', '/v1/cell/empty', lambda: body, answered, EVACUATION_LIMIT)
        self.world.response_loss[operator] = operator_order.REPLY_LOSS

    def check(self, zone: str, is_evacuated: bool) -> None:
        """What was acknowledged last is in force."""
        leader = self.world.leader()
        if leader is None:
            return
        row = leader.machine.replica.latest('cells', zone) or {}
        if bool(row.get('emptied')) != is_evacuated:
            self.violations.append(
                f'{zone}: {is_evacuated} was acknowledged last, and {not is_evacuated} is in force at {self.world.now}'
            )
