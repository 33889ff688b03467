"""Messages about load balancing, one class per kind of frame: endpoints, credit, results of requests.

They are declared in the same way as those of zinctrail.consensus.messages.
"""

import dataclasses

import zinctrail.consensus.codec as codec
import zinctrail.consensus.field_checks as field_checks

# -- endpoints -------------------------------------------------------------


@codec.register('probe_ep')
@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointProbe(codec.Message):
    """Asks a control node to run a health check of an endpoint."""

    incarnation: str = codec.required('inc', field_checks.is_string)
    address: str = codec.required('end', field_checks.is_address)
    number: int | None = codec.optional('no', field_checks.is_count)


@codec.register('probe_ep_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointProbeResponse(codec.Message):
    """Returns the result of a health check."""

    incarnation: str = codec.required('inc', field_checks.is_string)
    is_healthy: bool = codec.required('ok', field_checks.is_boolean)
    # Whether no process listens at the address. Older releases omit the field, which then counts as true.
    is_connection_refused: bool = codec.optional('refused', field_checks.is_boolean, default=True)
    number: int | None = codec.optional('no', field_checks.is_count)


@codec.register('suspect')
@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointSuspected(codec.Message):
    """Reports that the sending proxy could not connect to an endpoint."""

    incarnation: str = codec.required('inc', field_checks.is_string)


@codec.register('ill')
@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointFailures(codec.Message):
    """Reports a proxy's failure counters of endpoints with failed requests: a pair of counters by incarnation."""

    endpoints: dict[str, list[int]] = codec.required('ends', field_checks.map_of(field_checks.is_failure_counts))


# -- credit ----------------------------------------------------------------


@codec.register('want')
@dataclasses.dataclass(slots=True, kw_only=True)
class CreditRequest(codec.Message):
    """Asks the owner of a pool's credit ledger for credit for a proxy; counts are by incarnation."""

    pool: str = codec.required('pool', field_checks.is_string)
    fencing_token: int = codec.required('fence', field_checks.is_count)
    number: int = codec.required('no', field_checks.is_count)
    # The sequence number of the last grant that the proxy applied.
    last_grant: int = codec.required('took', field_checks.is_count)
    in_use: dict[str, int] = codec.required('use', field_checks.is_count_map)
    needed: dict[str, int] = codec.required('need', field_checks.is_count_map)
    is_idle: bool | None = codec.optional('idle', field_checks.is_boolean)
    load: dict[str, float] = codec.required('pressure', field_checks.map_of(field_checks.is_ratio))


@codec.register('credit')
@dataclasses.dataclass(slots=True, kw_only=True)
class CreditGrant(codec.Message):
    """Responds to a CreditRequest."""

    pool: str = codec.required('pool', field_checks.is_string)
    fencing_token: int = codec.required('fence', field_checks.is_count)
    grants: dict[str, int] = codec.required('grants', field_checks.is_count_map)
    # The number of the CreditRequest that this responds to.
    number: int = codec.required('no', field_checks.is_count)
    sequence: int = codec.required('seq', field_checks.is_count)


@codec.register('collect')
@dataclasses.dataclass(slots=True, kw_only=True)
class CreditCollection(codec.Message):
    """Asks a proxy which credit it holds; sent by a ledger's new owner."""

    pool: str = codec.required('pool', field_checks.is_string)
    fencing_token: int = codec.required('fence', field_checks.is_count)


@codec.register('held')
@dataclasses.dataclass(slots=True, kw_only=True)
class CreditHeld(codec.Message):
    """Responds to a CreditCollection."""

    pool: str = codec.required('pool', field_checks.is_string)
    fencing_token: int = codec.required('fence', field_checks.is_count)
    held: dict[str, int] = codec.required('held', field_checks.is_count_map)
    in_use: dict[str, int] = codec.required('use', field_checks.is_count_map)


@codec.register('ledger')
@dataclasses.dataclass(slots=True, kw_only=True)
class LedgerHandover(codec.Message):
    """Hands a ledger from its former owner to the next one: [credit held, credit in use] by proxy."""

    pool: str = codec.required('pool', field_checks.is_string)
    fencing_token: int = codec.required('fence', field_checks.is_count)
    ledger: dict[str, list] = codec.required('ledger', field_checks.map_of(field_checks.is_held_credit))


# -- results of requests that run at most once -----------------------------


@codec.register('kept')
@dataclasses.dataclass(slots=True, kw_only=True)
class ResultRequest(codec.Message):
    """Asks the proxy that ran a request for its stored result."""

    key: int = codec.required('key', field_checks.is_count)
    request_id: str = codec.required('id', field_checks.is_string)


@codec.register('kept_re')
@dataclasses.dataclass(slots=True, kw_only=True)
class ResultResponse(codec.Message):
    """Responds to a ResultRequest: [status, headers, body in base64], or None if no result is stored."""

    key: int = codec.required('key', field_checks.is_count)
    request_id: str | None = codec.optional('id', field_checks.is_string)
    result: list | None = codec.required('outcome', field_checks.null_or(field_checks.is_http_result))
    zone: str | None = codec.optional('cell', field_checks.is_string)
