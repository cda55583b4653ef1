"""Caches committed results by job and position, bounded in bytes.

Committed results never change, and a job's owner confirms each page before
cached results are used in it. So a cached result is never the reason why a page
shows less, a removed job, or one of another team.
"""

import sys
from collections import OrderedDict
from typing import Final, Protocol

from guavagate.jobs._models import JobId, Result

# A job of a hundred items of ten kilobytes is a megabyte, and a trainer's jobs
# are read for some seconds.
MAX_CACHED_BYTES: Final = 8_000_000
# Share of the memory that the requests of this instance may take.
BUDGET_SHARE: Final = 0.05
# Memory of a result beside its text.
RESULT_HEAD_BYTES: Final = 600


class Budget(Protocol):
    """The memory budget that the cached bytes count in."""

    limit: float

    def change(self, growth: int) -> None:
        """Count bytes that are taken, or released if negative."""


class _CachedJob:
    """Results of one job by position."""

    def __init__(self, identity: int) -> None:
        self.identity = identity
        self.results: dict[int, Result] = {}
        self.size = 0


class ResultCache:
    """The results that this instance has read from other instances."""

    def __init__(
        self, budget: Budget | None = None, limit: int = MAX_CACHED_BYTES
    ) -> None:
        share = limit if budget is None else budget.limit * BUDGET_SHARE
        self.limit = min(limit, share)
        self.size = 0
        self._budget = budget
        self._jobs: OrderedDict[JobId, _CachedJob] = OrderedDict()

    def find(
        self, job: JobId, after: int, max_bytes: int
    ) -> tuple[int, list[Result]]:
        """Return a job's identity and its cached results from a position on.

        Contains no gap, and `max_bytes` of texts or a single longer one.
        """
        cached = self._jobs.get(job)
        if cached is None:
            return 0, []
        self._jobs.move_to_end(job)
        found: list[Result] = []
        left = max_bytes
        while after + len(found) in cached.results:
            result = cached.results[after + len(found)]
            left -= len(result.text)
            if found and left < 0:
                break
            found.append(result)
        return cached.identity, found

    def find_next(self, job: JobId, after: int) -> int:
        """Return the first cached position after a missing one, or 0."""
        cached = self._jobs.get(job)
        positions = [] if cached is None else cached.results
        return min((each for each in positions if each > after), default=0)

    def put(
        self, job: JobId, identity: int, start: int, results: list[Result]
    ) -> None:
        """Cache the results of a job at the positions from `start` on."""
        cached = self._jobs.get(job)
        if cached is None or cached.identity != identity:
            self._drop(job)
            cached = _CachedJob(identity)
        if not results:
            return
        self._jobs[job] = cached
        self._jobs.move_to_end(job)
        for position, result in enumerate(results, start):
            if position not in cached.results:
                cached.results[position] = result
                self._change(cached, _measure(result))
        while self._jobs and self.size > self.limit:
            self._drop(next(iter(self._jobs)))

    def _drop(self, job: JobId) -> None:
        cached = self._jobs.pop(job, None)
        if cached is not None:
            self._change(cached, -cached.size)

    def _change(self, cached: _CachedJob, growth: int) -> None:
        cached.size += growth
        self.size += growth
        if self._budget is not None:
            self._budget.change(growth)


def _measure(result: Result) -> int:
    size = sys.getsizeof(result.text) + sys.getsizeof(result.signature)
    return size + RESULT_HEAD_BYTES
