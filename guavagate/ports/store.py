"""Interface to the platform's object API."""

from typing import Protocol

import msgspec

from guavagate.models import Revision


class StoredObject(msgspec.Struct, frozen=True):
    """A stored object; `version` is the revision of its last change."""

    path: str
    value: bytes
    version: Revision


class StoreChange(msgspec.Struct, frozen=True):
    """A change reported by a watch; `value` is `None` after a deletion."""

    path: str
    value: bytes | None
    version: Revision


class WatchCompactedError(Exception):
    """The start revision is no longer available; list and watch again."""


class ObjectStore(Protocol):
    """Objects by path, with versions, conditional updates and watches.

    Every call may raise `StoreUnavailableError`. If `put` or `delete` raises
    it, the write may have taken effect: read the object to find out.
    """

    def get(self, path: str) -> StoredObject | None:
        """Return the object, or `None`."""

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """Return all objects under a prefix, and the revision of the list.

        With `after`, only those whose names follow it.
        """

    def put(
        self,
        path: str,
        value: bytes,
        expected: Revision | None,
    ) -> Revision:
        """Write if the object's version is as expected (0: must not exist).

        With ``None`` write unconditionally. Raises `StoreConflictError`.
        """

    def delete(self, path: str, expected: Revision | None) -> None:
        """Delete an object under the same condition as `put`."""

    def watch(
        self,
        prefix: str,
        since: Revision,
        timeout: float,
    ) -> tuple[list[StoreChange], Revision]:
        """Wait for changes after a revision; may return none on timeout.

        Raises `WatchCompactedError`.
        """
