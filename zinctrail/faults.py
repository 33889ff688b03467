"""The exception tree. Each layer has its own branch and turns those from below."""


class Fault(Exception):
    """Anything zinctrail says went wrong."""


class SettingFault(Fault):
    """A flag or flagfile value is unusable."""


class DiskFault(Fault):
    """A write did not reach the disk."""


class DamageFault(DiskFault):
    """Something once acknowledged can no longer be read back whole."""


class FormatFault(DiskFault):
    """The data folder was written by a newer program; it is left as it is."""


class CallFault(Fault):
    """A call over HTTP was malformed; `status` is what the caller is told."""

    def __init__(self, status, text, **more):
        super().__init__(text)
        self.status = status
        self.more = more


class RequestFault(Fault):
    """The requester library could not bring a request to an outcome."""
