"""Concurrency per sampler, found from observed pace.

Load pattern: engines admit all that they get, and the configured number of
slots is wrong, or right only for short prompts.
Without it: an engine with more streams than its memory holds swaps them in
and out; every stream slows down together and nothing finishes.

Seconds per token are learnt for each number of running streams. The limit
moves towards the number with the most tokens a second, which batching raises
and swapping lowers; one more is tried now and then. A pace that doubles at
the same number is the engine's own slow spell and says nothing about
numbers: then the others are forgotten and the limit stays, so it needn't be
found again after the spell.
"""

from typing import Final

_SMOOTHING: Final = 0.2
# Answers at a number of streams before its pace counts.
_MIN_ANSWERS: Final = 6
# Tokens a second must differ by this share: below it, prompts and lengths do.
_MARGIN: Final = 0.05
# Trying one more costs some throughput while it lasts, if it is too much;
# once a minute and sampler that is little, and a changed engine is found out.
EXPLORE_EVERY_S: Final = 60.0
# Twice the pace at the same number of streams is no matter of batching.
SLOW_SPELL: Final = 2.0
# Growth ends at this multiple of the configured slots.
MAX_GROWTH: Final = 4


class _Level:
    """The pace at one number of running streams."""

    __slots__ = ('answers', 'pace')

    def __init__(self, pace: float) -> None:
        self.answers = 0
        self.pace = pace

    def learn(self, pace: float) -> None:
        """Take in one answer's pace."""
        self.answers += 1
        self.pace += _SMOOTHING * (pace - self.pace)


class ConcurrencyLimit:
    """One sampler's limit."""

    def __init__(self, configured: int, *, learning: bool) -> None:
        self._configured = max(configured, 1)
        self._learning = learning
        self._levels: dict[int, _Level] = {}
        self._explored: float | None = None
        self.value = self._configured

    def configure(self, slots: int) -> None:
        """Take over a changed number of slots."""
        if slots != self._configured and slots > 0:
            self._configured = slots
            self.value = slots
            self._levels.clear()

    def learn(self, pace: float, running: int, now: float) -> None:
        """Take in one answer's seconds per token.

        Parameters
        ----------
        running
            How many streams ran there, the answer's own included.
        """
        if not self._learning:
            return
        level = self._levels.get(running)
        if level is None:
            level = _Level(pace)
            self._levels[running] = level
        elif self._is_slow_spell(level, pace):
            self._levels = {running: _Level(pace)}
            return
        level.learn(pace)
        if running >= self.value:
            self._move(now)

    def _is_slow_spell(self, level: _Level, pace: float) -> bool:
        if level.answers < _MIN_ANSWERS:
            return False
        return not 1 / SLOW_SPELL < pace / level.pace < SLOW_SPELL

    def _move(self, now: float) -> None:
        present = self._rate(self.value)
        if present is None:
            return
        known = {
            count: rate
            for count in self._levels
            if (rate := self._rate(count)) is not None
        }
        best = max(known, key=lambda count: known[count])
        if best < self.value and present < known[best] * (1 - _MARGIN):
            self.value -= 1
            return
        if self._explored is None:
            self._explored = now
        if now - self._explored >= EXPLORE_EVERY_S:
            self._explore(now)

    def _explore(self, now: float) -> None:
        if self.value < MAX_GROWTH * self._configured:
            self._explored = now
            self._levels.pop(self.value + 1, None)
            self.value += 1

    def _rate(self, count: int) -> float | None:
        level = self._levels.get(count)
        if level is None or level.answers < _MIN_ANSWERS:
            return None
        return count / level.pace
