"""Where each piece of work has run and runs, and what else it may cost."""

from typing import Final

from cachetools import LRUCache
from msgspec import structs

from guavagate.decisions import retries
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._sampler import Running, SamplerState
from guavagate.decisions._work import (
    RefusalReason,
    Safeguard,
    Work,
    estimate_cost,
)
from guavagate.decisions.fairness import Entry
from guavagate.decisions.placement import expect_cost
from guavagate.decisions.reserve import Reserve
from guavagate.decisions.shares import Shares, name_of
from guavagate.models import RequestId, RunId, SamplerId, TeamId

# Runs whose newest step is remembered, the least recently used goes first.
MAX_RUNS: Final = 256


class Attempts:
    """The attempts at one piece of work."""

    __slots__ = (
        'arrival',
        'copied',
        'cost',
        'count',
        'entry',
        'expected_wait',
        'name',
        'samplers',
        'work',
    )

    def __init__(self, work: Work, arrival: float) -> None:
        self.work = work
        self.arrival = arrival
        self.name = name_of(work)
        self.cost = estimate_cost(work)
        self.count = 0
        self.copied = False
        self.expected_wait: float = 0
        self.entry: Entry | None = None
        self.samplers: list[SamplerId] = []

    def exclude(self, sampler: SamplerId, known: int) -> None:
        """Don't try a sampler again, unless all have been tried."""
        excluded = self.work.excluded | {sampler}
        if len(excluded) >= known:
            excluded = frozenset()
        self.work = structs.replace(self.work, excluded=excluded)


class AttemptTable:
    """All work that a pool holds, queued or running."""

    def __init__(self, fleet: Fleet, safeguards: frozenset[Safeguard]) -> None:
        self.shares = Shares()
        self.reserve = Reserve()
        self._steps: LRUCache[tuple[TeamId, RunId], int] = LRUCache(MAX_RUNS)
        self._long_running: set[RequestId] = set()
        self.hedges = retries.Budget(retries.HEDGE_SHARE)
        self._retries = retries.Budget(retries.RETRY_SHARE)
        self._fleet = fleet
        self._on = safeguards
        self._attempts: dict[RequestId, Attempts] = {}

    def get(self, work_id: RequestId) -> Attempts | None:
        """Return the attempts at some work."""
        return self._attempts.get(work_id)

    def hear(self, attempts: Attempts) -> None:
        """Count work that arrives, whether it is let in or not."""
        now = attempts.arrival
        self.shares.hear(attempts.name, attempts.work, now)
        self.reserve.hear(attempts.work, attempts.cost, now)

    def leaves_headroom(
        self, attempts: Attempts, fitting: list[SamplerState]
    ) -> bool:
        """Return whether the last slots are left to other callers."""
        if Safeguard.HEADROOM not in self._on:
            return False
        work = attempts.work
        free = sum(state.free_for(work) for state in fitting)
        slots = self._fleet.slots_for(work)
        return self.shares.exceeds(attempts.name, work, free, slots)

    def leaves_reserve(self, attempts: Attempts, now: float) -> bool:
        """Return whether free slots are left to shorter work."""
        work = attempts.work
        if Safeguard.RESERVE not in self._on:
            return False
        if not self.reserve.is_long(work, attempts.cost):
            return False
        slots = self._fleet.slots_for(work)
        size = self.reserve.size(slots, self._fleet.pace, now)
        return len(self._long_running) >= slots - size

    def add(self, attempts: Attempts) -> None:
        """Enter work that is let in."""
        self._attempts[attempts.work.id] = attempts

    def is_straggler(self, work: Work) -> bool:
        """Return whether its step has no other work left to start."""
        if work.run is None:
            return False
        newest = self._steps.get((work.team, work.run), work.step)
        return work.step < newest

    def earn(self) -> None:
        """Count a success towards the budgets."""
        self.hedges.earn()
        self._retries.earn()

    def start(
        self, attempts: Attempts, state: SamplerState, now: float
    ) -> Running:
        """Count one attempt that starts."""
        work = attempts.work
        cost, matched = expect_cost(work, state)
        pace = state.health.pace or self._fleet.pace
        seconds = cost * pace * self._fleet.length.mean
        running = Running(work, cost, now, seconds)
        if matched:
            running.cached = matched
            key = work.prefix_keys[matched - 1]
            running.cached_at = state.prefixes.last_seen(key)
        state.start(running)
        state.prefixes.store(work.prefix_keys, now)
        self.shares.start(attempts.name)
        if work.run is not None:
            run = (work.team, work.run)
            self._steps[run] = max(self._steps.get(run, 0), work.step)
        if self.reserve.is_long(work, cost):
            self._long_running.add(work.id)
        attempts.entry = None
        attempts.count += 1
        attempts.samplers.append(state.id)
        return running

    def stop(
        self, work_id: RequestId, sampler: SamplerId, now: float
    ) -> Running | None:
        """Count one attempt that has ended."""
        attempts = self._attempts.get(work_id)
        if attempts is None or sampler not in attempts.samplers:
            return None
        attempts.samplers.remove(sampler)
        self.shares.stop(attempts.name)
        self._long_running.discard(work_id)
        state = self._fleet.samplers.get(sampler)
        if state is None:
            return Running(attempts.work, 1.0, now, 1.0)
        return state.stop(work_id, now)

    def close(self, work_id: RequestId, now: float) -> list[SamplerId]:
        """Forget work; return where it still runs."""
        attempts = self._attempts.get(work_id)
        if attempts is None:
            return []
        others = list(attempts.samplers)
        for sampler in others:
            self.stop(work_id, sampler, now)
        self._attempts.pop(work_id)
        return others

    def deny_retry(
        self, attempts: Attempts, *, started: bool
    ) -> RefusalReason | None:
        """Return why failed work isn't tried again, if it isn't."""
        idempotent = attempts.work.idempotent
        if not retries.may_repeat(
            idempotent=idempotent, started=started, attempts=attempts.count
        ):
            return RefusalReason.NOT_REPEATABLE
        if Safeguard.RETRY_BUDGET in self._on and not self._retries.spend():
            return RefusalReason.RETRY_BUDGET
        return None
