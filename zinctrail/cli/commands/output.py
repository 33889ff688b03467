"""Output and input files of the commands: JSON, tables, lines."""

import json
import sys
import typing

import zinctrail.cli.command_line as command_line
import zinctrail.cli.commands.session as session


def print_json(document: typing.Any) -> None:
    """Print a JSON document, indented and sorted."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_table(rows: typing.Sequence[tuple[str, ...]]) -> None:
    """Print rows in columns that are as wide as their widest text; the first row is the heading."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        print('  '.join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())


def print_lines(lines: list[str], none_found_message: str) -> None:
    """Print lines; if there are none, the command fails with `none_found_message`."""
    if not lines:
        raise session.CommandError(session.ExitCode.FAILED, none_found_message)
    print('\n'.join(lines))


def read_json_file(name: str) -> typing.Any:
    """Read the JSON document of a file; - is standard input."""
    try:
        with command_line.open_input(name) as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise session.CommandError(session.ExitCode.FAILED, f'{name}: {error}') from error


def read_lines(names: list[str]) -> list[str]:
    """Read all lines of some files, or of standard input if no file is named."""
    try:
        if not names:
            return list(sys.stdin)
        lines: list[str] = []
        for name in names:
            with open(name, encoding='utf-8', errors='replace') as file:
                lines += file
        return lines
    except OSError as error:
        raise session.CommandError(session.ExitCode.FAILED, str(error)) from error
