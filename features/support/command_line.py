"""Runs zinctrailctl as operators do."""

import collections.abc
import subprocess
import sys
import typing

import features.support.repository as repository

TIMEOUT_S = 60


class CommandResult(typing.NamedTuple):
    """The exit status of zinctrailctl, and its output."""

    code: int
    output: str
    errors: str


def run(addresses: collections.abc.Iterable[str], *arguments: str, stdin: str | None = None) -> CommandResult:
    """Run zinctrailctl with the addresses of nodes that it may call."""
    done = subprocess.run(
        [sys.executable, '-m', 'zinctrail.cli.ctl', f'--at={",".join(addresses)}', *arguments],
        cwd=repository.ROOT,
        input=stdin,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    return CommandResult(done.returncode, done.stdout, done.stderr)
