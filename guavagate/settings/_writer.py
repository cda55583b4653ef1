"""Changes a team's settings: checked, conditional, settled when in doubt."""

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
_PAUSE: Final = 0.2
_NONE: Final = Revision(0)


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change that an operator wants.

    Parameters
    ----------
    base
        The revision that the operator saw and edited; 0 for a new team.
    change_id
        Repeating a change under the same id never applies it twice.
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
        return self.record.revision if self.record else _NONE


class SettingsWriter:
    """Writes settings to the store on behalf of operators."""

    def __init__(
        self, clock: Clock, store: ObjectStore, table: SettingsTable
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table

    def change(
        self, wanted: ChangeRequest, limit: float = DEFAULT_LIMIT_SECONDS
    ) -> SettingsRecord:
        """Have a change accepted; it is in force here on return.

        Parameters
        ----------
        limit
            Seconds to go on trying when the store does not answer.

        Raises
        ------
        SettingsProblemsError
            The text is not acceptable.
        SettingsConflictError
            Another operator changed the settings since `base`.
        SettingsUnsureError
            The store may have taken the change; nobody can tell yet.
        StoreUnavailableError
            Certainly not accepted.
        """
        _check(wanted)
        if not wanted.change_id:
            wanted = msgspec.structs.replace(wanted, change_id=uuid.uuid4().hex)
        attempt = _Attempt(self._clock, self._store, self._table, wanted)
        accepted = attempt.run(limit)
        self._table.apply_if_newer(accepted)
        return accepted

    def read(self, team: TeamId) -> Stored:
        """Return what the store holds now."""
        return read_record(self._store, team)

    def read_revision(self, team: TeamId, revision: Revision) -> SettingsRecord:
        """Return an earlier revision whose text is still kept.

        Raises
        ------
        SettingsError
            It is no longer, or not yet, kept.
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
        """Delete the text that an accepted change pushes out of the history."""
        oldest = Revision(record.revision - HISTORY_LENGTH - 1)
        if oldest <= 0:
            return
        try:
            self._store.delete(history_path(record.team, oldest), None)
        except StoreError as error:
            _LOGGER.debug('old settings stay in the store: %s', error)

    def restore(self, newer: SettingsRecord, stored: Stored) -> bool:
        """Write an accepted record back to a store that has lost it.

        A store that merely answers from an old copy refuses the condition, so
        trying is safe; a store set back to an old copy would otherwise hand
        the earlier settings to every instance started after.
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
    """One change, tried until the store's answer is certain."""

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        table: SettingsTable,
        wanted: ChangeRequest,
    ) -> None:
        self._clock = clock
        self._store = store
        self._table = table
        self._wanted = wanted
        self._unsure = False
        self._last: StoreError | None = None

    def run(self, limit: float) -> SettingsRecord:
        """Try until accepted, refused or out of time."""
        until = self._clock.now() + limit
        while True:
            accepted = self._try_once()
            if accepted is not None:
                return accepted
            if self._clock.now() + _PAUSE > until:
                raise self._give_up()
            self._clock.sleep(_PAUSE)

    def _try_once(self) -> SettingsRecord | None:
        try:
            stored = read_record(self._store, self._wanted.team)
        except StoreUnavailableError as error:
            self._last = error
            return None
        if self._is_behind(stored):
            return None
        record = stored.record
        if record is not None and has_change(record, self._wanted.change_id):
            return record
        if stored.revision != self._wanted.base:
            raise SettingsConflictError(
                self._wanted.team,
                self._wanted.base,
                record.change if record else None,
                record.toml if record else '',
            )
        return self._put(stored)

    def _is_behind(self, stored: Stored) -> bool:
        """Return whether the store answered from an old copy."""
        in_force = self._table.record(self._wanted.team)
        if in_force is None or stored.revision >= in_force.revision:
            return False
        self._last = StoreUnavailableError(
            f'the store shows revision {stored.revision}, but'
            f' {in_force.revision} has been accepted',
            'wait until the object API answers from its newest copy',
        )
        writer = SettingsWriter(self._clock, self._store, self._table)
        writer.restore(in_force, stored)
        return True

    def _put(self, stored: Stored) -> SettingsRecord | None:
        record = _next_record(self._wanted, stored, self._clock.wall())
        _check_size(record)
        try:
            self._keep_past(stored)
        except StoreUnavailableError as error:
            self._last = error
            return None
        try:
            self._store.put(
                settings_path(record.team),
                encode_record(record),
                stored.version,
            )
        except StoreConflictError as error:
            # Another operator's change, or our own whose answer was lost:
            # the next read shows which.
            self._last = error
            return None
        except StoreUnavailableError as error:
            self._unsure = True
            self._last = error
            return None
        return record

    def _keep_past(self, stored: Stored) -> None:
        """Keep the text that is about to be replaced.

        Before, not after: a writer that died in between would leave a
        revision without its text, and a rollback to it impossible.
        """
        if stored.record is None:
            return
        path = history_path(stored.record.team, stored.revision)
        try:
            self._store.put(path, encode_record(stored.record), _NONE)
        except StoreConflictError:
            return

    def _give_up(self) -> SettingsError | StoreError:
        problem = self._last.problem if self._last else 'no answer'
        if self._unsure:
            return SettingsUnsureError(
                f'the store may or may not have taken the change of'
                f' {self._wanted.team!r}: {problem}',
                'repeat it with the same change id, which never applies it'
                f' twice: {self._wanted.change_id}',
            )
        return StoreUnavailableError(
            f'the change was not accepted: {problem}', 'try again later'
        )


def read_record(store: ObjectStore, team: TeamId) -> Stored:
    """Return a team's record and its version in the store."""
    path = settings_path(team)
    found = store.get(path)
    if found is None:
        return Stored(None, _NONE)
    return Stored(decode_record(found.value, path), found.version)


def _check_size(record: SettingsRecord) -> None:
    size = len(encode_record(record))
    if size > MAX_OBJECT_BYTES:
        raise SettingsError(
            f'the settings take {size} bytes in the store, which holds'
            f' {MAX_OBJECT_BYTES}',
            'split the team, or shorten the text',
        )


def _check(wanted: ChangeRequest) -> None:
    settings = parse_team_settings(wanted.toml, settings_path(wanted.team))
    if settings.team != wanted.team:
        raise SettingsError(
            f'the text is of the team {settings.team!r}, its path of'
            f' {wanted.team!r}',
            'write it under its own path, or mend `team`',
        )
    if not wanted.why.strip():
        raise SettingsError(
            'the change says no reason', 'give one, for the history'
        )


def _next_record(
    wanted: ChangeRequest, stored: Stored, at: float
) -> SettingsRecord:
    earlier: tuple[Change, ...] = ()
    if stored.record is not None:
        earlier = (stored.record.change, *stored.record.earlier)
    return SettingsRecord(
        team=wanted.team,
        toml=wanted.toml,
        change=Change(
            revision=Revision(stored.revision + 1),
            change_id=wanted.change_id,
            who=wanted.who,
            at=at,
            why=wanted.why,
        ),
        earlier=earlier[:HISTORY_LENGTH],
    )
