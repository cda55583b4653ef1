"""When the next job of a model is to be expected; needs no network.

A trainer submits its steps by a schedule, or later when it had to wait for a
version. Step `n` is thus never earlier than the first one plus `n` periods, and
on time whenever the trainer is not behind; so the period is the least that any
step shows.
"""

import msgspec


class Cadence(msgspec.Struct):
    """What the jobs of one model have shown; times in seconds."""

    first_step: int | None = None
    first_at: float = 0
    period: float | None = None
    newest_step: int = 0

    def observe(self, step: int, submitted: float) -> None:
        """Take in that a step was submitted."""
        if self.first_step is None or step < self.first_step:
            self.first_step = step
            self.first_at = submitted
            self.period = None
            self.newest_step = step
            return
        self.newest_step = max(self.newest_step, step)
        steps = step - self.first_step
        if steps:
            shown = (submitted - self.first_at) / steps
            self.period = min(shown, self.period or shown)

    def predict_next(self) -> float | None:
        """Return when the next step is due, if that can be told."""
        if self.first_step is None or self.period is None:
            return None
        steps = self.newest_step + 1 - self.first_step
        return self.first_at + steps * self.period
