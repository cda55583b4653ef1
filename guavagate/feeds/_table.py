"""Stores the newest version of each followed object."""

from collections.abc import Callable

from guavagate.feeds._messages import FeedEntry
from guavagate.feeds._packing import pack
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.models import Revision
from guavagate.ports.store import StoredObject

Put = Callable[[StoredObject], None]
Remove = Callable[[str], None]


class FeedTable:
    """The newest version of each object, by path.

    Versions of an object may arrive from two relays and from the store in any
    order. A version that is not newer than the current one, or than the last
    one before a removal, is ignored. Otherwise a slow relay would bring back
    an upstream that has left.
    """

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._packed: bytes | None = None
        self._removed_versions: dict[str, Revision] = {}
        self._handlers: dict[str, tuple[Put, Remove | None]] = {}
        self._unreadable = UnreadableObjects()
        self.on_change: Callable[[FeedEntry], None] = _ignore

    def register_handlers(
        self, prefix: str, put: Put, remove: Remove | None
    ) -> None:
        """Register handlers, which must not block, for a prefix."""
        self._handlers[prefix] = (put, remove)

    def entries(self, without: tuple[str, ...] = ()) -> list[FeedEntry]:
        """Return all current objects, but those under some prefixes."""
        return [
            FeedEntry(path=each.path, version=each.version, value=each.value)
            for each in self._objects.values()
            if find_prefix(each.path) not in without
        ]

    def pack_entries(self) -> bytes:
        """Return all current objects, compressed; cached until a change."""
        if self._packed is None:
            self._packed = pack(self.entries())
        return self._packed

    def versions(self, prefix: str) -> dict[str, Revision]:
        """Return the current versions of a prefix's objects, by path."""
        return {
            path: current.version
            for path, current in self._objects.items()
            if find_prefix(path) == prefix
        }

    def apply(self, entry: FeedEntry) -> None:
        """Apply a change or a removal, if it is newer than what is stored."""
        if entry.value is None:
            self.remove(entry.path, entry.version)
            return
        stored = StoredObject(entry.path, entry.value, entry.version)
        current = self._objects.get(entry.path)
        newest = self._removed_versions.get(entry.path, Revision(-1))
        if current is not None:
            newest = max(newest, current.version)
        if stored.version <= newest:
            return
        self._objects[entry.path] = stored
        self._packed = None
        self._deliver(stored)
        self.on_change(entry)

    def _deliver(self, stored: StoredObject) -> None:
        """Pass an object to its handler; treat an unreadable one as removed.

        The object is stored and relayed all the same. Otherwise it would hide
        the objects after it in a snapshot, and would not reach the instances
        that may be able to read it.
        """
        put, remove = self._handlers[find_prefix(stored.path)]
        try:
            put(stored)
        except ValueError as error:
            self._unreadable.report(stored.path, str(error))
            if remove is not None:
                remove(stored.path.partition('/')[2])
        else:
            self._unreadable.forget(stored.path)

    def remove(self, path: str, known: Revision | None = None) -> None:
        """Remove an object and record its last version.

        Parameters
        ----------
        known
            The newest revision that is gone, if known. A newer object was
            created after the removal, and stays: two relays may report the
            end of an object and its next creation in any order.
        """
        current = self._objects.get(path)
        if current is None:
            return
        if known is not None and current.version > known:
            return
        self._objects.pop(path)
        self._removed_versions[path] = current.version
        self._packed = None
        self._unreadable.forget(path)
        _, remove = self._handlers[find_prefix(path)]
        if remove is not None:
            remove(path.partition('/')[2])
        gone = max(current.version, known or current.version)
        self.on_change(FeedEntry(path=path, version=gone))

    def apply_snapshot(
        self,
        entries: list[FeedEntry],
        revision: Revision,
        prefixes: tuple[str, ...],
    ) -> None:
        """Apply a snapshot that is complete up to a revision of the store.

        Parameters
        ----------
        prefixes
            What the snapshot covers; it says nothing about other objects.
        """
        present = {each.path for each in entries}
        for path, current in list(self._objects.items()):
            if path in present or find_prefix(path) not in prefixes:
                continue
            if current.version <= revision:
                self.remove(path)
        for entry in entries:
            if find_prefix(entry.path) in prefixes:
                self.apply(entry)


def find_prefix(path: str) -> str:
    """Return the prefix of an object's path."""
    return path.partition('/')[0]


def _ignore(entry: FeedEntry) -> None:
    """Do nothing."""
