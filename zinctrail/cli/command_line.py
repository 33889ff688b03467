"""Common functions of the command-line tools: exit with an error, open input files."""

import sys
import typing

import zinctrail.errors as errors

# The file name for standard input.
STANDARD_INPUT = '-'


def fail(program: str, error: errors.ZinctrailError, exit_code: int) -> typing.NoReturn:
    """Print an error to standard error and exit."""
    print(f'{program}: {error}', file=sys.stderr)
    sys.exit(exit_code)


def open_input(name: str) -> typing.TextIO:
    """Open a text file; - is standard input. Raises OSError."""
    return sys.stdin if name == STANDARD_INPUT else open(name, encoding='utf-8')
