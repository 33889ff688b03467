"""The events that one response to a watch returns; the caller watches again for those after them."""

import typing

# The names and values in a response, in characters: a frame has room for them even if each is escaped.
MAX_CHARACTERS = 1 << 20
# What an event takes up besides its name and value, in characters.
EVENT_CHARACTERS = 100


class EventPage:
    """Collects events, oldest first, as many as a response has room for."""

    def __init__(self) -> None:
        self.events: list[dict[str, typing.Any]] = []
        self._room = MAX_CHARACTERS

    def add(self, event: dict[str, typing.Any], name: str, value: str | None) -> bool:
        """Add an event; False if there is no room for it. There is always room for the first one."""
        self._room -= EVENT_CHARACTERS + len(name) + len(value or '')
        if self.events and self._room < 0:
            return False
        self.events.append(event)
        return True
