"""One seeded run: operators at work while the core fails, and what must hold of their orders."""

import collections
import collections.abc
import functools
import typing

import zinctrail.runtime.durations as durations
import zinctrail.simulation.open_actors.deployment as open_deployment
import zinctrail.simulation.open_actors.terms as terms
import zinctrail.simulation.open_actors.world as open_world
import zinctrail.simulation.orders.control_faults as control_faults
import zinctrail.simulation.orders.evacuations as orders_evacuations
import zinctrail.simulation.orders.order as operator_order

ms = durations.ms

OPERATORS = 8
# Clear answers to a change; everything else is sent again.
CLEAR = (200, 400, 409, 413, 422)
REFUSED = (400, 409, 413, 422)

RUN_LENGTH = ms(40000)
# How long orders may take to be answered once nothing fails any more.
LAST_ANSWERS_LIMIT = ms(40000)
READ_BACK_LIMIT = ms(20000)
READ_BACK_RUN = ms(21000)

# How often an operator sends an order that was acknowledged before, in place of a new one.
SEND_AGAIN_SHARE = 0.35
# How often an order goes to two nodes at once.
TWO_COPIES_SHARE = 0.3
LONGEST_PAUSE_MS = 400


class Run:
    """One seeded run; `violations` holds what must never happen."""

    def __init__(self, seed: int):
        self.seed = seed
        shape = terms.SHAPES['small']
        self.world = open_world.World(seed, terms.bound(shape))
        self.world.callers_hang_up = True
        self.deployment = open_deployment.Deployment(self.world, shape)
        self.rng = self.world.rng
        self.orders: list[operator_order.Order] = []
        self.violations: list[str] = []
        self.changes = operator_order.Changes(self.rng)
        self.evacuations = orders_evacuations.Evacuations(self.deployment, self.violations)
        self.faults = control_faults.ControlFaults(self.world)
        # Copies of orders that have no answer yet.
        self.under_way = 0
        self.most_under_way = 0
        self.is_ending = False

    def run(self) -> typing.Self:
        """Play the run and check what came of it; returns itself."""
        self.deployment.start()
        for number in range(OPERATORS):
            self.world.response_loss[f'operator{number}'] = operator_order.REPLY_LOSS
            self.work(f'operator{number}')
        self.evacuations.start()
        self.faults.strike()
        self.world.run(RUN_LENGTH)
        self.end()
        self.send_all_again()
        self.check_contents()
        self.check_refusals()
        self.check_read_back()
        return self

    def end(self) -> None:
        """No more faults and no new orders: those under way must get clear answers."""
        self.is_ending = self.evacuations.is_over = self.faults.is_over = True
        self.world.response_loss.clear()
        if not self.world.run(LAST_ANSWERS_LIMIT, lambda: not self.under_way and self.world.leader() is not None):
            self.violations.append(f'{self.under_way} orders have no clear answer')

    # -- orders -----------------------------------------------------------

    def work(self, operator: str) -> None:
        """An operator sends an order, and the next a while after its answer."""
        if self.is_ending:
            return
        order = self.next_order()
        copies_left = 2 if self.rng.random() < TWO_COPIES_SHARE else 1

        def answered():
            nonlocal copies_left
            copies_left -= 1
            if not copies_left:
                self.world.after(ms(self.rng.uniform(0, LONGEST_PAUSE_MS)), self.work, operator)

        for _ in range(copies_left):
            self.send(operator, order, answered)

    def next_order(self) -> operator_order.Order:
        """A new order, or one that was acknowledged before."""
        acknowledged = [order for order in self.orders if order.acknowledgements()]
        if acknowledged and self.rng.random() < SEND_AGAIN_SHARE:
            return self.rng.choice(acknowledged)
        order = operator_order.Order(self.changes.draw())
        self.orders.append(order)
        return order

    def send(
        self, operator: str, order: operator_order.Order, callback: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Send one copy of an order, until it has a clear answer; then `callback` is called."""
        sent = self.world.now
        self.under_way += 1
        if not self.is_ending:
            self.most_under_way = max(self.most_under_way, self.under_way)

        def answered(answer: open_deployment.Answer):
            self.under_way -= 1
            order.answers.append(operator_order.Answer(sent, self.world.now, answer.status))
            callback()

        limit = RUN_LENGTH + LAST_ANSWERS_LIMIT
        self.deployment.ask(operator, 'PATCH', '/v1/items', lambda: order.body, answered, limit, final=CLEAR)

    def send_all_again(self) -> None:
        """Every order that was ever acknowledged, once more."""
        left = [order for order in self.orders if order.acknowledgements()]
        for order in list(left):
            self.send('again', order, functools.partial(left.remove, order))
        self.world.run(LAST_ANSWERS_LIMIT, lambda: not left)

    # -- what must hold ---------------------------------------------------

    def acknowledged_rows(self) -> dict[tuple[str, int], list[dict | None]]:
        """{(key, version): the contents} of all that was acknowledged."""
        found: dict[tuple[str, int], list[dict | None]] = collections.defaultdict(list)
        for order in self.orders:
            if order.acknowledgements():
                for key, version, row in order.items():
                    if row not in found[key, version]:
                        found[key, version].append(row)
        return found

    def check_contents(self) -> None:
        """A version of an item has one content."""
        for (key, version), rows in sorted(self.acknowledged_rows().items()):
            if len(rows) > 1:
                self.violations.append(f'{key} {version}: {len(rows)} contents were acknowledged')

    def check_refusals(self) -> None:
        """What was acknowledged is not refused, before or after."""
        for order in self.orders:
            acknowledgements = order.acknowledgements()
            if not acknowledgements:
                continue
            first = min(answer.answered for answer in acknowledgements)
            if any(answer.status in REFUSED and answer.sent >= first for answer in order.answers):
                self.violations.append(f'{order}: was taken, and refused')
            elif any(answer.status == 409 for answer in order.answers):
                # A copy sent at the same time as the one that was taken, or a number that was free again.
                self.violations.append(f'{order}: was refused for its number, and acknowledged')

    def check_read_back(self) -> None:
        """The newest acknowledged version of each item is read back."""
        rows = self.read_back()
        if rows is None:
            self.violations.append('no read-back')
            return
        newest: dict[str, tuple[int, list]] = {}
        for (key, version), contents in self.acknowledged_rows().items():
            if key not in newest or version > newest[key][0]:
                newest[key] = version, contents
        for key, (version, contents) in sorted(newest.items()):
            if rows.get(key) not in contents:
                self.violations.append(f'{key}: {version} was acknowledged, {rows.get(key)} is read back')

    def read_back(self) -> dict[str, dict] | None:
        """The rows of rules and pools by key, as an operator reads them; None without an answer."""
        answers: list[dict | None] = []
        self.deployment.operator.read(answers.append, READ_BACK_LIMIT)
        self.world.run(READ_BACK_RUN, lambda: bool(answers))
        items = (answers[0] or {}).get('items') if answers else None
        if items is None:
            return None
        return {f'{kind}/{row["name"]}': row for kind in ('rules', 'pools') for row in items[kind]}

    def summary(self) -> str:
        """The run in a line."""
        statuses = collections.Counter(answer.status for order in self.orders for answer in order.answers)
        return (
            f'seed {self.seed}: {len(self.orders)} orders, {dict(sorted(statuses.items()))}, at most'
            f' {self.most_under_way} at once, {self.evacuations.count} evacuations, {len(self.violations)} violations'
        )
