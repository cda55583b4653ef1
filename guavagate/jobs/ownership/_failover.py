"""Decides when an owner's first successor works on its jobs.

The membership takes about two seconds to declare an instance dead, because a
false claim would take it out of use everywhere. A successor that starts to work
on the jobs too early does little harm: results are committed in numbered
chunks, and orders to samplers need the lease. So it starts earlier, and stops
when the owner is heard again. This module does no network calls; all times are
on the boot clock, which continues while a machine is suspended.
"""

import enum
from typing import Final

HEARTBEAT_INTERVAL_SECONDS: Final = 0.2
# Two heartbeats are missing, and a probe's outcome is there in time for the
# takeover.
PROBE_AFTER_SECONDS: Final = 0.45
PROBE_TIMEOUT_SECONDS: Final = 0.3
# Four heartbeats are missing. Pauses of a busy process are shorter.
TAKEOVER_AFTER_SECONDS: Final = 0.8
# Decisions are made ten times a second. After a longer gap this instance was
# itself paused: what the owner sent meanwhile is still unread.
MAX_DECISION_GAP_SECONDS: Final = 0.4
# Messages of a frozen or disconnected owner may arrive late, one by one. The
# jobs are returned once it has sent heartbeats for this long without a gap.
RETURN_AFTER_SECONDS: Final = 0.3


class Action(enum.Enum):
    """What the successor does next."""

    WAIT = 'wait'
    PROBE = 'probe'
    TAKE_OVER = 'take over'
    RETURN = 'return'


class Failover:
    """What the first successor of one owner knows of it.

    Attributes
    ----------
    working
        Whether this instance works on the jobs in the owner's place.
    """

    def __init__(self, now: float) -> None:
        self.working = False
        self._decided_at = now
        self._resumed_at = now
        self._heard_at: float | None = None
        self._heard_since = now
        self._probed_at: float | None = None
        self._is_lost: bool | None = None

    def record_heartbeat(self, now: float) -> None:
        """Record a heartbeat of the owner."""
        gap = self.measure_silence(now)
        if self._heard_at is None or gap > 2 * HEARTBEAT_INTERVAL_SECONDS:
            self._heard_since = now
        self._heard_at = now
        self._probed_at = None
        self._is_lost = None

    def record_probe(
        self, started_at: float, *, reached: bool, reached_others: bool
    ) -> None:
        """Record the outcome of a probe.

        Parameters
        ----------
        started_at
            When it started; ignored if the owner was heard since.
        reached
            Whether this instance, or another that it asked, reached the owner.
        reached_others
            Whether any other instance answered. Otherwise this instance is
            probably the one that is cut off.
        """
        if self._probed_at == started_at:
            self._is_lost = reached_others and not reached

    def measure_silence(self, now: float) -> float:
        """Return for how many seconds the owner has sent nothing."""
        heard_at = (
            self._resumed_at if self._heard_at is None else self._heard_at
        )
        return now - max(heard_at, self._resumed_at)

    def decide(self, now: float) -> Action:
        """Return what to do; called about ten times a second."""
        gap, self._decided_at = now - self._decided_at, now
        if gap > MAX_DECISION_GAP_SECONDS:
            self._resumed_at = now
            self._probed_at = None
        if self.working:
            return self._decide_return(now)
        silence = self.measure_silence(now)
        # An owner that never sent a heartbeat may be of a release that sends
        # none.
        if self._heard_at is None or silence < PROBE_AFTER_SECONDS:
            return Action.WAIT
        if self._probed_at is None or self._is_probe_old(now):
            self._probed_at = now
            self._is_lost = None
            return Action.PROBE
        if silence >= TAKEOVER_AFTER_SECONDS and self._is_lost:
            self.working = True
            return Action.TAKE_OVER
        return Action.WAIT

    def _decide_return(self, now: float) -> Action:
        heard_at = self._heard_at or 0
        heard_for = heard_at - self._heard_since
        current = now - heard_at <= 2 * HEARTBEAT_INTERVAL_SECONDS
        if current and heard_for >= RETURN_AFTER_SECONDS:
            self.working = False
            return Action.RETURN
        return Action.WAIT

    def _is_probe_old(self, now: float) -> bool:
        """Return whether a probe found no reason to take over long ago."""
        if self._probed_at is None:
            return True
        age = now - self._probed_at
        return age > PROBE_AFTER_SECONDS and not self._is_lost
