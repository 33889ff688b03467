"""Free ports and a time limit for processes that a scenario starts on loopback."""

import random
import socket
import subprocess
import threading

LOOPBACK = '127.0.0.1'
FIRST_PORT, LAST_PORT = 20000, 30000
MAX_SECONDS = 60


def free_ports(count: int) -> int:
    """Return the first of `count` consecutive free ports."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT)
        sockets = [socket.socket() for _ in range(count)]
        try:
            for offset, listener in enumerate(sockets):
                listener.bind((LOOPBACK, first + offset))
            return first
        except OSError:
            continue
        finally:
            for listener in sockets:
                listener.close()


def limit_time(process: subprocess.Popen) -> threading.Timer:
    """Kill a process after MAX_SECONDS, so that one that never responds fails the scenario instead of hanging it.

    The returned timer must be cancelled once the process has ended.
    """
    timer = threading.Timer(MAX_SECONDS, process.kill)
    timer.start()
    return timer
