"""Detects that an instance may have missed an evacuation; no network access.

Failure pattern: an instance is suspended while a zone is evacuated, and goes on
with what waited: items to start, requests in its sockets. The evacuation is
behind these in another socket. After a suspension the last known state is
therefore not used before it is shown to be recent. An outage of the store alone
makes it old too, but then there is nothing newer to learn.
"""

from typing import Final

# The instance looks at its clock several times a second.
LOOK_INTERVAL_SECONDS: Final = 0.25
SUSPENDED_SECONDS: Final = 1.0
# Well within the 5 s in which an evacuation takes effect.
RECENT_SECONDS: Final = 3.0
# A relay that is reachable has sent a heartbeat and a snapshot by then.
MAX_HOLD_SECONDS: Final = 1.5


class SuspensionGuard:
    """Tells whether requests wait until newer data has arrived."""

    def __init__(self, now: float) -> None:
        self._looked_at = now
        self._resumed_at: float | None = None

    def must_hold(self, now: float, age: float) -> bool:
        """Return whether nothing may be sent, as an evacuation may be missed.

        Parameters
        ----------
        now
            The time of a clock that runs on during a suspension.
        age
            How long ago the evacuations were known to be the newest, in
            seconds.
        """
        if now - self._looked_at > SUSPENDED_SECONDS:
            self._resumed_at = now
        self._looked_at = now
        if self._resumed_at is None:
            return False
        if age < RECENT_SECONDS or now - self._resumed_at > MAX_HOLD_SECONDS:
            self._resumed_at = None
        return self._resumed_at is not None
