"""The stored form of one accepted revision of a team's settings."""

from typing import Final

import msgspec

from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.models import Revision, TeamId

SETTINGS_PREFIX: Final = 'settings/'
HISTORY_PREFIX: Final = 'settings-history/'


# Earlier changes listed in each record, and earlier texts kept in the store.
# Covers weeks for a team with daily changes, at 3 KB per record.
HISTORY_LENGTH: Final = 20


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed the settings, when and why.

    Parameters
    ----------
    change_id
        Unique id; its presence in the store proves that the change was
        accepted.
    at
        Wall-clock time in seconds.
    """

    revision: Revision
    change_id: str
    who: str
    at: float
    why: str


class SettingsRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One revision of one team's settings.

    Parameters
    ----------
    toml
        The settings text as the operator wrote it.
    earlier
        Earlier changes, newest first, at most `HISTORY_LENGTH`.
    """

    team: TeamId
    toml: str
    change: Change
    earlier: tuple[Change, ...] = ()

    @property
    def revision(self) -> Revision:
        """Return the revision number, which grows with each change."""
        return self.change.revision


def has_change(record: SettingsRecord, change_id: str) -> bool:
    """Return whether a record or its listed history has a change."""
    changes = (record.change, *record.earlier)
    return any(change.change_id == change_id for change in changes)


def settings_path(team: TeamId) -> str:
    """Return the store path of a team's settings."""
    return f'{SETTINGS_PREFIX}{team}'


def history_path(team: TeamId, revision: Revision) -> str:
    """Return the store path of an earlier revision."""
    return f'{HISTORY_PREFIX}{team}/{revision}'


def encode_record(record: SettingsRecord) -> bytes:
    """Return a record's bytes for the store."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, path: str) -> SettingsRecord:
    """Decode a record from an object's bytes.

    Raises
    ------
    StoreError
        The object is not a settings record.
    """
    try:
        return decode_json(value, SettingsRecord)
    except msgspec.DecodeError as error:
        raise StoreError(
            f'the object {path} is no settings record: {error}',
            'write it through `guavagate settings apply`',
        ) from error
