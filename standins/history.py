"""History of the events that a stand-in sends, runs and receives."""

import os
import time
from pathlib import Path

import msgspec

from guavagate.measure.history import Event


def now() -> float:
    """Return monotonic seconds; all processes of the machine share them."""
    return time.monotonic()


class Recorder:
    """Writes events as JSON lines to one file per name and process.

    Parameters
    ----------
    folder
        Directory of the file; nothing is written when it is empty.
    name
        Name of the stand-in; the start of the file name.
    """

    def __init__(self, folder: str, name: str) -> None:
        self._file = None
        if folder:
            path = Path(folder, f'{name}-{os.getpid()}.jsonl')
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open('ab', buffering=0)

    def record(self, event: Event) -> None:
        """Write one event in a single call, so a kill truncates none."""
        if self._file is not None:
            self._file.write(b'%b\n' % msgspec.json.encode(event))
