"""Validation of text from outside the process."""

import re

PORT_LIMIT = 65536
PATH = re.compile('/[!-~]*')


def is_whole(text: str) -> bool:
    """Whether `text` is a whole number in ASCII digits; str.isdigit alone also accepts "\u00b2", which is none."""
    return text.isascii() and text.isdigit()


def is_address(text) -> bool:
    """Whether `text` is a string of the form HOST:PORT."""
    if not isinstance(text, str):
        return False
    host, colon, port = text.rpartition(':')
    return bool(colon and host) and is_whole(port) and 0 < int(port[:9]) < PORT_LIMIT


def is_path(text) -> bool:
    """Whether `text` is a string that can be sent as the target of an HTTP request: a slash, then visible ASCII."""
    return isinstance(text, str) and PATH.fullmatch(text) is not None
