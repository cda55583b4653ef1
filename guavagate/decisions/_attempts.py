"""Where each piece of work has run and runs, and what else it may cost."""

from msgspec import structs

from guavagate.decisions import retries
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._sampler import Running, SamplerState
from guavagate.decisions._work import RefusalReason, Safeguard, Work
from guavagate.decisions.fairness import Entry
from guavagate.decisions.placement import expect_cost
from guavagate.decisions.shares import Shares
from guavagate.models import RequestId, SamplerId


class Attempts:
    """The attempts at one piece of work."""

    __slots__ = (
        'arrival',
        'copied',
        'count',
        'entry',
        'expected_wait',
        'samplers',
        'work',
    )

    def __init__(self, work: Work, arrival: float) -> None:
        self.work = work
        self.arrival = arrival
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
        self.hedges = retries.Budget(retries.HEDGE_SHARE)
        self._retries = retries.Budget(retries.RETRY_SHARE)
        self._fleet = fleet
        self._on = safeguards
        self._attempts: dict[RequestId, Attempts] = {}

    def get(self, work_id: RequestId) -> Attempts | None:
        """Return the attempts at some work."""
        return self._attempts.get(work_id)

    def open(self, work: Work, now: float) -> Attempts:
        """Enter new work."""
        attempts = Attempts(work, now)
        self._attempts[work.id] = attempts
        return attempts

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
        self.shares.start(work)
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
        self.shares.stop(attempts.work)
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
