"""Views in the object API, changed by conditional update alone."""

import logging
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import write
from guavagate.events.partitions import NOT_A_VIEW
from guavagate.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from guavagate.models import PartitionId, Revision
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._view import PREFIX, View, path_of
from guavagate.ports.store import ObjectStore, StoredObject

_LOGGER = logging.getLogger(__name__)
_SETTLE_PAUSE: Final = 0.2


class Views:
    """Reads and replaces the views in the store."""

    def __init__(
        self, store: ObjectStore, clock: Clock, safeguards: Safeguards
    ) -> None:
        self._store = store
        self._clock = clock
        self._safeguards = safeguards

    def read(self, partition: PartitionId) -> tuple[View | None, Revision]:
        """Return the view in force and its object's version."""
        found = self._store.get(path_of(partition))
        if found is None:
            return None, Revision(0)
        return _decode(found), found.version

    def read_all(self) -> list[View]:
        """Return all views."""
        found, _ = self._store.list_under(PREFIX)
        views: list[View] = []
        for one in found:
            try:
                views.append(_decode(one))
            except StoreError as error:
                write(_LOGGER, NOT_A_VIEW, path=one.path, error=str(error))
        return views

    def replace(
        self, view: View, expected: Revision, limit: float
    ) -> View | None:
        """Write a view; return the one in force then.

        Nothing is returned when the store has not answered for `limit`
        seconds: the write may have taken effect, or may yet.
        """
        end = self._clock.now() + limit
        while True:
            try:
                return self._write(view, expected)
            except StoreError:
                # The answer may be lost and the write in force. The same
                # conditional write again can't take effect twice, and its
                # conflict shows by the change id whether it had been ours.
                if not self._safeguards.read_back:
                    return None
            if self._clock.now() >= end:
                return None
            self._clock.sleep(_SETTLE_PAUSE)

    def _write(self, view: View, expected: Revision) -> View | None:
        """Write once; on a conflict read what is in force."""
        raw = msgspec.json.encode(view)
        condition = expected if self._safeguards.conditional else None
        try:
            self._store.put(path_of(view.partition), raw, condition)
        except StoreConflictError:
            return self._read_newer(view.partition, expected)
        return view

    def _read_newer(self, partition: PartitionId, than: Revision) -> View:
        """Read the view that a write has met; an old copy won't do."""
        found, version = self.read(partition)
        if found is None or version <= than:
            raise StoreUnavailableError(
                'the object API answered from an old copy', 'ask it again'
            )
        return found


def _decode(found: StoredObject) -> View:
    """Read a view; one that others have written over raises."""
    try:
        return msgspec.json.decode(found.value, type=View)
    except msgspec.MsgspecError as error:
        raise StoreError(
            f'{found.path} holds no view ({error})',
            'write back its earlier value; until then its partition can not '
            'change hands',
        ) from error
