"""Predicts when the next job of a model arrives, without network access.

A trainer submits step `n` on schedule, or later if it had to wait for a weight
version. Step `n` is therefore never earlier than the first step plus `n`
periods, and on time while the trainer isn't late. The shortest period that any
step shows is the trainer's period.
"""

import msgspec


class Cadence(msgspec.Struct):
    """The observed submission times of one model's jobs, in seconds."""

    first_step: int | None = None
    first_submitted_at: float = 0
    period: float | None = None
    latest_step: int = 0

    def observe(self, step: int, submitted_at: float) -> None:
        """Update the period from the submission of a step."""
        if self.first_step is None or step < self.first_step:
            self.first_step = step
            self.first_submitted_at = submitted_at
            self.period = None
            self.latest_step = step
            return
        self.latest_step = max(self.latest_step, step)
        steps = step - self.first_step
        if steps:
            observed = (submitted_at - self.first_submitted_at) / steps
            self.period = min(observed, self.period or observed)

    def predict_next(self) -> float | None:
        """Return when the next step is due, or None if unknown."""
        if self.first_step is None or self.period is None:
            return None
        steps = self.latest_step + 1 - self.first_step
        return self.first_submitted_at + steps * self.period
