"""Errors of changes to settings."""

from guavagate.exceptions import SettingsError
from guavagate.models import Revision, TeamId
from guavagate.settings._record import Change


class SettingsConflictError(SettingsError):
    """Another operator changed the settings first.

    Parameters
    ----------
    base
        The revision that the refused change was made from.
    other
        The latest change in the store; None without settings.
    toml
        The settings text in the store.
    """

    def __init__(
        self, team: TeamId, base: Revision, other: Change | None, toml: str
    ) -> None:
        super().__init__(
            _describe_conflict(team, base, other),
            'read it with `guavagate settings diff`, then make the change'
            ' again from the newest revision',
        )
        self.team = team
        self.base = base
        self.other = other
        self.toml = toml


class SettingsUnsureError(SettingsError):
    """The store may or may not have accepted a change."""


def _describe_conflict(
    team: TeamId, base: Revision, other: Change | None
) -> str:
    if other is None:
        return f'{team!r} has no settings, so no revision {base}'
    return (
        f'the change was made from revision {base} of {team!r}, but'
        f' {other.who} has made revision {other.revision}: {other.why}'
    )
