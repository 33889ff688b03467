"""The record of a run: a line for each event, with the seconds since the run began."""

import time


class Record:
    """Writes what was sent, answered and run to a file, a line each."""

    def __init__(self, path: str):
        self.path = path
        self.began = time.monotonic()
        with open(path, 'w', encoding='utf-8'):
            pass

    def write(self, text: str) -> None:
        """Write one line."""
        with open(self.path, 'a', encoding='utf-8') as file:
            file.write(f'{time.monotonic() - self.began:8.3f}  {text}\n')
