"""What instances tell each other about settings."""

from guavagate.links import Message
from guavagate.models import InstanceId, TeamId
from guavagate.settings._record import SettingsRecord


class SettingsTell(Message, frozen=True, kw_only=True):
    """A revision for the receiver, who passes it on to `targets`."""

    record: SettingsRecord
    targets: tuple[InstanceId, ...] = ()


class SettingsDigest(Message, frozen=True, kw_only=True):
    """A hash over every team's revision: constant size, whatever is kept.

    Parameters
    ----------
    known
        False while the sender has not learnt the settings itself.
    """

    digest: int
    known: bool = True


class SettingsRevisionsAsk(Message, frozen=True, kw_only=True):
    """Asks for the revisions in force; `team` narrows it to one."""

    team: TeamId | None = None


class SettingsRevisions(Message, frozen=True, kw_only=True):
    """The revisions in force on the sender.

    Parameters
    ----------
    heard_store, heard_peers
        Seconds since each was last heard; nothing when never.
    waits_for
        Why the sender is not ready; empty when it is.
    unreadable
        Accepted revisions that the sender's release could not read.
    """

    revisions: dict[TeamId, int]
    known: bool = True
    is_relay: bool = False
    heard_store: float | None = None
    heard_peers: float | None = None
    waits_for: tuple[str, ...] = ()
    unreadable: dict[TeamId, int] = {}


class SettingsFetch(Message, frozen=True, kw_only=True):
    """Asks for one team's record in force."""

    team: TeamId


class SettingsFetched(Message, frozen=True, kw_only=True):
    """The record asked for, if the sender has one."""

    record: SettingsRecord | None = None
