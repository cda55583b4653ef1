"""One accepted revision of a team's settings, as the store keeps it."""

from typing import Final

import msgspec

from guavagate.exceptions import StoreError
from guavagate.models import Revision, TeamId

SETTINGS_PREFIX: Final = 'settings/'
HISTORY_PREFIX: Final = 'settings-history/'


# Each record carries this many earlier changes, and the store keeps as many
# earlier texts: weeks for a team that changes daily, 3 KB in each record.
HISTORY_LENGTH: Final = 20


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed the settings, when and why.

    Parameters
    ----------
    change_id
        Unique; its presence in the store proves that the change was accepted.
    at
        Wall-clock seconds.
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
        The text as the operator wrote it.
    earlier
        The changes before this one, newest first, bounded.
    """

    team: TeamId
    toml: str
    change: Change
    earlier: tuple[Change, ...] = ()

    @property
    def revision(self) -> Revision:
        """Return the number that only ever grows within the team."""
        return self.change.revision


def has_change(record: SettingsRecord, change_id: str) -> bool:
    """Return whether a change is part of this record or its past."""
    changes = (record.change, *record.earlier)
    return any(change.change_id == change_id for change in changes)


def settings_path(team: TeamId) -> str:
    """Return where a team's settings are kept."""
    return f'{SETTINGS_PREFIX}{team}'


def history_path(team: TeamId, revision: Revision) -> str:
    """Return where a replaced revision is kept."""
    return f'{HISTORY_PREFIX}{team}/{revision}'


def encode_record(record: SettingsRecord) -> bytes:
    """Return the bytes that the store keeps."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, path: str) -> SettingsRecord:
    """Return the record in an object's bytes.

    Raises
    ------
    StoreError
        The object is no settings record.
    """
    try:
        return msgspec.json.decode(value, type=SettingsRecord)
    except msgspec.DecodeError as error:
        raise StoreError(
            f'the object {path} is no settings record: {error}',
            'write it through `guavagate settings apply`',
        ) from error
