"""The stand-in's objects, with versions, changes and waiting watches."""

from collections import deque
from typing import Final

import gevent
from gevent.event import Event

Change = tuple[int, str, bytes | None]

MAX_VALUE: Final = 1_000_000
RETAINED_CHANGES: Final = 10_000


class Conflict(Exception):
    """A conditional update met another version.

    Parameters
    ----------
    current
        The object's version; 0 when there is none.
    """

    def __init__(self, current: int) -> None:
        super().__init__(current)
        self.current = current


class Compacted(Exception):
    """Changes from that revision on are no longer kept."""


class Store:
    """Objects under paths; each change raises one revision for all.

    Parameters
    ----------
    kept
        How many changes a watch can go back.
    """

    def __init__(self, kept: int = RETAINED_CHANGES) -> None:
        self.revision = 0
        self.objects: dict[str, tuple[bytes, int]] = {}
        self._changes: deque[Change] = deque(maxlen=kept)
        self._compacted = 0
        self._changed = Event()

    def put(self, path: str, value: bytes, expected: int | None) -> int:
        """Write an object and return its version."""
        self._check(path, expected)
        self.revision += 1
        self.objects[path] = (value, self.revision)
        self._note(path, value)
        return self.revision

    def delete(self, path: str, expected: int | None) -> int:
        """Delete an object, if it is there."""
        self._check(path, expected)
        if path in self.objects:
            self.revision += 1
            self.objects.pop(path)
            self._note(path, None)
        return self.revision

    def changes_since(self, prefix: str, since: int) -> list[Change]:
        """Return what changed under a prefix after a revision."""
        if since < self._compacted:
            raise Compacted
        return [
            change
            for change in self._changes
            if change[0] > since and change[1].startswith(prefix)
        ]

    def watch(self, prefix: str, since: int, timeout: float) -> list[Change]:
        """Wait until something changes under a prefix."""
        with gevent.Timeout(timeout, exception=False):
            while not self.changes_since(prefix, since):
                self._changed.wait()
        return self.changes_since(prefix, since)

    def _check(self, path: str, expected: int | None) -> None:
        """Raise when the object is not at the version expected."""
        current = self.objects.get(path, (b'', 0))[1]
        if expected is not None and current != expected:
            raise Conflict(current)

    def _note(self, path: str, value: bytes | None) -> None:
        """Keep a change and wake the watches."""
        if len(self._changes) == self._changes.maxlen:
            self._compacted = self._changes[0][0]
        self._changes.append((self.revision, path, value))
        self._changed.set()
        self._changed.clear()
