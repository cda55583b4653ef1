"""Runs the daemon with a time of day that another process can step.

The offset in seconds stands in the file that `OFFSET_VARIABLE` names. Machines
step their clocks while processes run, so the file is read again and again.
"""

import os
import pathlib
import runpy
import time
from typing import Final

OFFSET_VARIABLE: Final = 'STEPPED_CLOCK_FILE'
_READ_SECONDS: Final = 0.05


class _SteppedClock:
    """The machine's time of day with the offset of the file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._true_time = time.time
        self._read_at = float('-inf')
        self._offset = float(0)

    def read(self) -> float:
        """Return the stepped time of day."""
        now = time.monotonic()
        if now - self._read_at > _READ_SECONDS:
            self._read_at = now
            self._offset = float(self._path.read_text() or 0)
        return self._true_time() + self._offset


def main() -> None:
    """Run the daemon with the command line of this process."""
    path = pathlib.Path(os.environ[OFFSET_VARIABLE])
    time.time = _SteppedClock(path).read
    runpy.run_module('guavagate.daemon', run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
