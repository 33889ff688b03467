"""The directory's state machine: proxy lookup, relayed calls, and the credit ledgers of the pools that it owns."""

import random
import typing

import zinctrail.consensus.codec as codec
import zinctrail.consensus.internal_errors as internal_errors
import zinctrail.consensus.member as member
import zinctrail.consensus.member_roles as member_roles
import zinctrail.consensus.messages as messages
import zinctrail.consensus.node_location as node_location
import zinctrail.consensus.traffic_messages as traffic_messages
import zinctrail.control.http_api as http_api
import zinctrail.control.proxy_lookup as proxy_lookup
import zinctrail.control.replies as replies
import zinctrail.control.routing_table as routing_table
import zinctrail.control.rows as rows
import zinctrail.control.singleton_roles as singleton_roles
import zinctrail.directory.credit_ledger as credit_ledger
import zinctrail.runtime.durations as durations
import zinctrail.runtime.effects as effects
import zinctrail.runtime.metrics as metrics
import zinctrail.runtime.settings as settings

# How long the process stays after it has sent its leave message to the leader.
EXIT_DELAY = durations.ms(200)


class Directory(member.Member):
    """A directory: a member that follows the leader and never votes."""

    role = member_roles.DIRECTORY
    prefix = 'dir'

    def __init__(self, location: node_location.NodeLocation, bounds: settings.Settings, rng: random.Random):
        super().__init__(location, bounds, rng)
        self.http_api = http_api.HttpApi(self)
        self.routes = routing_table.RoutingTable(self.replica)
        self.proxy_lookup = proxy_lookup.ProxyLookup(self)
        # The ledgers of the pools that this directory owns, by pool.
        self.ledgers: dict[str, credit_ledger.CreditLedger] = {}
        # The ledgers that former owners handed over before this directory learned that it owns the pool:
        # {pool: (fencing token, exported ledger)}.
        self.pending_handovers: dict[str, tuple[int, credit_ledger.ExportedLedger]] = {}

    def pages(self) -> dict[tuple[str, str], http_api.Page]:
        """Return the pages of proxy lookup."""
        return proxy_lookup.PAGES

    def ready(self) -> tuple[bool, str]:
        """Return (is ready, reason); not ready without a lease on the state, since lookups are refused then."""
        is_ready, reason = self.http_api.readiness()
        if is_ready and not self.has_lease():
            return False, 'no lease'
        return is_ready, reason

    # -- calls over HTTP --------------------------------------------------

    def on_http(self, call_id: http_api.CallId, call: effects.HttpRequest) -> None:
        """Handle an incoming HTTP call."""
        self.http_api.serve(call_id, call)

    def on_hung_up(self, call_id: http_api.CallId) -> None:
        """Handle the disconnection of the caller of an HTTP call."""
        self.http_api.client_disconnected(call_id)

    def receive_heartbeat(self, body: dict, respond: replies.Callback) -> None:
        """Forward an endpoint's heartbeat to the leader, since a directory has no endpoint registry."""
        self.request_operation('beat', body, respond)

    # -- ownership of credit ledgers --------------------------------------

    def applied(self, changes: list | None) -> None:
        """Apply a new version of the state: take over ledgers that this directory now owns, hand over those it lost."""
        self.routes.invalidate()
        owners = self.replica.get(singleton_roles.TABLE)
        proxies = self.routes.members(member_roles.PROXY)
        for key, owner in owners.items():
            pool = key.removeprefix(singleton_roles.LEDGER_OWNER_PREFIX)
            ledger = self.ledgers.get(pool)
            if owner['holder'] == self.node:
                if ledger is None or ledger.fencing_token != owner['fence']:
                    self._take_over_ledger(pool, owner['fence'], proxies)
            elif ledger is not None:
                self._hand_over_ledger(ledger, owner)
        for pool in list(self.ledgers):
            if singleton_roles.LEDGER_OWNER_PREFIX + pool not in owners:
                del self.ledgers[pool]
        for ledger in self.ledgers.values():
            ledger.unreported &= set(proxies)

    def _take_over_ledger(self, pool: str, fencing_token: int, proxies: dict[str, rows.MemberRow]) -> None:
        ledger = self.ledgers[pool] = credit_ledger.CreditLedger(pool, fencing_token, self.settings)
        ledger.start_collecting(self.now, proxies)
        if pool in self.pending_handovers and self.pending_handovers[pool][0] == fencing_token:
            ledger.import_from(self.now, self.pending_handovers.pop(pool)[1])
        self.log(
            f'Owns the credit ledger of pool {pool} under fencing token {fencing_token}.',
            'keep',
            pool=pool,
            fence=fencing_token,
        )
        for proxy in proxies.values():
            self.send_message(proxy['addr'], traffic_messages.CreditCollection(pool=pool, fencing_token=fencing_token))

    def _hand_over_ledger(self, ledger: credit_ledger.CreditLedger, owner: rows.SingletonRoleRow) -> None:
        """Send the ledger to its next owner, which then need not collect reports from the proxies."""
        handover = traffic_messages.LedgerHandover(
            pool=ledger.pool, fencing_token=owner['fence'], ledger=ledger.export()
        )
        self.send_message(owner['addr'], handover)
        del self.ledgers[ledger.pool]

    def on_ledger_handover(self, message: traffic_messages.LedgerHandover) -> None:
        """Handle a former owner's handover of a pool's ledger."""
        ledger = self.ledgers.get(message.pool)
        if ledger and ledger.fencing_token == message.fencing_token:
            ledger.import_from(self.now, message.ledger)
        else:
            self.pending_handovers[message.pool] = (message.fencing_token, message.ledger)

    def on_credit_held(self, message: traffic_messages.CreditHeld) -> None:
        """Record a proxy's report of its credit, which was requested after a takeover."""
        ledger = self.ledgers.get(message.pool)
        if ledger and ledger.fencing_token == message.fencing_token and not ledger.is_ready(self.now):
            ledger.record_report(self.now, codec.sender_of(message).node, message.held, message.in_use)

    def on_credit_request(self, message: traffic_messages.CreditRequest) -> None:
        """Handle a proxy's request for credit."""
        ledger, proxy = self.ledgers.get(message.pool), codec.sender_of(message)
        if ledger is None or ledger.fencing_token != message.fencing_token or not self.has_lease():
            return
        if proxy.node not in self.routes.members(member_roles.PROXY):
            return
        demand = credit_ledger.Demand(
            message.last_grant, message.in_use, message.needed, bool(message.is_idle), message.load
        )
        grants = ledger.grant(self.now, proxy.node, demand, self.routes)
        if grants is not None:
            grant = traffic_messages.CreditGrant(
                pool=message.pool,
                fencing_token=ledger.fencing_token,
                grants=grants,
                number=message.number,
                sequence=ledger.allocations[proxy.node].sequence,
            )
            self.send_message(proxy.address, grant)

    # -- graceful shutdown ------------------------------------------------

    def on_stop(self) -> None:
        """Shut down gracefully: hand the ledgers over, and exit once clients know other directories."""
        if self.stopping:
            return
        self.begin_stop()
        self.log('Directory is shutting down.', 'leave', node=self.node)
        if self.leader:
            self.send_message(self.leader['addr'], messages.Draining(successors=self._successors()))
        # Clients learn of other directories while this one still responds.
        self.set_timer('depart', self.settings.answer / 2)

    def _successors(self) -> dict[str, str]:
        """Choose the next owners of the ledgers, as {pool: node}, spread over the other directories."""
        directories = sorted(
            node
            for node, row in self.routes.members(member_roles.DIRECTORY).items()
            if node != self.node and not row.get('leaving')
        )
        if not directories:
            return {}
        return {pool: directories[i % len(directories)] for i, pool in enumerate(sorted(self.ledgers))}

    def timer_depart(self) -> None:
        """Leave the cluster and exit, once no client should use this directory any more."""
        if self.leader:
            self.send_message(self.leader['addr'], messages.Leave())
        self.set_timer('exit', EXIT_DELAY)

    # -- status -----------------------------------------------------------

    def measures(self) -> typing.Iterator[tuple]:
        """Yield this process's metrics, as rows of runtime/metrics.py."""
        yield from super().measures()
        yield from self.proxy_lookup.metrics.rows()
        yield metrics.counter(
            internal_errors.COUNTER,
            'Calls, frames and timers that an unforeseen exception ended.',
            self.counts[internal_errors.COUNTER],
        )

    def status(self) -> dict[str, typing.Any]:
        """Return the status that every member has, with the ledgers that it owns."""
        return {
            **super().status(),
            'ledgers': {pool: self._ledger_status(ledger) for pool, ledger in self.ledgers.items()},
        }

    def _ledger_status(self, ledger: credit_ledger.CreditLedger) -> dict[str, typing.Any]:
        return {
            'fence': ledger.fencing_token,
            'holders': len(ledger.allocations),
            'ready': ledger.is_ready(self.now),
            'held': sum(sum(a.max_granted.values()) for a in ledger.allocations.values()),
        }
