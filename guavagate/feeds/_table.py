"""The objects followed, whoever told of them; nothing here goes back."""

from collections.abc import Callable

from guavagate.feeds._messages import FeedEntry
from guavagate.feeds._packing import pack
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.models import Revision
from guavagate.ports.store import StoredObject

Put = Callable[[StoredObject], None]
Remove = Callable[[str], None]


class FeedTable:
    """Newest versions by path.

    Two relays and the store itself may tell of one object in any order. A
    version that is not newer than what is held, or than what was held when
    the object went, changes nothing: else a slow relay would bring back an
    upstream that has left.
    """

    def __init__(self) -> None:
        self._held: dict[str, StoredObject] = {}
        self._packed: bytes | None = None
        self._gone: dict[str, Revision] = {}
        self._handlers: dict[str, tuple[Put, Remove | None]] = {}
        self._unreadable = UnreadableObjects()
        self.on_change: Callable[[FeedEntry], None] = _ignore

    def set_handlers(
        self, prefix: str, put: Put, remove: Remove | None
    ) -> None:
        """Set what is called, without blocking, for objects of a prefix."""
        self._handlers[prefix] = (put, remove)

    def entries(self) -> list[FeedEntry]:
        """Return all objects held."""
        return [
            FeedEntry(path=each.path, version=each.version, value=each.value)
            for each in self._held.values()
        ]

    def pack_entries(self) -> bytes:
        """Return all objects held, packed; made anew after a change."""
        if self._packed is None:
            self._packed = pack(self.entries())
        return self._packed

    def versions(self, prefix: str) -> dict[str, Revision]:
        """Return the versions held of a prefix's objects, by path."""
        return {
            path: held.version
            for path, held in self._held.items()
            if _find_prefix(path) == prefix
        }

    def apply(self, entry: FeedEntry) -> None:
        """Take in what was told of an object."""
        if entry.value is None:
            self.remove(entry.path)
            return
        stored = StoredObject(entry.path, entry.value, entry.version)
        held = self._held.get(entry.path)
        newest = self._gone.get(entry.path, Revision(-1))
        if held is not None:
            newest = max(newest, held.version)
        if stored.version <= newest:
            return
        self._held[entry.path] = stored
        self._packed = None
        self._put(stored)
        self.on_change(entry)

    def _put(self, stored: StoredObject) -> None:
        """Hand an object over; one that can not be read counts as gone.

        It is held and told on all the same: one unreadable object would else
        keep everything behind it in a copy from this instance, and from those
        that may be able to read it.
        """
        put, remove = self._handlers[_find_prefix(stored.path)]
        try:
            put(stored)
        except ValueError as error:
            self._unreadable.note(stored.path, str(error))
            if remove is not None:
                remove(stored.path.partition('/')[2])
        else:
            self._unreadable.note_read(stored.path)

    def remove(self, path: str) -> None:
        """Forget an object that is gone."""
        held = self._held.pop(path, None)
        if held is None:
            return
        self._gone[path] = held.version
        self._packed = None
        self._unreadable.note_read(path)
        _, remove = self._handlers[_find_prefix(path)]
        if remove is not None:
            remove(path.partition('/')[2])
        self.on_change(FeedEntry(path=path, version=held.version))

    def apply_snapshot(
        self, entries: list[FeedEntry], revision: Revision
    ) -> None:
        """Take in a copy that is complete up to a revision of the store."""
        present = {each.path for each in entries}
        for path, held in list(self._held.items()):
            if path not in present and held.version <= revision:
                self.remove(path)
        for entry in entries:
            self.apply(entry)


def _find_prefix(path: str) -> str:
    return path.partition('/')[0]


def _ignore(entry: FeedEntry) -> None:
    """Tell nobody."""
