"""The teams' settings in force, loaded from the store."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock, Task
from guavagate.events import settings as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.models import Revision, TeamId
from guavagate.ports.store import (
    ObjectStore,
    StoreChange,
    StoredObject,
    WatchCompactedError,
)
from guavagate.settings._record import SETTINGS_PREFIX, decode_record
from guavagate.settings._schema import TeamSettings
from guavagate.settings._table import SettingsTable

_LOGGER = logging.getLogger(__name__)

WATCH_TIMEOUT: Final = 20.0
RETRY_PAUSE: Final = 1.0


class TeamsInForce:
    """Keeps the teams' settings in force; implements `runtime.Teams`."""

    def __init__(self, clock: Clock, store: ObjectStore) -> None:
        self.table = SettingsTable()
        self._clock = clock
        self._store = store
        self._task: Task | None = None

    def start(self) -> None:
        """Start following the store."""
        self._task = self._clock.spawn(self._follow)

    def stop(self) -> None:
        """Stop following the store."""
        if self._task is not None:
            self._task.kill()

    def get(self, team: TeamId) -> TeamSettings | None:
        """Return the settings in force for a team."""
        return self.table.get(team)

    def all(self) -> list[TeamSettings]:
        """Return every team's settings in force."""
        return self.table.all()

    def subscribe(self, changed: Callable[[TeamId], None]) -> None:
        """Call back, without blocking, after each change."""
        self.table.subscribe(changed)

    def _follow(self) -> None:
        while True:
            try:
                self._list_and_watch()
            except WatchCompactedError:
                continue
            except StoreError as error:
                write(_LOGGER, events.WATCH_FAILED, error=str(error))
                self._clock.sleep(RETRY_PAUSE)

    def _list_and_watch(self) -> None:
        objects, since = self._store.list_under(SETTINGS_PREFIX)
        for found in objects:
            self._take(found)
        while True:
            since = self._watch_once(since)

    def _watch_once(self, since: Revision) -> Revision:
        changes, reached = self._store.watch(
            SETTINGS_PREFIX, since, WATCH_TIMEOUT
        )
        for change in changes:
            self._take(change)
        return reached

    def _take(self, found: StoredObject | StoreChange) -> None:
        if found.value is not None:
            self.table.offer(decode_record(found.value, found.path))
