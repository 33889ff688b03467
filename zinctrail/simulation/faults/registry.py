"""The registries of faults: they map the names that the commands take to the functions that inject the faults."""

import re
import typing

FaultFunction = typing.TypeVar('FaultFunction', bound=typing.Callable)


class Registry(dict):
    """Faults by name."""

    def register(self, function: FaultFunction) -> FaultFunction:
        """Register a function under its own name; serves as a decorator."""
        self[function.__name__] = function
        return function


# The faults of scenarios of the client library, and of scenarios of open traffic.
CLIENT = Registry()
OPEN = Registry()


def names_of(group: str) -> list[str]:
    """Return the names of the faults in a group such as a+b:c, in their order."""
    return re.split('[+:]', group)
