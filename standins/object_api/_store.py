"""Store of versioned objects with a change log and watches."""

from collections import deque
from typing import Final

import gevent
from gevent.event import Event

Change = tuple[int, str, bytes | None]

MAX_VALUE: Final = 1_000_000
RETAINED_CHANGES: Final = 10_000


class Conflict(Exception):
    """The object isn't at the expected version.

    Parameters
    ----------
    current
        Current version of the object; 0 when it doesn't exist.
    """

    def __init__(self, current: int) -> None:
        super().__init__(current)
        self.current = current


class Compacted(Exception):
    """The changes since the given revision are no longer retained."""


class Store:
    """Objects by path; all share one revision, which each change raises.

    Parameters
    ----------
    retained
        Number of changes that watches can read back.
    """

    def __init__(self, retained: int = RETAINED_CHANGES) -> None:
        self.revision = 0
        self.objects: dict[str, tuple[bytes, int]] = {}
        self._changes: deque[Change] = deque(maxlen=retained)
        self._compacted = 0
        self._changed = Event()

    def put(self, path: str, value: bytes, expected: int | None) -> int:
        """Write an object and return its version."""
        self._check(path, expected)
        self.revision += 1
        self.objects[path] = (value, self.revision)
        self._append_change(path, value)
        return self.revision

    def delete(self, path: str, expected: int | None) -> int:
        """Delete an object if it exists and return the revision."""
        self._check(path, expected)
        if path in self.objects:
            self.revision += 1
            self.objects.pop(path)
            self._append_change(path, None)
        return self.revision

    def changes_since(self, prefix: str, since: int) -> list[Change]:
        """Return the changes under a prefix after revision `since`."""
        if since < self._compacted:
            raise Compacted
        return [
            change
            for change in self._changes
            if change[0] > since and change[1].startswith(prefix)
        ]

    def watch(self, prefix: str, since: int, timeout: float) -> list[Change]:
        """Wait for changes under a prefix; return none on timeout."""
        with gevent.Timeout(timeout, exception=False):
            while not self.changes_since(prefix, since):
                self._changed.wait()
        return self.changes_since(prefix, since)

    def _check(self, path: str, expected: int | None) -> None:
        """Raise `Conflict` if the object isn't at the expected version."""
        current = self.objects.get(path, (b'', 0))[1]
        if expected is not None and current != expected:
            raise Conflict(current)

    def _append_change(self, path: str, value: bytes | None) -> None:
        """Append a change to the log and wake the watches."""
        if len(self._changes) == self._changes.maxlen:
            self._compacted = self._changes[0][0]
        self._changes.append((self.revision, path, value))
        self._changed.set()
        self._changed.clear()
