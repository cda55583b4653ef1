"""Watches the settings in the store, on one instance per availability zone.

A waiting watch counts as a call of the object API, whose rates grow more
slowly than the fleet, so not every instance may watch the store itself.
"""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import settings as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.models import InstanceId, Revision
from guavagate.ports.store import (
    ObjectStore,
    StoreChange,
    StoredObject,
    WatchCompactedError,
)
from guavagate.settings._record import (
    SETTINGS_PREFIX,
    SettingsRecord,
    decode_record,
)
from guavagate.settings._schema import PeerSettings
from guavagate.settings._table import SettingsTable
from guavagate.settings._writer import SettingsWriter, Stored
from guavagate.util.rendezvous import rank

_LOGGER = logging.getLogger(__name__)

# Without changes, the relay gets an answer of the store only this often.
WATCH_TIMEOUT_SECONDS: Final = 5.0
_RETRY_SECONDS: Final = 1.0
_CHECK_INTERVAL_SECONDS: Final = 1.0
# A new list finds changes that the watch missed without an error.
_LIST_INTERVAL_SECONDS: Final = 300.0


def choose_relay(zone: str, instances: list[PeerSettings]) -> InstanceId | None:
    """Return a zone's relay, by rendezvous hashing over its instances.

    This needs neither store nor consensus. While views of the membership
    differ, two instances may watch or, for a moment, none; digests of peers
    cover that gap.
    """
    candidates = [
        peer.id for peer in instances if peer.availability_zone == zone
    ]
    return next(iter(rank(f'settings/{zone}', candidates)), None)


def read_records(store: ObjectStore) -> tuple[list[Stored], Revision]:
    """Return all teams' records in the store, and the list's revision."""
    objects, revision = store.list_under(SETTINGS_PREFIX)
    found = [_decode(item) for item in objects]
    return [stored for stored in found if stored is not None], revision


class Relay:
    """Watches the store while this instance is its zone's relay."""

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        table: SettingsTable,
        writer: SettingsWriter,
        is_chosen: Callable[[], bool],
        on_answer: Callable[[], None],
        on_revision: Callable[[SettingsRecord], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._writer = writer
        self._is_chosen = is_chosen
        self._on_answer = on_answer
        self._on_revision = on_revision
        self.is_active = False
        self._failing = False

    def run(self) -> None:
        """Watch the store whenever chosen; never returns."""
        while True:
            if self._is_chosen():
                self._set_active(active=True)
                self._follow()
            else:
                self._set_active(active=False)
                self._clock.sleep(_CHECK_INTERVAL_SECONDS)

    def _set_active(self, *, active: bool) -> None:
        if active is not self.is_active:
            self.is_active = active
            write(
                _LOGGER,
                events.RELAY_STARTED if active else events.RELAY_STOPPED,
            )

    def _follow(self) -> None:
        try:
            self._list_and_watch()
        except WatchCompactedError:
            # Changes were missed; the next round lists all records again.
            return
        except StoreError as error:
            self._record_failure(error)
            self._clock.sleep(_RETRY_SECONDS)

    def _list_and_watch(self) -> None:
        found, watched_to = read_records(self._store)
        self._record_answer()
        for stored in found:
            self._apply(stored)
        self._restore_lost(found)
        list_again = self._clock.now() + _LIST_INTERVAL_SECONDS
        while self._is_chosen() and self._clock.now() < list_again:
            changes, reached = self._store.watch(
                SETTINGS_PREFIX, watched_to, WATCH_TIMEOUT_SECONDS
            )
            self._record_answer()
            if reached < watched_to:
                # The store went back to an earlier state; list it again.
                return
            watched_to = reached
            for change in changes:
                self._apply(_decode(change))

    def _record_failure(self, error: StoreError) -> None:
        # Log once per outage: it may last for hours with a retry each second.
        if not self._failing:
            write(_LOGGER, events.WATCH_FAILED, error=str(error))
        self._failing = True

    def _record_answer(self) -> None:
        self._on_answer()
        if self._failing:
            write(_LOGGER, events.WATCH_RECOVERED)
        self._failing = False

    def _apply(self, stored: Stored | None) -> None:
        if stored is None or stored.record is None:
            return
        if stored.revision > self._table.newest_revision(stored.record.team):
            self._table.apply_if_newer(stored.record)
            self._on_revision(stored.record)

    def _restore_lost(self, found: list[Stored]) -> None:
        in_store = {
            stored.record.team: stored for stored in found if stored.record
        }
        missing = Stored(None, Revision(0))
        for record in self._table.records():
            stored = in_store.get(record.team, missing)
            if stored.revision < record.revision:
                self._writer.restore(record, stored)


def _decode(found: StoredObject | StoreChange) -> Stored | None:
    if found.value is None:
        return None
    try:
        return Stored(decode_record(found.value, found.path), found.version)
    except StoreError as error:
        # One team's invalid object must not block the other teams.
        write(_LOGGER, events.INVALID_RECORD, path=found.path, error=str(error))
        return None
