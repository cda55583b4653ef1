"""Messages about settings between instances."""

from guavagate.links import Message
from guavagate.models import InstanceId, TeamId
from guavagate.settings._record import SettingsRecord


class SettingsTell(Message, frozen=True, kw_only=True):
    """A revision, which the receiver applies and forwards to `targets`."""

    record: SettingsRecord
    targets: tuple[InstanceId, ...] = ()


class SettingsDigest(Message, frozen=True, kw_only=True):
    """A hash over all teams' revisions, of constant size.

    Parameters
    ----------
    known
        False until the sender has loaded the settings.
    """

    digest: int
    known: bool = True


class SettingsRevisionsAsk(Message, frozen=True, kw_only=True):
    """Requests the revisions in force, of one team if `team` is set."""

    team: TeamId | None = None


class SettingsRevisions(Message, frozen=True, kw_only=True):
    """The revisions in force on the sender.

    Parameters
    ----------
    heard_store, heard_peers
        Seconds since the last answer of each; None before the first.
    waits_for
        Why the sender is not ready; empty if it is.
    unreadable
        Accepted revisions that the sender's release can't read.
    """

    revisions: dict[TeamId, int]
    known: bool = True
    is_relay: bool = False
    heard_store: float | None = None
    heard_peers: float | None = None
    waits_for: tuple[str, ...] = ()
    unreadable: dict[TeamId, int] = {}


class SettingsFetch(Message, frozen=True, kw_only=True):
    """Requests the newest record of one team."""

    team: TeamId


class SettingsFetched(Message, frozen=True, kw_only=True):
    """The requested record, if the sender has one."""

    record: SettingsRecord | None = None
