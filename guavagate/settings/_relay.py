"""The one watch of an availability zone, held by one of its instances.

A waiting watch counts as a call of the object API, whose rates grow more
slowly than the fleet, so instances must not watch each for themselves.
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

# An instance alone hears the store no more often than this.
WATCH_TIMEOUT_SECONDS: Final = 5.0
_RETRY_PAUSE: Final = 1.0
_CHECK_PAUSE: Final = 1.0
# A watch that silently misses changes is found out by listing again.
_LIST_EVERY: Final = 300.0


def choose_relay(zone: str, instances: list[PeerSettings]) -> InstanceId | None:
    """Return who holds a zone's watch: rendezvous hashing over its instances.

    Needs no store and no agreement: while views of the membership differ, two
    hold a watch or, for a moment, none does, and peers' digests bridge that.
    """
    candidates = [
        peer.id for peer in instances if peer.availability_zone == zone
    ]
    return next(iter(rank(f'settings/{zone}', candidates)), None)


def read_records(store: ObjectStore) -> tuple[list[Stored], Revision]:
    """Return every team's record in the store and the list's revision."""
    objects, revision = store.list_under(SETTINGS_PREFIX)
    found = [_decode(item) for item in objects]
    return [stored for stored in found if stored is not None], revision


class Relay:
    """Follows the store while this instance is its zone's relay."""

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        table: SettingsTable,
        writer: SettingsWriter,
        is_chosen: Callable[[], bool],
        heard: Callable[[], None],
        learnt: Callable[[SettingsRecord], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._writer = writer
        self._is_chosen = is_chosen
        self._heard = heard
        self._learnt = learnt
        self.is_active = False
        self._failing = False

    def run(self) -> None:
        """Follow the store whenever chosen; never returns."""
        while True:
            if self._is_chosen():
                self._set_active(now=True)
                self._follow()
            else:
                self._set_active(now=False)
                self._clock.sleep(_CHECK_PAUSE)

    def _set_active(self, *, now: bool) -> None:
        if now is not self.is_active:
            self.is_active = now
            write(
                _LOGGER, events.RELAY_STARTED if now else events.RELAY_STOPPED
            )

    def _follow(self) -> None:
        try:
            self._list_and_watch()
        except WatchCompactedError:
            # Changes were missed: the next round lists everything again.
            return
        except StoreError as error:
            self._note_failure(error)
            self._clock.sleep(_RETRY_PAUSE)

    def _list_and_watch(self) -> None:
        found, since = read_records(self._store)
        self._note_answer()
        for stored in found:
            self._take(stored)
        self._restore_lost(found)
        list_again = self._clock.now() + _LIST_EVERY
        while self._is_chosen() and self._clock.now() < list_again:
            changes, reached = self._store.watch(
                SETTINGS_PREFIX, since, WATCH_TIMEOUT_SECONDS
            )
            self._note_answer()
            if reached < since:
                # The store went back in time: its list tells how far.
                return
            since = reached
            for change in changes:
                self._take(_decode(change))

    def _note_failure(self, error: StoreError) -> None:
        # Once for an outage: it may last for hours, and is tried each second.
        if not self._failing:
            write(_LOGGER, events.WATCH_FAILED, error=str(error))
        self._failing = True

    def _note_answer(self) -> None:
        self._heard()
        if self._failing:
            write(_LOGGER, events.WATCH_RECOVERED)
        self._failing = False

    def _take(self, stored: Stored | None) -> None:
        if stored is None or stored.record is None:
            return
        if stored.revision > self._table.newest_revision(stored.record.team):
            self._table.apply_if_newer(stored.record)
            self._learnt(stored.record)

    def _restore_lost(self, found: list[Stored]) -> None:
        in_store = {
            stored.record.team: stored for stored in found if stored.record
        }
        nothing = Stored(None, Revision(0))
        for record in self._table.records():
            stored = in_store.get(record.team, nothing)
            if stored.revision < record.revision:
                self._writer.restore(record, stored)


def _decode(found: StoredObject | StoreChange) -> Stored | None:
    if found.value is None:
        return None
    try:
        return Stored(decode_record(found.value, found.path), found.version)
    except StoreError as error:
        # One team's broken object must not hold up the other teams.
        write(_LOGGER, events.INVALID_RECORD, path=found.path, error=str(error))
        return None
