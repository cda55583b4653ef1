"""Measures whether a process still runs its other tasks."""

import time
from typing import Final

import gevent

# Heartbeats have to be sent in time.
MAX_PAUSE_SECONDS: Final = 0.5


class TaskWatch:
    """Measures for how long a task that is due has to wait."""

    def __init__(self) -> None:
        self._longest = float(0)
        self._task = gevent.spawn(self._run)
        gevent.sleep(0)

    def stop(self) -> float:
        """Return the longest pause, in seconds."""
        gevent.sleep(0.01)
        self._task.kill()
        return self._longest

    def _run(self) -> None:
        while True:
            before = time.monotonic()
            gevent.sleep(0.005)
            self._longest = max(self._longest, time.monotonic() - before)
