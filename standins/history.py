"""The record of what a stand-in sent, ran and received."""

import os
import time
from pathlib import Path

import msgspec

from guavagate.measure.history import Event


def now() -> float:
    """Return seconds on the machine's clock, the same in all processes."""
    return time.monotonic()


class Recorder:
    """Writes events as JSON lines, one file per process and name.

    Parameters
    ----------
    folder
        Where the file goes; nothing is written without one.
    name
        Whose record it is.
    """

    def __init__(self, folder: str, name: str) -> None:
        self._file = None
        if folder:
            path = Path(folder, f'{name}-{os.getpid()}.jsonl')
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open('ab', buffering=0)

    def record(self, event: Event) -> None:
        """Write one event in a single call, so that a kill cuts none."""
        if self._file is not None:
            self._file.write(b'%b\n' % msgspec.json.encode(event))
