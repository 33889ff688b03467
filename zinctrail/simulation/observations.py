"""Types shared by the records of library traffic and of open traffic."""

import dataclasses
import datetime

# A point of virtual time.
Time = datetime.timedelta


@dataclasses.dataclass(slots=True)
class LockBelief:
    """A period during which an application believes that it holds a lock."""

    name: str
    holder: str
    fencing_token: int
    since: Time
    until: Time

    def stop(self, now: Time) -> None:
        """End the belief now, unless it ended earlier."""
        self.until = min(self.until, now)
