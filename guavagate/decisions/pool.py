"""Queue, slots, placement and attempts of one pool of samplers.

Composes the other modules of this package. The daemon and `script/measure` use
the same class. Time is an argument of every call, in seconds.

Call `place` after anything that may have freed a slot or queued work, then send
what `expire` returns back to the entries; call `speculate` periodically.
"""

from collections.abc import Hashable, Iterable, Sequence
from typing import Final

from guavagate.decisions import _reasons, _speculation, admission
from guavagate.decisions._attempts import Attempts, AttemptTable
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._policy import PoolSettings, apply_safeguards
from guavagate.decisions._sampler import (
    PoolSamplerState,
    RunningWork,
    SamplerInfo,
    SamplerReport,
)
from guavagate.decisions._work import (
    Placement,
    Queued,
    RefusalReason,
    Refused,
    Safeguard,
    Work,
    has_constraints,
)
from guavagate.decisions.fairness import KIND_WEIGHTS, FairQueue, FlowItem, Path
from guavagate.decisions.order import LENGTH_ERROR, order_by_arrival
from guavagate.models import RequestId, SamplerId

# How many work items that can't be placed one call of `place` skips. Bounds
# the time of a call when many wait for a version that no sampler has yet.
LOOKAHEAD: Final = 16


class Pool:
    """The state of one pool of samplers at its queue owner."""

    def __init__(
        self,
        settings: PoolSettings,
        samplers: Iterable[SamplerInfo] = (),
        now: float = 0,
    ) -> None:
        self._enabled = settings.safeguards
        self._max_queued = settings.max_queued
        self._order = settings.order
        if Safeguard.ORDER not in self._enabled:
            self._order = order_by_arrival
        self._choose = apply_safeguards(settings.choose, self._enabled)
        self._fair = Safeguard.FAIRNESS in self._enabled
        self._queue = FairQueue()
        self._fleet = Fleet(self._enabled)
        self._table = AttemptTable(self._fleet, self._enabled)
        self._waits = admission.WaitEstimate()
        self._expired: list[Refused] = []
        self._candidates: list[RunningWork] = []
        self._speculative: list[Placement] = []
        self.set_samplers(samplers, now)

    @property
    def queued(self) -> int:
        """Return the number of queued work items."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return the number of runs, speculative ones included."""
        return sum(len(state.running) for state in self.samplers)

    @property
    def slots(self) -> int:
        """Return how many runs fit at once."""
        return self._fleet.slots

    @property
    def samplers(self) -> Sequence[PoolSamplerState]:
        """Return the state of each sampler."""
        return tuple(self._fleet.samplers.values())

    def count_flows(self) -> int:
        """Return the number of flows in the fair queue, idle ones included."""
        return self._queue.count_flows()

    def compute_load(self) -> float:
        """Return running and queued work per slot."""
        return (self.running + self.queued) / max(self.slots, 1)

    def set_samplers(self, infos: Iterable[SamplerInfo], now: float) -> None:
        """Apply the declared samplers; remove those no longer declared."""
        self._fleet.update_samplers(infos, now)

    def record_report(
        self, sampler: SamplerId, report: SamplerReport, now: float
    ) -> None:
        """Apply a sampler's report, which lags behind its state."""
        state = self._fleet.samplers.get(sampler)
        if state is not None:
            state.apply_report(report)
            self._fleet.refresh(now, force=True)

    def apply_cache_events(
        self,
        sampler: SamplerId,
        first: int,
        events: Iterable[tuple[str, int]],
        now: float,
    ) -> bool:
        """Apply cache events; `first` is the number of the first one.

        Returns
        -------
        Whether events before these are missing.
        """
        state = self._fleet.samplers.get(sampler)
        return state is not None and state.prefixes.apply(first, events, now)

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Queue work, or refuse it before any of it has run."""
        if self._table.get(work.id) is not None:
            return _reasons.make_queued(work, 0, 'already here')
        if not self._fleet.samplers:
            return self._refuse(work, RefusalReason.NO_SAMPLER, now)
        if len(self._queue) >= self._max_queued:
            return self._refuse(work, RefusalReason.QUEUE_FULL, now)
        attempts = Attempts(work, now)
        self._table.record_arrival(attempts)
        expected = self._expect_wait(attempts)
        attempts.expected_wait = expected
        wait = self._waits.correct(attempts.requester, expected)
        if Safeguard.ADMISSION in self._enabled:
            own = self._expect_run_seconds(attempts.cost, wait)
            reason = admission.check_deadline(now, work.deadline, wait, own)
            if reason is not None:
                return self._refuse(work, reason, now)
        self._table.add(attempts)
        self._enqueue(attempts)
        return _reasons.make_queued(work, wait, 'in time by the expected wait')

    def adopt(self, work: Work, sampler: SamplerId, now: float) -> None:
        """Count work that already ran when this instance became queue owner."""
        state = self._fleet.samplers.get(sampler)
        if state is None or work.id in state.running:
            return
        attempts = self._table.get(work.id) or Attempts(work, now)
        self._table.add(attempts)
        self._table.start(attempts, state, now)

    def place(self, now: float) -> list[Placement]:
        """Start queued work on free slots and return where it goes."""
        self._fleet.refresh(now)
        self._start_speculative_runs(now)
        placements: list[Placement] = []
        blocked = 0
        deferred: list[FlowItem] = []
        while blocked + len(deferred) < LOOKAHEAD:
            item = self._pop_next(now) if self._fleet.has_free() else None
            if item is None:
                break
            if self._drop_late(item, now):
                continue
            if self._must_leave_reserve(item, now):
                deferred.append(item)
                continue
            placement = self._place_one(item, now)
            if placement is None:
                blocked += 1
                self._put_back(item, suspend=True)
            else:
                placements.append(placement)
        for item in deferred:
            self._put_back(item, suspend=False)
        self._queue.resume()
        return placements

    def expire(self, now: float) -> list[Refused]:
        """Refuse and return queued work that can't meet its deadline."""
        while Safeguard.EXPIRY in self._enabled:
            item = self._queue.find_overdue(now)
            if item is None:
                break
            self._queue.remove(item)
            self._drop_late(item, now)
        expired, self._expired = self._expired, []
        return expired

    def record_slow_stream(
        self,
        work_id: RequestId,
        sampler: SamplerId,
        token_interval: float,
        now: float,
    ) -> None:
        """Record the token interval of a slow stream, in seconds per token.

        Entries report streams slower than `ejection.SLOW_STREAM_FACTOR` times
        the expected interval; the answer's end would show it ten times as late.
        """
        state = self._fleet.samplers.get(sampler)
        if state is None or work_id not in state.running:
            return
        running = state.running[work_id]
        running.token_interval = token_interval
        state.health.record_lower_bound(token_interval, now)
        self._fleet.refresh(now, force=True)

    def finish(
        self,
        work_id: RequestId,
        sampler: SamplerId,
        now: float,
        *,
        tokens: int,
        cached_tokens: int | None = None,
    ) -> list[SamplerId]:
        """Record a complete answer; return the samplers with runs to cancel."""
        running = self._table.stop(work_id, sampler, now)
        if running is None:
            return []
        state = self._fleet.samplers.get(sampler)
        if state is not None:
            self._fleet.record_answer(
                running, state, now, tokens, cached_tokens
            )
        self._table.record_success()
        return self._table.close(work_id, now)

    def fail(
        self,
        work_id: RequestId,
        sampler: SamplerId,
        now: float,
        *,
        started: bool,
    ) -> Queued | Refused | None:
        """Record a failed attempt, then queue the work again or refuse it.

        Parameters
        ----------
        started
            Whether it may have run there, which a refusal must not deny.

        Returns
        -------
        None if another run of it goes on or the work is unknown.
        """
        running = self._table.stop(work_id, sampler, now)
        state = self._fleet.samplers.get(sampler)
        if state is not None:
            state.health.record_failure(now)
            self._fleet.refresh(now, force=True)
        attempts = self._table.get(work_id)
        if running is None or attempts is None or attempts.samplers:
            return None
        reason = self._table.check_retry(attempts, started=started)
        if reason is not None:
            self._table.close(work_id, now)
            return self._refuse(attempts.work, reason, now)
        attempts.exclude(sampler, len(self._fleet.samplers))
        self._enqueue(attempts)
        return _reasons.make_queued(
            attempts.work, self._expect_wait(attempts), 'tried again elsewhere'
        )

    def cancel(self, work_id: RequestId, now: float) -> list[SamplerId]:
        """Remove work; return the samplers where it runs, to cancel there."""
        attempts = self._table.get(work_id)
        if attempts is None:
            return []
        if attempts.item is not None:
            self._queue.remove(attempts.item)
        return self._table.close(work_id, now)

    def speculate(self, now: float) -> list[Placement]:
        """Start and return speculative runs of slow work.

        A candidate without a free slot is remembered: later calls of `place`
        start it first, as a sample of an older step precedes those of a newer
        one. Only this method returns the runs.
        """
        self._fleet.refresh(now)
        self._candidates = _speculation.find_candidates(
            self._fleet, self._table, self._enabled, now, idle=not self._queue
        )
        self._start_speculative_runs(now)
        started, self._speculative = self._speculative, []
        return [run for run in started if self._is_running(run)]

    def _get_path(self, work: Work) -> tuple[Path, tuple[float, ...]]:
        # Work that only some samplers may run has its own flow, so that it
        # doesn't block its caller's other work.
        needs: Hashable = ''
        if has_constraints(work):
            needs = (work.min_version, work.adapter, work.excluded)
        if not self._fair:
            return (needs,), (1.0,)
        return (
            (work.kind, work.team, work.run or work.caller, needs),
            (KIND_WEIGHTS[work.kind], work.team_weight, work.weight, 1.0),
        )

    def _expect_wait(self, attempts: Attempts) -> float:
        if not self._queue:
            return 0
        path, weights = self._get_path(attempts.work)
        ahead = self._queue.compute_cost_ahead(path, weights, attempts.cost)
        seconds = ahead * self._fleet.length.mean * self._fleet.token_interval
        return seconds / max(self.slots, 1)

    def _expect_run_seconds(self, cost: float, wait: float) -> float:
        seconds = cost * self._fleet.token_interval
        if wait < admission.MIN_QUEUE_WAIT_SECONDS:
            # A free slot delays nothing, and the length may be overestimated.
            return seconds / LENGTH_ERROR
        return seconds * self._fleet.length.high

    def _enqueue(self, attempts: Attempts) -> None:
        work = attempts.work
        seconds = attempts.cost * self._fleet.token_interval
        key = self._order(work, attempts.arrival, seconds)
        latest_start = work.deadline - seconds
        item = FlowItem(work, key, attempts.cost, latest_start)
        item.urgent_from = work.deadline - LENGTH_ERROR * seconds
        attempts.item = item
        self._queue.push(attempts.item, *self._get_path(work))

    def _drop_late(self, item: FlowItem, now: float) -> bool:
        if Safeguard.EXPIRY not in self._enabled or now <= item.latest_start:
            return False
        attempts = self._table.get(item.work.id)
        if attempts is not None:
            self._learn_wait(attempts, now)
        self._table.close(item.work.id, now)
        refused = self._refuse(item.work, RefusalReason.EXPIRED, now)
        self._expired.append(refused)
        return True

    def _start_speculative_runs(self, now: float) -> None:
        if self._candidates:
            self._speculative += _speculation.start_speculative_runs(
                self._fleet, self._table, self._candidates, now
            )

    def _is_running(self, placement: Placement) -> bool:
        attempts = self._table.get(placement.work.id)
        return attempts is not None and placement.sampler in attempts.samplers

    def _pop_next(self, now: float) -> FlowItem | None:
        return self._queue.pop_urgent(now) or self._queue.pop()

    def _learn_wait(self, attempts: Attempts, now: float) -> None:
        if not attempts.count:
            actual = now - attempts.arrival
            expected = attempts.expected_wait
            self._waits.learn(attempts.requester, expected, actual)

    def _must_leave_reserve(self, item: FlowItem, now: float) -> bool:
        attempts = self._table.get(item.work.id)
        if attempts is None:
            return False
        return self._table.must_leave_reserve(attempts, now)

    def _put_back(self, item: FlowItem, *, suspend: bool) -> None:
        # Work that no sampler may run, or that leaves headroom, suspends its
        # flow: the same blocks all work behind it. Work that only leaves slots
        # to shorter work doesn't, so its caller's shorter requests still start.
        path, weights = self._get_path(item.work)
        self._queue.put_back(item, path, weights, suspend=suspend)

    def _place_one(self, item: FlowItem, now: float) -> Placement | None:
        work = item.work
        attempts = self._table.get(work.id)
        fitting = self._fleet.find_fitting(work)
        if attempts is None or not fitting:
            return None
        if self._table.must_leave_headroom(attempts, fitting):
            return None
        state, reason = self._choose(work, fitting)
        self._learn_wait(attempts, now)
        running = self._table.start(attempts, state, now)
        decision = _reasons.make_placed(
            work, state, reason, self._fleet.samplers.values()
        )
        return Placement(
            work=work,
            sampler=state.id,
            expected_seconds=running.expected_seconds,
            expected_token_interval=self._fleet.token_interval,
            decision=decision,
        )

    def _refuse(self, work: Work, reason: RefusalReason, now: float) -> Refused:
        wait = self._expect_wait(Attempts(work, now))
        after = admission.compute_retry_after(wait, work.deadline - now)
        return _reasons.make_refused(work, reason, wait, after)
