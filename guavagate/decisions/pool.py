"""One pool of samplers at its home: queue, slots, placement, attempts.

Composes the modules of this package. The daemon and ``script/measure`` drive
the same class; time is an argument of every call, in the clock's seconds.

Call `place` after anything that may have freed a slot or queued work, then
send what `expire` returns back to the entries; call `hedge` now and then.
"""

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from guavagate.decisions import _copies, _reasons, admission
from guavagate.decisions._attempts import Attempts, AttemptTable
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._sampler import (
    SamplerInfo,
    SamplerReport,
    SamplerState,
)
from guavagate.decisions._work import (
    ALL_SAFEGUARDS,
    Placement,
    Queued,
    RefusalReason,
    Refused,
    Safeguard,
    Work,
    estimate_cost,
)
from guavagate.decisions.fairness import KIND_WEIGHTS, Entry, FairQueue, Path
from guavagate.decisions.order import (
    LENGTH_ERROR,
    Order,
    order_by_arrival,
    order_by_stretch,
)
from guavagate.decisions.placement import (
    Choose,
    choose_by_prefix,
    choose_least_connections,
    choose_unbounded,
)
from guavagate.decisions.shares import name_of
from guavagate.models import RequestId, SamplerId

# Work looked at beyond the first that can't be placed, per call: bounds the
# time of a call when many wait for a version that no sampler has yet.
LOOKAHEAD: Final = 16


class PoolSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How a pool decides; the defaults are the product's."""

    name: str = 'pool'
    safeguards: frozenset[Safeguard] = ALL_SAFEGUARDS
    order: Order = order_by_stretch()
    choose: Choose = choose_by_prefix
    max_queued: int = admission.MAX_QUEUED


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
        self._choose = _choose_with(settings.choose, self._on)
        self._queue = FairQueue()
        self._fleet = Fleet(self._on)
        self._table = AttemptTable(self._fleet, self._on)
        self._waits = admission.WaitEstimate()
        self._expired: list[Refused] = []
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
        self._table.shares.hear(work, now)
        expected = self._wait(work)
        wait = self._waits.correct(name_of(work), expected)
        if Safeguard.ADMISSION in self._on:
            own = self._own_seconds(work)
            reason = admission.judge(now, work.deadline, wait, own)
            if reason is not None:
                return self._refuse(work, reason, now)
        attempts = self._table.open(work, now)
        attempts.expected_wait = expected
        self._enqueue(attempts)
        return _reasons.queued(work, wait, 'in time by the expected wait')

    def adopt(self, work: Work, sampler: SamplerId, now: float) -> None:
        """Count work that already runs, after this home took over."""
        state = self._fleet.samplers.get(sampler)
        if state is None or work.id in state.running:
            return
        attempts = self._table.get(work.id) or self._table.open(work, now)
        self._table.start(attempts, state, now)

    def place(self, now: float) -> list[Placement]:
        """Return the work that may start now, with its samplers."""
        self._fleet.refresh(now)
        placements: list[Placement] = []
        parked = 0
        while parked < LOOKAHEAD:
            free = self._fleet.free()
            entry = self._queue.pop() if free else None
            if entry is None:
                break
            if self._drop_late(entry, now):
                continue
            placement = self._place_one(entry, free, now)
            if placement is None:
                parked += 1
                self._queue.put_back(entry, *self._path(entry.work))
            else:
                placements.append(placement)
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
            attempts.work, self._wait(attempts.work), 'tried again elsewhere'
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
        """Return second copies for slow work, in idle slots and budget."""
        self._fleet.refresh(now)
        if len(self._queue):
            return []
        return _copies.find(self._fleet, self._table, self._on, now)

    def _path(self, work: Work) -> tuple[Path, tuple[float, ...]]:
        # Work that waits for a version, adapter or other sampler has a flow
        # of its own, so that it keeps none of its caller's other work back.
        needs = (work.min_version, work.adapter, work.excluded)
        if Safeguard.FAIRNESS not in self._on:
            return (needs,), (1.0,)
        return (
            (work.kind, work.team, work.run or work.caller, needs),
            (KIND_WEIGHTS[work.kind], work.team_weight, work.weight, 1.0),
        )

    def _wait(self, work: Work) -> float:
        path, weights = self._path(work)
        cost = estimate_cost(work)
        ahead = self._queue.cost_ahead(path, weights, cost)
        rate = max(self.slots, 1) / self._fleet.pace
        return ahead * self._fleet.length.mean / rate

    def _own_seconds(self, work: Work) -> float:
        seconds = estimate_cost(work) * self._fleet.pace
        if not len(self._queue) and self._fleet.free():
            # Idle slots cost nobody anything: the estimate may be too long.
            return seconds / LENGTH_ERROR
        return seconds * self._fleet.length.high

    def _enqueue(self, attempts: Attempts) -> None:
        work = attempts.work
        cost = estimate_cost(work)
        seconds = cost * self._fleet.pace
        key = self._order(work, attempts.arrival, seconds)
        attempts.entry = Entry(work, key, cost, work.deadline - seconds)
        self._queue.push(attempts.entry, *self._path(work))

    def _drop_late(self, entry: Entry, now: float) -> bool:
        if Safeguard.EXPIRY not in self._on or now <= entry.due:
            return False
        self._learn_wait(entry.work, now)
        self._table.close(entry.work.id, now)
        refused = self._refuse(entry.work, RefusalReason.EXPIRED, now)
        self._expired.append(refused)
        return True

    def _learn_wait(self, work: Work, now: float) -> None:
        attempts = self._table.get(work.id)
        if attempts is not None and not attempts.count:
            actual = now - attempts.arrival
            expected = attempts.expected_wait
            self._waits.learn(name_of(work), expected, actual)

    def _place_one(
        self, entry: Entry, free: list[SamplerState], now: float
    ) -> Placement | None:
        work = entry.work
        fitting = [state for state in free if not state.blocks(work)]
        if not fitting or self._reserved(work, free):
            return None
        state, reason = self._choose(work, fitting)
        attempts = self._table.get(work.id)
        if attempts is None:
            return None
        self._learn_wait(work, now)
        running = self._table.start(attempts, state, now)
        decision = _reasons.placed(work, state, reason, self.samplers)
        return Placement(
            work=work,
            sampler=state.id,
            expected_seconds=running.expected,
            decision=decision,
        )

    def _reserved(self, work: Work, free: list[SamplerState]) -> bool:
        if Safeguard.HEADROOM not in self._on:
            return False
        count = sum(state.free for state in free)
        return self._table.shares.exceeds(work, count, self.slots)

    def _refuse(self, work: Work, reason: RefusalReason, now: float) -> Refused:
        wait = self._wait(work)
        after = admission.suggest_retry(wait, work.deadline - now)
        return _reasons.refused(work, reason, wait, after)


def _choose_with(choose: Choose, safeguards: frozenset[Safeguard]) -> Choose:
    """Return the choice without what is switched off."""
    if choose is not choose_by_prefix:
        return choose
    if Safeguard.AFFINITY not in safeguards:
        return choose_least_connections
    if Safeguard.BOUNDED_LOAD not in safeguards:
        return choose_unbounded
    return choose
