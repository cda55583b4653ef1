"""Predicts when the next job of a model arrives, without network access.

A trainer submits step `n` on schedule, or later if it had to wait for a weight
version. Step `n` is therefore never earlier than the start of the schedule plus
`n` periods, and on time while the trainer isn't late. The shortest time that
some steps take from an early one shows the period.

Failure pattern: the first step of a deployment is accepted seconds late.
Counted from it, each later step seems to have come early, the period is too
short, and the trainer seems to fall behind by the difference at every step.
"""

from typing import Final

import msgspec

# The first and the last steps are remembered, as many of each.
MAX_STEPS: Final = 64
# A time between two steps shows the period only if they are this far apart.
MIN_SPAN_STEPS: Final = 3
# Submissions are observed this much too late at times.
JITTER_SECONDS: Final = 0.1
# A trainer without open steps has stopped once its next one is this many
# periods overdue.
STOPPED_PERIODS: Final = 3.0


class Cadence(msgspec.Struct):
    """The observed submission times of one model's jobs, in seconds.

    The schedule starts with step `first`, and later ones follow each `period`.
    """

    first: int = 0
    period: float | None = None
    submitted: dict[int, float] = {}

    def observe(self, step: int, submitted_at: float) -> None:
        """Update the period from the submission of a step."""
        if step in self.submitted:
            return
        self.submitted[step] = submitted_at
        if len(self.submitted) > MAX_STEPS:
            self.submitted.pop(sorted(self.submitted)[MAX_STEPS // 2])
        for start in sorted(self.submitted):
            shortest = self._find_shortest(start, 1, 0)
            if shortest is None:
                break
            if shortest[1] - start >= MIN_SPAN_STEPS:
                self._set_schedule(start, MIN_SPAN_STEPS, JITTER_SECONDS)
                return
        self._set_schedule(min(self.submitted), 1, 0)

    def _set_schedule(self, start: int, span: int, jitter: float) -> None:
        shortest = self._find_shortest(start, span, jitter)
        self.first = start
        self.period = None if shortest is None else shortest[0]

    def _find_shortest(
        self, start: int, span: int, jitter: float
    ) -> tuple[float, int] | None:
        """Return the shortest period from a step on, and the step showing it.

        The last one, if several do.
        """
        periods = [
            ((at - self.submitted[start] + jitter) / (step - start), -step)
            for step, at in self.submitted.items()
            if step >= start + span
        ]
        if not periods:
            return None
        period, step = min(periods)
        return period, -step

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
        return self.submitted[self.first] + (step - self.first) * period
