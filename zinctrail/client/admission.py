"""Admission of requests at an endpoint, without I/O: refuses requests that it must not run, and seals responses.

The application's handler runs only between `admit` and `seal_response`.
"""

import collections
import random
import typing
import uuid

import zinctrail.client.seal as seal
import zinctrail.runtime.parsing as parsing

# High enough that ids are remembered for much longer than the control plane retains claims.
MAX_REMEMBERED_IDS = 200000
# The load up to which requests are admitted, as a multiple of the capacity; the application queues those beyond the
# slots.
OVERLOAD_FACTOR = 1.5
# Characters in the id of an incarnation.
INCARNATION_LENGTH = 16


class SealedResponse(typing.NamedTuple):
    """A response with its seal, ready to be sent."""

    status: int
    headers: dict[str, str]
    body: bytes


class Admission:
    """Holds the state of an endpoint's current incarnation: its service, the ids that ran, the load, heartbeat fields.

    `state` is 'ready', 'draining' or 'leaving'; `cold` is the remaining fraction of the warm-up, from 1 to 0.
    """

    def __init__(
        self,
        address: str,
        service: str,
        zone: str,
        slots: int,
        labels: dict[str, str] | None = None,
        rng: random.Random | None = None,
    ):
        self.address = address
        self.service = service
        self.zone = zone
        # How many requests the endpoint runs concurrently.
        self.slots = slots
        self.labels = dict(labels or {})
        # The source of incarnation ids in simulations; None: the operating system's random numbers.
        self.rng = rng
        self.state = 'ready'
        self.cold = 0.0
        self.running = 0
        self.start_incarnation()

    def start_incarnation(self) -> None:
        """Begin a new incarnation: at the start, or after the control plane removed the current one."""
        made = uuid.UUID(int=self.rng.getrandbits(128)) if self.rng else uuid.uuid4()
        self.incarnation = made.hex[:INCARNATION_LENGTH]
        # The ids of requests that ran in this incarnation, oldest first; the values are not used.
        self.executed_ids: collections.OrderedDict[str, bool] = collections.OrderedDict()

    def heartbeat(self) -> dict:
        """Return the body of a heartbeat, POST /v1/beat (docs/interface.md)."""
        return {
            'inc': self.incarnation,
            'addr': self.address,
            'service': self.service,
            'cell': self.zone,
            'labels': self.labels,
            'slots': self.slots,
            'state': self.state,
            'cold': round(self.cold, 3),
        }

    def liveness(self) -> SealedResponse:
        """Return the response to GET /zt/live, which names the incarnation that listens at the address."""
        return SealedResponse(200, {'zt-inc': self.incarnation}, b'')

    def capacity(self) -> float:
        """Return how many requests the endpoint can run concurrently; fewer while it is warming up."""
        return max(1, self.slots * (1 - self.cold))

    def is_full(self) -> bool:
        """True if one more request would overload the endpoint.

        Proxies limit requests as well, but a proxy that stopped waiting for a response can't know that it still runs.
        """
        return self.running + 1 > OVERLOAD_FACTOR * self.capacity() and self.running > 0

    def admit(self, headers: dict[str, str]) -> SealedResponse | None:
        """Admit or refuse a request.

        Returns None if the request is to run; call `seal_response` after it. Otherwise returns the refusing response.
        """
        request_id = headers.get('zt-id', '')
        reason = self._reason_to_refuse(headers)
        if reason is None and request_id in self.executed_ids and headers.get('zt-once', '1') == '1':
            # An error instead of the outcome "not-run", because the request did run here.
            return self.sealed(409, headers, 'ran', b'{"fault": "this id ran here before"}')
        if reason is None and self.is_full():
            reason = 'full'
        if reason is not None:
            return self.sealed(503, headers, 'not-run', b'{"fault": "%s"}' % reason.encode())
        self.executed_ids[request_id] = True
        while len(self.executed_ids) > MAX_REMEMBERED_IDS:
            self.executed_ids.popitem(last=False)
        self.running += 1
        return None

    def _reason_to_refuse(self, headers: dict[str, str]) -> str | None:
        """Return why a request can not run here, regardless of earlier requests and of the load; None if it can."""
        if headers.get('zt-inc') != self.incarnation:
            # The request was meant for the process that had this address before.
            return 'meant for another incarnation'
        if not headers.get('zt-id'):
            return 'without an id'
        if self.state == 'leaving':
            return 'leaving'
        if not parsing.is_whole(headers.get('zt-left-ms', '')) or int(headers['zt-left-ms']) <= 0:
            return 'no time left'
        return None

    def seal_response(
        self, headers: dict[str, str], status: int, body: bytes, content_type: str = 'application/json'
    ) -> SealedResponse:
        """End the admitted request that had `headers`, and return the handler's response with its seal."""
        self.running -= 1
        return self.sealed(status, headers, 'ran', body, content_type)

    def sealed(
        self,
        status: int,
        headers: dict[str, str],
        outcome: str,
        body: bytes,
        content_type: str = 'application/json',
    ) -> SealedResponse:
        """Return a sealed response to the request that had `headers`; `outcome` is 'ran' or 'not-run'."""
        response_headers = {
            'zt-id': headers.get('zt-id', ''),
            'zt-attempt': headers.get('zt-attempt', ''),
            'zt-inc': self.incarnation,
            'zt-outcome': outcome,
            # The load; 1 if every slot is in use.
            'zt-pressure': f'{self.running / self.slots:.3f}',
            'content-type': content_type,
        }
        return SealedResponse(status, seal.add(status, response_headers, body), body)
