"""Tracks one sampler of a pool at its queue owner."""

import collections
from typing import Final

import msgspec

from guavagate.decisions._work import Work, WorkKind
from guavagate.decisions.ejection import Health
from guavagate.decisions.limits import ConcurrencyLimit
from guavagate.decisions.prefixes import PrefixIndex
from guavagate.models import RequestId, SamplerId, WeightVersion, ZoneId

# A report lags by a few seconds, in which a sampler ends about this many runs.
_MAX_ENDED: Final = 64


class SamplerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """A sampler as declared by settings and the instance list."""

    id: SamplerId
    zone: ZoneId = ZoneId('')
    slots: int = 8
    leaving: bool = False


class SamplerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A sampler's report; `running` includes runs that others started.

    Parameters
    ----------
    at
        When the engine made it, in seconds of the clock; a best estimate.
    """

    at: float
    running: int = 0
    version: WeightVersion | None = None
    adapters: frozenset[str] | None = None
    leaving: bool = False


class RunningWork:
    """One run of a request or sample on one sampler."""

    __slots__ = (
        'cached_prefix_at',
        'cached_prefixes',
        'cost',
        'expected_seconds',
        'start',
        'streams_at_start',
        'token_interval',
        'work',
    )

    def __init__(
        self, work: Work, cost: float, start: float, expected_seconds: float
    ) -> None:
        self.work = work
        self.cost = cost
        self.start = start
        self.expected_seconds = expected_seconds
        self.cached_prefixes = 0
        self.cached_prefix_at = start
        self.streams_at_start = 0
        self.token_interval: float | None = None


class PoolSamplerState:
    """One sampler's slots, versions, prefix cache and health."""

    def __init__(
        self, info: SamplerInfo, *, learning: bool, healing: bool
    ) -> None:
        self.info = info
        self.id: SamplerId = info.id
        self.leaving = info.leaving
        self.limit = ConcurrencyLimit(info.slots, learning=learning)
        self.health = Health()
        self.prefixes = PrefixIndex(heal=healing)
        self.running: dict[RequestId, RunningWork] = {}
        self.version: WeightVersion | None = None
        self.adapters: frozenset[str] = frozenset()
        self.foreign_running = 0
        self.occupied = 0
        self.share = 1.0
        self.usable = info.slots
        self.usable_rollout = info.slots
        self._ended_spans: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_ENDED)
        )

    @property
    def free(self) -> int:
        """Return how many more runs of any kind may start."""
        return max(self.usable, self.usable_rollout) - self.occupied

    def count_free(self, work: Work) -> int:
        """Return how many more runs of this work's kind may start."""
        if work.kind is WorkKind.ROLLOUT:
            return self.usable_rollout - self.occupied
        return self.usable - self.occupied

    def refresh(
        self, now: float, median_interval: float | None, ejecting: bool
    ) -> None:
        """Update the share of work and the usable slots."""
        self.share = (
            self.health.get_share(now, median_interval) if ejecting else 1.0
        )
        rollout = self.health.get_throughput_share(now) if ejecting else 1.0
        self.usable = self._scale_slots(self.share)
        self.usable_rollout = self._scale_slots(rollout)

    def _scale_slots(self, share: float) -> int:
        if self.leaving or share <= 0:
            return 0
        return max(int(self.limit.value * share), 1)

    def find_block_reason(self, work: Work) -> str:
        """Return why the work can't run here, or an empty string."""
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

    def start(self, running: RunningWork) -> None:
        """Add a run that starts here."""
        self.running[running.work.id] = running
        running.streams_at_start = len(self.running)
        self.occupied = running.streams_at_start + self.foreign_running

    def stop(self, work_id: RequestId, now: float) -> RunningWork | None:
        """Remove a run that has ended here."""
        running = self.running.pop(work_id, None)
        if running is not None:
            self._ended_spans.append((running.start, now))
            self.occupied = len(self.running) + self.foreign_running
        return running

    def update_info(self, info: SamplerInfo) -> None:
        """Apply the declaration from settings and the instance list."""
        self.info = info
        self.leaving = info.leaving
        self.limit.configure(info.slots)

    def apply_report(self, report: SamplerReport) -> None:
        """Apply a report, and count the runs in it that others started.

        The report shows the past, so the runs that were known here at that
        moment are subtracted from its count.
        """
        self.version = report.version or self.version
        if report.adapters is not None:
            self.adapters = report.adapters
        self.leaving = self.leaving or report.leaving
        started = sum(run.start <= report.at for run in self.running.values())
        ended = sum(
            start <= report.at < end for start, end in self._ended_spans
        )
        self.foreign_running = max(report.running - started - ended, 0)
        self.occupied = len(self.running) + self.foreign_running
