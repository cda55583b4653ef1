"""What entries tell of usage."""

from guavagate.links import Message
from guavagate.ports.duties import Counts


class TellUsage(Message, frozen=True, kw_only=True):
    """A process's running totals by window, and its time of day."""

    source: str
    wall: float
    windows: dict[int, Counts] = {}


class UsageTaken(Message, frozen=True, kw_only=True):
    """They were taken in; `now` is the true time, from one that reports."""

    now: float | None = None
