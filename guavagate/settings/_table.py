"""Stores the settings in force on this instance, one revision per team."""

import logging
from collections.abc import Callable

import msgspec
import xxhash

from guavagate.events import settings as events
from guavagate.events import write
from guavagate.exceptions import SettingsError
from guavagate.models import Revision, TeamId
from guavagate.settings._documents import parse_team_settings
from guavagate.settings._record import SettingsRecord, settings_path
from guavagate.settings._schema import TeamSettings

LOGGER = logging.getLogger('guavagate.settings')


class ParsedRecord(msgspec.Struct, frozen=True):
    """A team's record with the parsed settings."""

    record: SettingsRecord
    settings: TeamSettings


class SettingsTable:
    """Stores each team's newest accepted revision, which never decreases."""

    def __init__(self) -> None:
        self._teams: dict[TeamId, ParsedRecord] = {}
        self._subscribers: list[Callable[[TeamId], None]] = []
        self._unreadable: dict[TeamId, SettingsRecord] = {}

    def get(self, team: TeamId) -> TeamSettings | None:
        """Return the settings in force for a team."""
        found = self._teams.get(team)
        return found.settings if found else None

    def all(self) -> list[TeamSettings]:
        """Return all teams' settings in force, sorted by team."""
        return [self._teams[team].settings for team in sorted(self._teams)]

    def record(self, team: TeamId) -> SettingsRecord | None:
        """Return the record in force for a team."""
        found = self._teams.get(team)
        return found.record if found else None

    def records(self) -> list[SettingsRecord]:
        """Return all records in force, sorted by team."""
        return [self._teams[team].record for team in sorted(self._teams)]

    def revision(self, team: TeamId) -> Revision:
        """Return the revision in force, 0 for an unknown team."""
        found = self._teams.get(team)
        return found.record.revision if found else Revision(0)

    def revisions(self) -> dict[TeamId, Revision]:
        """Return each team's revision in force."""
        return {
            team: found.record.revision for team, found in self._teams.items()
        }

    def unreadable(self) -> dict[TeamId, Revision]:
        """Return the accepted revisions that this release can't read."""
        return {
            team: record.revision for team, record in self._unreadable.items()
        }

    def newest(self, team: TeamId) -> SettingsRecord | None:
        """Return the newest received record, readable or not."""
        return self._unreadable.get(team) or self.record(team)

    def newest_revision(self, team: TeamId) -> Revision:
        """Return the newest received revision, 0 for an unknown team."""
        record = self.newest(team)
        return record.revision if record else Revision(0)

    def subscribe(self, changed: Callable[[TeamId], None]) -> None:
        """Register a non-blocking callback for changes."""
        self._subscribers.append(changed)

    def apply_if_newer(self, record: SettingsRecord) -> bool:
        """Put a record in force if it is newer; return whether it was.

        An older record comes from a late message, from a store that answers
        from a stale replica or from a relay that was paused. Applying it would
        undo an accepted change. Comparing revisions is enough, because each
        revision of a team is written by one conditional update.
        """
        if record.revision <= self.newest_revision(record.team):
            return False
        try:
            settings = parse_team_settings(
                record.toml, settings_path(record.team)
            )
        except SettingsError as error:
            self._record_unreadable(record, error)
            return False
        self._unreadable.pop(record.team, None)
        self._teams[record.team] = ParsedRecord(record, settings)
        write(
            LOGGER,
            events.IN_FORCE,
            team=record.team,
            revision=record.revision,
            who=record.change.who,
            why=record.change.why,
        )
        for changed in self._subscribers:
            changed(record.team)
        return True

    def digest(self) -> int:
        """Return a hash over every team's revision."""
        newest = {**self.revisions(), **self.unreadable()}
        lines = (f'{team}={newest[team]}' for team in sorted(newest))
        return xxhash.xxh64_intdigest('\n'.join(lines).encode())

    def _record_unreadable(
        self, record: SettingsRecord, error: SettingsError
    ) -> None:
        # A newer release may know keys that this one does not. Without the
        # record, this instance would fetch the revision again each second.
        self._unreadable[record.team] = record
        write(
            LOGGER,
            events.UNREADABLE,
            team=record.team,
            revision=record.revision,
            error=str(error),
        )
