"""Tracks the attempts at each work item; decides whether to retry it."""

from typing import Final

from cachetools import LRUCache
from msgspec import structs

from guavagate.decisions import retries
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._sampler import PoolSamplerState, RunningWork
from guavagate.decisions._work import (
    RefusalReason,
    Safeguard,
    Work,
    estimate_cost,
)
from guavagate.decisions.fairness import FlowItem
from guavagate.decisions.placement import estimate_sampler_cost
from guavagate.decisions.reserve import Reserve
from guavagate.decisions.shares import Shares, get_requester
from guavagate.models import RequestId, RunId, SamplerId, TeamId

# Trainer runs whose newest step is remembered; the least recently used is
# removed first.
MAX_REMEMBERED_RUNS: Final = 256


class Attempts:
    """The attempts at one work item."""

    __slots__ = (
        'arrival',
        'cost',
        'count',
        'expected_wait',
        'has_speculative_run',
        'item',
        'requester',
        'samplers',
        'work',
    )

    def __init__(self, work: Work, arrival: float) -> None:
        self.work = work
        self.arrival = arrival
        self.requester = get_requester(work)
        self.cost = estimate_cost(work)
        self.count = 0
        self.has_speculative_run = False
        self.expected_wait: float = 0
        self.item: FlowItem | None = None
        self.samplers: list[SamplerId] = []

    def exclude(self, sampler: SamplerId, known: int) -> None:
        """Exclude a sampler from retries, unless all have been tried."""
        excluded = self.work.excluded | {sampler}
        if len(excluded) >= known:
            excluded = frozenset()
        self.work = structs.replace(self.work, excluded=excluded)


class AttemptTable:
    """The work items of a pool, queued or running."""

    def __init__(self, fleet: Fleet, safeguards: frozenset[Safeguard]) -> None:
        self.shares = Shares()
        self.reserve = Reserve()
        self._newest_steps: LRUCache[tuple[TeamId, RunId], int] = LRUCache(
            MAX_REMEMBERED_RUNS
        )
        self._long_running: set[RequestId] = set()
        self.hedge_budget = retries.Budget(retries.HEDGE_SHARE)
        self._retry_budget = retries.Budget(retries.RETRY_SHARE)
        self._fleet = fleet
        self._enabled = safeguards
        self._attempts: dict[RequestId, Attempts] = {}

    def get(self, work_id: RequestId) -> Attempts | None:
        """Return the attempts at a work item, if it is known."""
        return self._attempts.get(work_id)

    def record_arrival(self, attempts: Attempts) -> None:
        """Count work that arrives, whether it is admitted or not."""
        now = attempts.arrival
        self.shares.record_arrival(attempts.requester, attempts.work, now)
        self.reserve.record_arrival(attempts.work, attempts.cost, now)

    def must_leave_headroom(
        self, attempts: Attempts, fitting: list[PoolSamplerState]
    ) -> bool:
        """Return whether free slots are reserved for other requesters."""
        if Safeguard.HEADROOM not in self._enabled:
            return False
        work = attempts.work
        free = sum(state.count_free(work) for state in fitting)
        slots = self._fleet.count_slots(work)
        return self.shares.exceeds_share(attempts.requester, work, free, slots)

    def must_leave_reserve(self, attempts: Attempts, now: float) -> bool:
        """Return whether the free slots are reserved for shorter work."""
        work = attempts.work
        if Safeguard.RESERVE not in self._enabled:
            return False
        if not self.reserve.is_long(work, attempts.cost):
            return False
        slots = self._fleet.count_slots(work)
        size = self.reserve.compute_slots(
            slots, self._fleet.token_interval, now
        )
        return len(self._long_running) >= slots - size

    def add(self, attempts: Attempts) -> None:
        """Add admitted work."""
        self._attempts[attempts.work.id] = attempts

    def is_straggler(self, work: Work) -> bool:
        """Return whether a newer step of its run has started work already."""
        if work.run is None:
            return False
        newest = self._newest_steps.get((work.team, work.run), work.step)
        return work.step < newest

    def record_success(self) -> None:
        """Credit a success to the retry and hedge budgets."""
        self.hedge_budget.earn()
        self._retry_budget.earn()

    def start(
        self, attempts: Attempts, state: PoolSamplerState, now: float
    ) -> RunningWork:
        """Record an attempt that starts."""
        work = attempts.work
        cost, matched = estimate_sampler_cost(work, state)
        token_interval = (
            state.health.token_interval or self._fleet.token_interval
        )
        seconds = cost * token_interval * self._fleet.length.mean
        running = RunningWork(work, cost, now, seconds)
        if matched:
            running.cached_prefixes = matched
            key = work.prefix_keys[matched - 1]
            running.cached_prefix_at = state.prefixes.get_last_use(key)
        state.start(running)
        state.prefixes.store(work.prefix_keys, now)
        self.shares.start(attempts.requester)
        if work.run is not None:
            run = (work.team, work.run)
            self._newest_steps[run] = max(
                self._newest_steps.get(run, 0), work.step
            )
        if self.reserve.is_long(work, cost):
            self._long_running.add(work.id)
        attempts.item = None
        attempts.count += 1
        attempts.samplers.append(state.id)
        return running

    def stop(
        self, work_id: RequestId, sampler: SamplerId, now: float
    ) -> RunningWork | None:
        """Record an attempt that has ended."""
        attempts = self._attempts.get(work_id)
        if attempts is None or sampler not in attempts.samplers:
            return None
        attempts.samplers.remove(sampler)
        self.shares.stop(attempts.requester)
        self._long_running.discard(work_id)
        state = self._fleet.samplers.get(sampler)
        if state is None:
            return RunningWork(attempts.work, 1.0, now, 1.0)
        return state.stop(work_id, now)

    def close(self, work_id: RequestId, now: float) -> list[SamplerId]:
        """Remove work; return the samplers where it still runs."""
        attempts = self._attempts.get(work_id)
        if attempts is None:
            return []
        others = list(attempts.samplers)
        for sampler in others:
            self.stop(work_id, sampler, now)
        self._attempts.pop(work_id)
        return others

    def check_retry(
        self, attempts: Attempts, *, started: bool
    ) -> RefusalReason | None:
        """Return why failed work isn't retried, or nothing if it is."""
        idempotent = attempts.work.idempotent
        if not retries.may_retry(
            idempotent=idempotent, started=started, attempts=attempts.count
        ):
            return RefusalReason.NOT_REPEATABLE
        if (
            Safeguard.RETRY_BUDGET in self._enabled
            and not self._retry_budget.spend()
        ):
            return RefusalReason.RETRY_BUDGET
        return None
