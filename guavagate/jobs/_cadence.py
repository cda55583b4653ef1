"""Predicts when the next job of a model arrives, without network access.

A trainer submits step `n` on schedule, or later if it had to wait for a weight
version. Step `n` is therefore never earlier than the first step plus `n`
periods, and on time while the trainer isn't late. The shortest period that any
step shows is the trainer's period.
"""

from typing import Final

import msgspec

# The steps of which the times are remembered; a trainer's period rarely changes
# within as many.
MAX_STEPS: Final = 64
# A trainer without open steps has stopped once its next one is this many
# periods overdue.
STOPPED_PERIODS: Final = 3.0


class Cadence(msgspec.Struct):
    """The observed submission times of one model's jobs, in seconds."""

    period: float | None = None
    submitted: dict[int, float] = {}

    def observe(self, step: int, submitted_at: float) -> None:
        """Update the period from the submission of a step."""
        self.submitted.setdefault(step, submitted_at)
        if len(self.submitted) > MAX_STEPS:
            self.submitted.pop(sorted(self.submitted)[1])
        first = min(self.submitted)
        periods = [
            (at - self.submitted[first]) / (other - first)
            for other, at in self.submitted.items()
            if other > first
        ]
        if periods:
            self.period = min(periods)

    def predict_next(self) -> float | None:
        """Return when the next step is due, or None if unknown."""
        if self.period is None:
            return None
        return self._compute_due(max(self.submitted) + 1, self.period)

    def count_steps_behind(self, now: float, *, working: bool) -> float:
        """Return how far the trainer is behind its schedule, in steps.

        Parameters
        ----------
        working
            Whether it has open steps.
        """
        if not self.period:
            return 0
        latest = max(self.submitted)
        behind = self.submitted[latest] - self._compute_due(latest, self.period)
        overdue = now - self._compute_due(latest + 1, self.period)
        if working:
            behind = max(behind, overdue)
        elif overdue > STOPPED_PERIODS * self.period:
            return 0
        return max(behind, 0) / self.period

    def _compute_due(self, step: int, period: float) -> float:
        first = min(self.submitted)
        return self.submitted[first] + (step - first) * period
