"""The messages that carry usage counts to the reporter."""

from guavagate.links import Message
from guavagate.ports.duties import TeamCounts


class TellUsage(Message, frozen=True, kw_only=True):
    """A process's running totals by window, and its wall clock time."""

    source: str
    wall: float
    windows: dict[int, TeamCounts] = {}


class UsageTaken(Message, frozen=True, kw_only=True):
    """Confirms totals; `now` is the cluster time if the sender reports."""

    now: float | None = None
