"""What a pool's home knows of one sampler."""

import collections
from typing import Final

import msgspec

from guavagate.decisions._work import Kind, Work
from guavagate.decisions.ejection import Health
from guavagate.decisions.limits import ConcurrencyLimit
from guavagate.decisions.prefixes import PrefixIndex
from guavagate.models import RequestId, SamplerId, WeightVersion, ZoneId

# A report lags by a few seconds, in which a sampler ends about this much.
_ENDED_KEPT: Final = 64


class SamplerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """A sampler as settings and instance list declare it."""

    id: SamplerId
    zone: ZoneId = ZoneId('')
    slots: int = 8
    leaving: bool = False


class SamplerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A sampler's report; `running` counts work of others too.

    Parameters
    ----------
    at
        When the engine made it, in the clock's seconds, as well as known.
    """

    at: float
    running: int = 0
    version: WeightVersion | None = None
    adapters: frozenset[str] | None = None
    leaving: bool = False


class Running:
    """One piece of work on one sampler."""

    __slots__ = (
        'cached',
        'cached_at',
        'cost',
        'expected',
        'level',
        'pace',
        'start',
        'work',
    )

    def __init__(
        self, work: Work, cost: float, start: float, expected: float
    ) -> None:
        self.work = work
        self.cost = cost
        self.start = start
        self.expected = expected
        self.cached = 0
        self.cached_at = start
        self.level = 0
        self.pace: float | None = None


class SamplerState:
    """One sampler's slots, versions, cache and health."""

    def __init__(
        self, info: SamplerInfo, *, learning: bool, healing: bool
    ) -> None:
        self.info = info
        self.id: SamplerId = info.id
        self.leaving = info.leaving
        self.limit = ConcurrencyLimit(info.slots, learning=learning)
        self.health = Health()
        self.prefixes = PrefixIndex(heal=healing)
        self.running: dict[RequestId, Running] = {}
        self.version: WeightVersion | None = None
        self.adapters: frozenset[str] = frozenset()
        self.foreign = 0
        self.occupied = 0
        self.share = 1.0
        self.usable = info.slots
        self.usable_rollout = info.slots
        self._ended: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_ENDED_KEPT
        )

    @property
    def free(self) -> int:
        """Return how many more of any kind may start."""
        return max(self.usable, self.usable_rollout) - self.occupied

    def free_for(self, work: Work) -> int:
        """Return how many more of this work's kind may start."""
        if work.kind is Kind.ROLLOUT:
            return self.usable_rollout - self.occupied
        return self.usable - self.occupied

    def refresh(self, now: float, median: float | None, ejecting: bool) -> None:
        """Work out anew how much work it may have."""
        self.share = self.health.share(now, median) if ejecting else 1.0
        rollout = self.health.throughput_share(now) if ejecting else 1.0
        self.usable = self._slots_of(self.share)
        self.usable_rollout = self._slots_of(rollout)

    def _slots_of(self, share: float) -> int:
        if self.leaving or share <= 0:
            return 0
        return max(int(self.limit.value * share), 1)

    def blocks(self, work: Work) -> str:
        """Return why the work can't run here, or an empty text."""
        if self.leaving:
            return 'leaving'
        if self.id in work.excluded:
            return 'already tried'
        if work.adapter and work.adapter not in self.adapters:
            return 'adapter not loaded'
        if work.min_version is None:
            return ''
        if self.version is None or self.version < work.min_version:
            return 'version too old'
        return ''

    def start(self, running: Running) -> None:
        """Count work that starts here."""
        self.running[running.work.id] = running
        running.level = len(self.running)
        self.occupied = running.level + self.foreign

    def stop(self, work_id: RequestId, now: float) -> Running | None:
        """Count work that has ended here."""
        running = self.running.pop(work_id, None)
        if running is not None:
            self._ended.append((running.start, now))
            self.occupied = len(self.running) + self.foreign
        return running

    def declare(self, info: SamplerInfo) -> None:
        """Take over what settings and instance list say."""
        self.info = info
        self.leaving = info.leaving
        self.limit.configure(info.slots)

    def learn_report(self, report: SamplerReport) -> None:
        """Take in a report; it shows the past, so only foreign work counts."""
        self.version = report.version or self.version
        if report.adapters is not None:
            self.adapters = report.adapters
        self.leaving = self.leaving or report.leaving
        then = sum(run.start <= report.at for run in self.running.values())
        ended = sum(start <= report.at < end for start, end in self._ended)
        self.foreign = max(report.running - then - ended, 0)
        self.occupied = len(self.running) + self.foreign
