"""The platform's object API as the rest of guavagate sees it."""

from typing import Protocol

import msgspec

from guavagate.models import Revision


class StoredObject(msgspec.Struct, frozen=True):
    """One object; `version` is the store's revision of its last change."""

    path: str
    value: bytes
    version: Revision


class StoreChange(msgspec.Struct, frozen=True):
    """A change that a watch reports; no value means it was deleted."""

    path: str
    value: bytes | None
    version: Revision


class WatchCompactedError(Exception):
    """The watch's start is no longer kept; list again, then watch."""


class ObjectStore(Protocol):
    """Objects under paths, with versions, conditional updates and watches.

    Every call may raise `StoreUnavailableError`; after one from `put` or
    `delete` the write may have taken effect: read back to learn it.
    """

    def get(self, path: str) -> StoredObject | None:
        """Return the object, or nothing."""

    def list_under(self, prefix: str) -> tuple[list[StoredObject], Revision]:
        """Return all objects under a prefix and the revision of the list."""

    def put(
        self,
        path: str,
        value: bytes,
        expected: Revision | None,
    ) -> Revision:
        """Write if the object's version is as expected (0: must not exist).

        ``None`` writes whatever is there. Raises `StoreConflictError`.
        """

    def delete(self, path: str, expected: Revision | None) -> None:
        """Delete under the same condition."""

    def watch(
        self,
        prefix: str,
        since: Revision,
        timeout: float,
    ) -> tuple[list[StoreChange], Revision]:
        """Wait for changes after a revision; may return none at the timeout.

        Raises `WatchCompactedError`.
        """
