"""One pool of samplers at its home: queue, slots, placement, attempts.

Composes the modules of this package. The daemon and ``script/measure`` drive
the same class; time is an argument of every call, in the clock's seconds.

Call `place` after anything that may have freed a slot or queued work, then
send what `expire` returns back to the entries; call `hedge` now and then.
"""

from collections.abc import Hashable, Iterable, Sequence
from typing import Final

from guavagate.decisions import _copies, _reasons, admission
from guavagate.decisions._attempts import Attempts, AttemptTable
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._policy import PoolSettings, choose_with
from guavagate.decisions._sampler import (
    Running,
    SamplerInfo,
    SamplerReport,
    SamplerState,
)
from guavagate.decisions._work import (
    Placement,
    Queued,
    RefusalReason,
    Refused,
    Safeguard,
    Work,
    demands_of,
)
from guavagate.decisions.fairness import KIND_WEIGHTS, Entry, FairQueue, Path
from guavagate.decisions.order import LENGTH_ERROR, order_by_arrival
from guavagate.models import RequestId, SamplerId

# Work looked at beyond the first that can't be placed, per call: bounds the
# time of a call when many wait for a version that no sampler has yet.
LOOKAHEAD: Final = 16


class Pool:
    """The state of one pool of samplers at its home."""

    def __init__(
        self,
        settings: PoolSettings,
        samplers: Iterable[SamplerInfo] = (),
        now: float = 0,
    ) -> None:
        self._on = settings.safeguards
        self._max_queued = settings.max_queued
        self._order = settings.order
        if Safeguard.ORDER not in self._on:
            self._order = order_by_arrival
        self._choose = choose_with(settings.choose, self._on)
        self._fair = Safeguard.FAIRNESS in self._on
        self._queue = FairQueue()
        self._fleet = Fleet(self._on)
        self._table = AttemptTable(self._fleet, self._on)
        self._waits = admission.WaitEstimate()
        self._expired: list[Refused] = []
        self._slow: list[Running] = []
        self._copies: list[Placement] = []
        self.set_samplers(samplers, now)

    @property
    def queued(self) -> int:
        """Return how much work waits."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return how many pieces run, copies included."""
        return sum(len(state.running) for state in self.samplers)

    @property
    def slots(self) -> int:
        """Return how much may run at once."""
        return self._fleet.slots

    @property
    def samplers(self) -> Sequence[SamplerState]:
        """Return what is known of each sampler."""
        return tuple(self._fleet.samplers.values())

    def flows(self) -> int:
        """Return how many queues and callers are remembered."""
        return self._queue.flows()

    def load(self) -> float:
        """Return running and queued work per slot, for entries to choose by."""
        return (self.running + self.queued) / max(self.slots, 1)

    def set_samplers(self, infos: Iterable[SamplerInfo], now: float) -> None:
        """Take over the declared samplers; those no longer there are gone."""
        self._fleet.declare(infos, now)

    def report(
        self, sampler: SamplerId, report: SamplerReport, now: float
    ) -> None:
        """Take in a sampler's report, which lags."""
        state = self._fleet.samplers.get(sampler)
        if state is not None:
            state.learn_report(report)
            self._fleet.refresh(now, force=True)

    def cache_events(
        self,
        sampler: SamplerId,
        first: int,
        events: Iterable[tuple[str, int]],
        now: float,
    ) -> bool:
        """Take in cache events, `first` being the first one's number.

        Returns
        -------
        Whether events were missing before these.
        """
        state = self._fleet.samplers.get(sampler)
        return state is not None and state.prefixes.apply(first, events, now)

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Queue work, or refuse it at once and truly not run."""
        if self._table.get(work.id) is not None:
            return _reasons.queued(work, 0, 'already here')
        if not self._fleet.samplers:
            return self._refuse(work, RefusalReason.NO_SAMPLER, now)
        if len(self._queue) >= self._max_queued:
            return self._refuse(work, RefusalReason.QUEUE_FULL, now)
        attempts = Attempts(work, now)
        self._table.hear(attempts)
        expected = self._expect_wait(attempts)
        attempts.expected_wait = expected
        wait = self._waits.correct(attempts.name, expected)
        if Safeguard.ADMISSION in self._on:
            own = self._own_seconds(attempts.cost, wait)
            reason = admission.judge(now, work.deadline, wait, own)
            if reason is not None:
                return self._refuse(work, reason, now)
        self._table.add(attempts)
        self._enqueue(attempts)
        return _reasons.queued(work, wait, 'in time by the expected wait')

    def adopt(self, work: Work, sampler: SamplerId, now: float) -> None:
        """Count work that already runs, after this home took over."""
        state = self._fleet.samplers.get(sampler)
        if state is None or work.id in state.running:
            return
        attempts = self._table.get(work.id) or Attempts(work, now)
        self._table.add(attempts)
        self._table.start(attempts, state, now)

    def place(self, now: float) -> list[Placement]:
        """Return the work that may start now, with its samplers."""
        self._fleet.refresh(now)
        self._start_copies(now)
        placements: list[Placement] = []
        parked = 0
        kept_back: list[Entry] = []
        while parked + len(kept_back) < LOOKAHEAD:
            entry = self._next(now) if self._fleet.has_free() else None
            if entry is None:
                break
            if self._drop_late(entry, now):
                continue
            if self._leaves_reserve(entry, now):
                kept_back.append(entry)
                continue
            placement = self._place_one(entry, now)
            if placement is None:
                parked += 1
                self._put_back(entry, hold=True)
            else:
                placements.append(placement)
        for entry in kept_back:
            self._put_back(entry, hold=False)
        self._queue.release()
        return placements

    def expire(self, now: float) -> list[Refused]:
        """Return queued work that can no longer be in time, refused."""
        while Safeguard.EXPIRY in self._on:
            entry = self._queue.first_due(now)
            if entry is None:
                break
            self._queue.remove(entry)
            self._drop_late(entry, now)
        expired, self._expired = self._expired, []
        return expired

    def progress(
        self, work_id: RequestId, sampler: SamplerId, pace: float, now: float
    ) -> None:
        """Take in that a stream is slow; `pace` is its seconds per token.

        An entry sees each token, and tells the home when a stream's pace is
        beyond `ejection.SLOW_STREAM` times the placement's expected one: the
        home would learn it only from the answer's end, ten times as late.
        """
        state = self._fleet.samplers.get(sampler)
        if state is None or work_id not in state.running:
            return
        running = state.running[work_id]
        running.pace = pace
        state.health.suspect(pace, now)
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
        """Count a whole answer; return the samplers whose copies to cancel."""
        running = self._table.stop(work_id, sampler, now)
        if running is None:
            return []
        state = self._fleet.samplers.get(sampler)
        if state is not None:
            self._fleet.learn(running, state, now, tokens, cached_tokens)
        self._table.earn()
        return self._table.close(work_id, now)

    def fail(
        self,
        work_id: RequestId,
        sampler: SamplerId,
        now: float,
        *,
        started: bool,
    ) -> Queued | Refused | None:
        """Count a failure; return what becomes of the work.

        Parameters
        ----------
        started
            Whether it may have run there; if so, a refusal is not ``not run``.

        Returns
        -------
        Nothing when another copy still runs or the work is unknown.
        """
        running = self._table.stop(work_id, sampler, now)
        state = self._fleet.samplers.get(sampler)
        if state is not None:
            state.health.fail(now)
            self._fleet.refresh(now, force=True)
        attempts = self._table.get(work_id)
        if running is None or attempts is None or attempts.samplers:
            return None
        reason = self._table.deny_retry(attempts, started=started)
        if reason is not None:
            self._table.close(work_id, now)
            return self._refuse(attempts.work, reason, now)
        attempts.exclude(sampler, len(self._fleet.samplers))
        self._enqueue(attempts)
        return _reasons.queued(
            attempts.work, self._expect_wait(attempts), 'tried again elsewhere'
        )

    def cancel(self, work_id: RequestId, now: float) -> list[SamplerId]:
        """Forget work; return the samplers where it runs, to cancel there."""
        attempts = self._table.get(work_id)
        if attempts is None:
            return []
        if attempts.entry is not None:
            self._queue.remove(attempts.entry)
        return self._table.close(work_id, now)

    def hedge(self, now: float) -> list[Placement]:
        """Return second copies for slow work, in idle slots and budget.

        What finds no free slot is kept: the next calls of `place` give it the
        first slots that end, since a sample that holds up an older step goes
        before a newer step's. The next call of this one returns it; `place`
        returns no copies.
        """
        self._fleet.refresh(now)
        self._slow = _copies.find_slow(
            self._fleet, self._table, self._on, now, idle=not self._queue
        )
        self._start_copies(now)
        copies, self._copies = self._copies, []
        return [copy for copy in copies if self._runs(copy)]

    def _path(self, work: Work) -> tuple[Path, tuple[float, ...]]:
        # Work that waits for a version, adapter or other sampler has a flow
        # of its own, so that it keeps none of its caller's other work back.
        needs: Hashable = ''
        if demands_of(work):
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
        path, weights = self._path(attempts.work)
        ahead = self._queue.cost_ahead(path, weights, attempts.cost)
        seconds = ahead * self._fleet.length.mean * self._fleet.pace
        return seconds / max(self.slots, 1)

    def _own_seconds(self, cost: float, wait: float) -> float:
        seconds = cost * self._fleet.pace
        if wait < admission.QUEUE_S:
            # Idle slots cost nobody anything: the estimate may be too long.
            return seconds / LENGTH_ERROR
        return seconds * self._fleet.length.high

    def _enqueue(self, attempts: Attempts) -> None:
        work = attempts.work
        seconds = attempts.cost * self._fleet.pace
        key = self._order(work, attempts.arrival, seconds)
        due = work.deadline - seconds
        entry = Entry(work, key, attempts.cost, due)
        entry.urgent = work.deadline - LENGTH_ERROR * seconds
        attempts.entry = entry
        self._queue.push(attempts.entry, *self._path(work))

    def _drop_late(self, entry: Entry, now: float) -> bool:
        if Safeguard.EXPIRY not in self._on or now <= entry.due:
            return False
        attempts = self._table.get(entry.work.id)
        if attempts is not None:
            self._learn_wait(attempts, now)
        self._table.close(entry.work.id, now)
        refused = self._refuse(entry.work, RefusalReason.EXPIRED, now)
        self._expired.append(refused)
        return True

    def _start_copies(self, now: float) -> None:
        if self._slow:
            self._copies += _copies.start_all(
                self._fleet, self._table, self._slow, now
            )

    def _runs(self, placement: Placement) -> bool:
        attempts = self._table.get(placement.work.id)
        return attempts is not None and placement.sampler in attempts.samplers

    def _next(self, now: float) -> Entry | None:
        return self._queue.pop_urgent(now) or self._queue.pop()

    def _learn_wait(self, attempts: Attempts, now: float) -> None:
        if not attempts.count:
            actual = now - attempts.arrival
            expected = attempts.expected_wait
            self._waits.learn(attempts.name, expected, actual)

    def _leaves_reserve(self, entry: Entry, now: float) -> bool:
        attempts = self._table.get(entry.work.id)
        if attempts is None:
            return False
        return self._table.leaves_reserve(attempts, now)

    def _put_back(self, entry: Entry, *, hold: bool) -> None:
        # What no sampler may run, or what leaves headroom, holds its flow:
        # the same keeps all behind it. Work that only leaves slots to shorter
        # work must not hold its caller's shorter requests back with it.
        path, weights = self._path(entry.work)
        self._queue.put_back(entry, path, weights, hold=hold)

    def _place_one(self, entry: Entry, now: float) -> Placement | None:
        work = entry.work
        attempts = self._table.get(work.id)
        fitting = self._fleet.fitting(work)
        if attempts is None or not fitting:
            return None
        if self._table.leaves_headroom(attempts, fitting):
            return None
        state, reason = self._choose(work, fitting)
        self._learn_wait(attempts, now)
        running = self._table.start(attempts, state, now)
        decision = _reasons.placed(
            work, state, reason, self._fleet.samplers.values()
        )
        return Placement(
            work=work,
            sampler=state.id,
            expected_seconds=running.expected,
            expected_pace=self._fleet.pace,
            decision=decision,
        )

    def _refuse(self, work: Work, reason: RefusalReason, now: float) -> Refused:
        wait = self._expect_wait(Attempts(work, now))
        after = admission.suggest_retry(wait, work.deadline - now)
        return _reasons.refused(work, reason, wait, after)
