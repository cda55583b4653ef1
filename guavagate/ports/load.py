"""The load that an upstream reports with an answer."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream's load when it answered; `None` for what it does not report.

    Attributes
    ----------
    running, waiting
        Requests in slots and in the upstream's queue.
    slots
        Requests that the upstream runs at once; at least 1.
    slowdown
        How many times as long as usual work takes there at that moment; above
        0. Only services whose machines are shared report it.
    cold_for
        How many seconds longer the upstream is cold; 0 if it is warm.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    slowdown: float | None = None
    cold_for: float | None = None

    @property
    def busy(self) -> int | None:
        """Return running and waiting requests, or `None` if unknown."""
        if self.running is not None:
            return self.running + (self.waiting or 0)
        # Requests wait only while all slots are in use.
        if self.waiting and self.slots:
            return self.slots + self.waiting
        return None
