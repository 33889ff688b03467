"""The exception hierarchy. Each layer raises its own branch, and translates exceptions of the layers below it.

    ZinctrailError
      SettingsError             flags, flag files, programs' arguments       (cli, transport.program)
      DiskError                 the data folder                              (transport.disk)
        CorruptionError         acknowledged data is missing or unreadable   (consensus.storage)
        FormatError             the folder is written by a newer program     (consensus.storage)
      CallError                 a call that is refused, with an HTTP status  (control, directory)
        BadRequestError         400
        NotFoundError           404
        ConflictError           409
        GoneError               410
        TooLargeError           413
        UnavailableError        503
      RequestError              the client library                           (client)
        CoordinationError       a coordination call that was refused or whose result is unknown
      FrameError                an invalid frame from another process        (consensus.codec)
      DocumentError             an invalid JSON document from a caller       (runtime.documents)

Some modules declare exceptions of their own, derived from ZinctrailError, beside
their code (control.policies, fleet.recorded_day).
"""


class ZinctrailError(Exception):
    """Base of every error that zinctrail raises on purpose."""


class SettingsError(ZinctrailError):
    """A flag, a value in a flag file or a program's argument is invalid; the text is for the operator."""


class DiskError(ZinctrailError):
    """The data folder can not be used, or a write to it failed.

    `file` names the file within the data folder; '' if the error concerns the folder itself.
    """

    def __init__(self, reason: str, file: str = ''):
        super().__init__(f'{file}: {reason}' if file else reason)
        self.reason = reason
        self.file = file


class CorruptionError(DiskError):
    """Acknowledged data is missing from the data folder or can not be read."""


class FormatError(DiskError):
    """The data folder was written by a newer program; it is left untouched."""


class CallError(ZinctrailError):
    """A call over HTTP, or an operation on the replicated state, is refused.

    `status` is the HTTP status that the caller gets; `details` are further
    fields of the JSON body, such as `retry_ms` (milliseconds until a retry may succeed).
    """

    def __init__(self, status: int, text: str, **details):
        super().__init__(text)
        self.status = status
        self.details = details

    def to_result(self) -> dict:
        """The refusal as the result of an operation: `status`, `fault` and the details."""
        return {'status': self.status, 'fault': str(self), **self.details}


class BadRequestError(CallError):
    """400: the call is malformed, so a retry of the same call never succeeds."""

    def __init__(self, text: str, **details):
        super().__init__(400, text, **details)


class NotFoundError(CallError):
    """404: the page, operation, key or lock that the call names does not exist."""

    def __init__(self, text: str, **details):
        super().__init__(404, text, **details)


class ConflictError(CallError):
    """409: the call conflicts with the present state: another owner, another revision, another base."""

    def __init__(self, text: str, **details):
        super().__init__(409, text, **details)


class GoneError(CallError):
    """410: the call refers to something that was removed permanently: an incarnation, a part of the history."""

    def __init__(self, text: str, **details):
        super().__init__(410, text, **details)


class TooLargeError(CallError):
    """413: what the call would store is more than the system can hold, or send in one piece."""

    def __init__(self, text: str, **details):
        super().__init__(413, text, **details)


class UnavailableError(CallError):
    """503: the call can not be served now; `retry_ms` in the details says when to retry."""

    def __init__(self, text: str, **details):
        super().__init__(503, text, **details)


class RequestError(ZinctrailError):
    """A call of the client library did not succeed."""


class CoordinationError(RequestError):
    """A coordination call was refused, or its result is unknown.

    `status` is the HTTP status: 0 without a response (the result is unknown),
    504 if the control plane itself does not know the result. `document` is the
    JSON body of the response.
    """

    def __init__(self, status: int, document: dict):
        super().__init__(document.get('fault', f'status {status}'))
        self.status = status
        self.document = document


class FrameError(ZinctrailError):
    """A frame from another process is invalid; `kind` and `field` name its kind and the field at fault, if known."""

    def __init__(self, text: str, kind: str = '', field: str = ''):
        super().__init__(text)
        self.kind = kind
        self.field = field


class DocumentError(ZinctrailError):
    """A JSON document of a caller can't be read, or is out of bounds; the text says why."""
