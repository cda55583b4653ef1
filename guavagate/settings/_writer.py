"""Writes changes of a team's settings to the store."""

import logging
import uuid
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import settings as events
from guavagate.events import write
from guavagate.exceptions import (
    SettingsError,
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from guavagate.models import Revision, TeamId
from guavagate.ports.store import ObjectStore
from guavagate.settings._documents import parse_team_settings
from guavagate.settings._errors import (
    SettingsConflictError,
    SettingsUnsureError,
)
from guavagate.settings._record import (
    HISTORY_LENGTH,
    Change,
    SettingsRecord,
    decode_record,
    encode_record,
    has_change,
    history_path,
    settings_path,
)
from guavagate.settings._table import SettingsTable

_LOGGER = logging.getLogger(__name__)

DEFAULT_LIMIT_SECONDS: Final = 10.0
# The object API holds values up to a megabyte.
MAX_OBJECT_BYTES: Final = 1_000_000
_RETRY_SECONDS: Final = 0.2
_NO_REVISION: Final = Revision(0)


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change that an operator requests.

    Parameters
    ----------
    base
        The revision that the operator edited; 0 for a new team.
    change_id
        Repeating a change with the same id never applies it twice.
    """

    team: TeamId
    toml: str
    base: Revision
    who: str
    why: str
    change_id: str = ''


class Stored(msgspec.Struct, frozen=True):
    """The record in the store and the store's version of it."""

    record: SettingsRecord | None
    version: Revision

    @property
    def revision(self) -> Revision:
        """Return the record's revision, 0 when there is none."""
        return self.record.revision if self.record else _NO_REVISION


class SettingsWriter:
    """Writes settings to the store for operators."""

    def __init__(
        self, clock: Clock, store: ObjectStore, table: SettingsTable
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table

    def change(
        self, request: ChangeRequest, limit: float = DEFAULT_LIMIT_SECONDS
    ) -> SettingsRecord:
        """Write a change; it is in force on this instance on return.

        Parameters
        ----------
        limit
            Seconds to retry while the store does not answer.

        Raises
        ------
        SettingsProblemsError
            The text is invalid.
        SettingsConflictError
            Another operator changed the settings since `base`.
        SettingsUnsureError
            The store may or may not have accepted the change.
        StoreUnavailableError
            The change was certainly not accepted.
        """
        _check_request(request)
        if not request.change_id:
            request = msgspec.structs.replace(
                request, change_id=uuid.uuid4().hex
            )
        attempt = _Attempt(self._clock, self._store, self._table, request)
        accepted = attempt.run(limit)
        self._table.apply_if_newer(accepted)
        return accepted

    def read(self, team: TeamId) -> Stored:
        """Return the record that is now in the store."""
        return read_record(self._store, team)

    def read_revision(self, team: TeamId, revision: Revision) -> SettingsRecord:
        """Return an earlier revision whose text is still stored.

        Raises
        ------
        SettingsError
            It is no longer, or not yet, stored.
        """
        current = self._table.record(team)
        if current is not None and current.revision == revision:
            return current
        path = history_path(team, revision)
        found = self._store.get(path)
        if found is not None:
            return decode_record(found.value, path)
        current = self.read(team).record
        if current is not None and current.revision == revision:
            return current
        raise SettingsError(
            f'the text of revision {revision} of {team!r} is not kept',
            'see `guavagate settings history` for those that are',
        )

    def delete_oldest(self, record: SettingsRecord) -> None:
        """Delete the text that a new record drops from the history."""
        oldest = Revision(record.revision - HISTORY_LENGTH - 1)
        if oldest <= 0:
            return
        try:
            self._store.delete(history_path(record.team, oldest), None)
        except StoreError as error:
            _LOGGER.debug('could not delete an old revision: %s', error)

    def restore(self, newer: SettingsRecord, stored: Stored) -> bool:
        """Write an accepted record back to a store that has lost it.

        If the store only answers from a stale replica, it rejects the
        condition, so trying is safe. If it was reset to a backup, every
        instance that starts later would get the earlier settings.
        """
        try:
            self._store.put(
                settings_path(newer.team), encode_record(newer), stored.version
            )
        except StoreError:
            return False
        write(
            _LOGGER,
            events.RESTORED,
            team=newer.team,
            revision=newer.revision,
            found=stored.revision,
        )
        return True


class _Attempt:
    """One change, retried until its outcome is certain."""

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        table: SettingsTable,
        request: ChangeRequest,
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._request = request
        self._uncertain = False
        self._last_error: StoreError | None = None

    def run(self, limit: float) -> SettingsRecord:
        """Retry until the change is accepted, rejected or out of time."""
        deadline = self._clock.now() + limit
        while True:
            accepted = self._try_once()
            if accepted is not None:
                return accepted
            if self._clock.now() + _RETRY_SECONDS > deadline:
                raise self._make_error()
            self._clock.sleep(_RETRY_SECONDS)

    def _try_once(self) -> SettingsRecord | None:
        try:
            stored = read_record(self._store, self._request.team)
        except StoreUnavailableError as error:
            self._last_error = error
            return None
        if self._is_stale(stored):
            return None
        record = stored.record
        if record is not None and has_change(record, self._request.change_id):
            return record
        if stored.revision != self._request.base:
            raise SettingsConflictError(
                self._request.team,
                self._request.base,
                record.change if record else None,
                record.toml if record else '',
            )
        return self._put(stored)

    def _is_stale(self, stored: Stored) -> bool:
        """Return whether the store lacks an accepted revision; restore it."""
        in_force = self._table.record(self._request.team)
        if in_force is None or stored.revision >= in_force.revision:
            return False
        self._last_error = StoreUnavailableError(
            f'the store shows revision {stored.revision}, but'
            f' {in_force.revision} has been accepted',
            'wait until the object API answers from its newest copy',
        )
        writer = SettingsWriter(self._clock, self._store, self._table)
        writer.restore(in_force, stored)
        return True

    def _put(self, stored: Stored) -> SettingsRecord | None:
        record = _next_record(self._request, stored, self._clock.wall())
        _check_size(record)
        try:
            self._archive(stored)
        except StoreUnavailableError as error:
            self._last_error = error
            return None
        try:
            self._store.put(
                settings_path(record.team),
                encode_record(record),
                stored.version,
            )
        except StoreConflictError as error:
            # Either another operator's change or this one, whose answer was
            # lost; the next read shows which.
            self._last_error = error
            return None
        except StoreUnavailableError as error:
            self._uncertain = True
            self._last_error = error
            return None
        return record

    def _archive(self, stored: Stored) -> None:
        """Store the text that is about to be replaced.

        This comes before the change: if the process died in between, the
        earlier text would be lost and a rollback to it impossible.
        """
        if stored.record is None:
            return
        path = history_path(stored.record.team, stored.revision)
        try:
            self._store.put(path, encode_record(stored.record), _NO_REVISION)
        except StoreConflictError:
            return

    def _make_error(self) -> SettingsError | StoreError:
        problem = self._last_error.problem if self._last_error else 'no answer'
        if self._uncertain:
            return SettingsUnsureError(
                f'the store may or may not have taken the change of'
                f' {self._request.team!r}: {problem}',
                'repeat it with the same change id, which never applies it'
                f' twice: {self._request.change_id}',
            )
        return StoreUnavailableError(
            f'the change was not accepted: {problem}', 'try again later'
        )


def read_record(store: ObjectStore, team: TeamId) -> Stored:
    """Return a team's record and its version in the store."""
    path = settings_path(team)
    found = store.get(path)
    if found is None:
        return Stored(None, _NO_REVISION)
    return Stored(decode_record(found.value, path), found.version)


def _check_size(record: SettingsRecord) -> None:
    size = len(encode_record(record))
    if size > MAX_OBJECT_BYTES:
        raise SettingsError(
            f'the settings take {size} bytes in the store, which holds'
            f' {MAX_OBJECT_BYTES}',
            'split the team, or shorten the text',
        )


def _check_request(request: ChangeRequest) -> None:
    settings = parse_team_settings(request.toml, settings_path(request.team))
    if settings.team != request.team:
        raise SettingsError(
            f'the text is of the team {settings.team!r}, its path of'
            f' {request.team!r}',
            'write it under its own path, or mend `team`',
        )
    if not request.why.strip():
        raise SettingsError(
            'the change says no reason', 'give one, for the history'
        )


def _next_record(
    request: ChangeRequest, stored: Stored, at: float
) -> SettingsRecord:
    earlier: tuple[Change, ...] = ()
    if stored.record is not None:
        earlier = (stored.record.change, *stored.record.earlier)
    return SettingsRecord(
        team=request.team,
        toml=request.toml,
        change=Change(
            revision=Revision(stored.revision + 1),
            change_id=request.change_id,
            who=request.who,
            at=at,
            why=request.why,
        ),
        earlier=earlier[:HISTORY_LENGTH],
    )
