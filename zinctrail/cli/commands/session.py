"""A session of zinctrailctl: its options, its calls to the processes, and its exit codes."""

import dataclasses
import enum
import sys
import time
import typing
import uuid

import zinctrail.errors as errors
import zinctrail.transport.blocking_client as blocking_client

# The pages that every process serves with the same content.
SHARED_PAGES = ('/v1/status', '/v1/config', '/v1/epoch', '/v1/items')
CALL_TIMEOUT_S = 30
# The attempts of a call that is retried until its result is conclusive, and the pause between them.
ATTEMPTS = 3
RETRY_PAUSE_S = 0.3
# The result of the call is unknown, or the process can not serve it now.
INCONCLUSIVE_STATUSES = (503, 504)


class ExitCode(enum.IntEnum):
    """The exit codes of zinctrailctl."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    NO_RESPONSE = 4
    WAIT_TIMED_OUT = 5


class CommandError(errors.ZinctrailError):
    """Raised when a command fails; the text is for the operator."""

    def __init__(self, exit_code: ExitCode, text: str):
        super().__init__(text)
        self.exit_code = exit_code


@dataclasses.dataclass
class Options:
    """The flags of one run."""

    # IP:PORT of HTTP of control nodes or directories.
    addresses: list[str]
    # The generation of the configuration that a change is based on; None: the current one.
    base: int | None = None
    # Whether to wait until a change is in force everywhere.
    wait: bool = True
    # The revision that a key must be at; None: any.
    revision: int | None = None
    lock_ms: int = 5000
    # The first letters of the cluster that is abandoned.
    confirm: str | None = None
    json: bool = False
    # How long `wait` waits at most.
    within_s: float = 30
    # Whether `watch` makes only one call.
    once: bool = False


class Response(typing.NamedTuple):
    """An HTTP status with its JSON document."""

    status: int
    document: dict


class Session:
    """Makes calls to the first of the given processes that responds."""

    def __init__(self, options: Options):
        self.options = options
        self.addresses = list(options.addresses)

    def call(self, method: str, path: str, body: dict | None = None, timeout_s: float = CALL_TIMEOUT_S) -> Response:
        """Make a call; a change that was sent is not retried at another process, since both might execute it."""
        last_error = 'no address in --at'
        for address in self.addresses:
            try:
                response = Response(*blocking_client.call(address, method, path, body, timeout_s))
            except blocking_client.ERRORS as error:
                last_error = f'{address}: {error}'
                if method != 'GET' and not isinstance(error, ConnectionRefusedError):
                    text = f'{last_error}; {method} {path} may or may not have been executed'
                    raise CommandError(ExitCode.NO_RESPONSE, text) from error
                continue
            # A process with a failed disk, or behind a partition, responds but can't reach the leader; the next one may.
            is_shared = method == 'GET' and path in SHARED_PAGES
            if is_shared and response.status in INCONCLUSIVE_STATUSES and address != self.addresses[-1]:
                continue
            return response
        raise CommandError(ExitCode.NO_RESPONSE, last_error)

    def get(self, path: str) -> dict:
        """Return the document of a page."""
        return document_of(self.call('GET', path))

    def post(self, path: str, body: dict) -> dict:
        """Call an operation once and return its result."""
        return document_of(self.call('POST', path, body))

    def call_until_conclusive(self, method: str, path: str, body: dict) -> dict:
        """Make an idempotent call, and retry it, also at the other processes, until its result is conclusive."""
        return document_of(self._retry(lambda: self.call(method, path, body)))

    def call_until_done(self, method: str, path: str, body: dict) -> dict:
        """Make an idempotent call, and retry it until it succeeds: a refused call is retried as well."""

        def attempt() -> Response:
            response = self.call(method, path, body)
            if response.status not in INCONCLUSIVE_STATUSES:
                document_of(response)
            return response

        return document_of(self._retry(attempt))

    def _retry(self, attempt: typing.Callable[[], Response]) -> Response:
        """Return the first conclusive response of `ATTEMPTS` attempts, each at the next process.

        If there is none, the last response is returned or the last error raised.
        """
        response: Response | None = None
        error: CommandError | None = None
        for attempts_left in reversed(range(ATTEMPTS)):
            response, error = None, None
            try:
                response = attempt()
                if response.status not in INCONCLUSIVE_STATUSES:
                    return response
            except CommandError as caught:
                error = caught
            self.addresses.append(self.addresses.pop(0))
            if attempts_left:
                time.sleep(RETRY_PAUSE_S)
        if response is None:
            assert error is not None
            raise error
        return response

    def new_call_id(self) -> str:
        """Return a new id for an idempotent call; it begins with an epoch that the control plane still retains."""
        return f'{self.get("/v1/epoch")["epoch"]}.{uuid.uuid4().hex}'


def document_of(response: Response) -> dict:
    """Return the document of a successful response.

    For any other response, its errors are printed to standard error and CommandError is raised.
    """
    if response.status == 200:
        return response.document
    for error_row in response.document.get('faults', ()):
        print(f'{error_row["path"]}: {error_row["fault"]}', file=sys.stderr)
    exit_code = ExitCode.CONFLICT if response.status == 409 else ExitCode.FAILED
    raise CommandError(exit_code, response.document.get('fault', f'status {response.status}'))


def require_args(args: list[str], count: int) -> None:
    """Raise CommandError if a command has fewer arguments than it needs."""
    if len(args) < count:
        raise CommandError(ExitCode.USAGE, f'expected at least {count} arguments, got {len(args)}; see --help')
