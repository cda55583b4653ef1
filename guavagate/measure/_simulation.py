"""Drives a pool and models of its samplers under virtual time."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, Final

import numpy as np

from guavagate.decisions import (
    Placement,
    Pool,
    Refused,
    SamplerReport,
)
from guavagate.decisions._fleet import INITIAL_TOKEN_INTERVAL_SECONDS
from guavagate.decisions.ejection import SLOW_STREAM_FACTOR
from guavagate.measure._engine import EngineModel
from guavagate.measure._record import Outcome, Record, Request
from guavagate.models import RequestId, SamplerId

# The daemon's own times: how often it looks for copies, how old a report is
# when it comes, how late cache events are, and how long a refusal takes.
HEDGE_EVERY_S: Final = 0.25
REPORT_EVERY_S: Final = 1.0
REPORT_LAG_S: Final = 1.0
EVENT_LAG_S: Final = 2.0
EVENT_GAPS: Final = 0.2
REFUSAL_S: Final = 0.01
BREAK_S: Final = 0.5
# Tokens that an entry must see before it judges a stream's pace.
_TOKENS_SEEN: Final = 4


class Simulation:
    """Virtual time, the requests and what became of them."""

    def __init__(
        self,
        pool: Pool,
        engines: list[EngineModel],
        rng: np.random.Generator,
    ) -> None:
        self.pool = pool
        self.engines = {engine.info.id: engine for engine in engines}
        self.records: dict[RequestId, Record] = {}
        self.now: float = 0
        self.expected_pace: float = INITIAL_TOKEN_INTERVAL_SECONDS
        self.stopped = False
        self.on_end: Callable[[Record], None] | None = None
        self._rng = rng
        self._order = itertools.count()
        self._timers: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_numbers = dict.fromkeys(self.engines, 0)
        self.at(HEDGE_EVERY_S, self._hedge)
        for engine in engines:
            self.at(REPORT_EVERY_S, self._report, engine)

    def at(self, when: float, run: Callable[..., None], *args: Any) -> None:
        """Do something at a later time."""
        item = (when, next(self._order), run, args)
        heapq.heappush(self._timers, item)

    def submit(self, request: Request) -> None:
        """Let a request arrive at its time."""
        self.at(request.at, self._arrive, request)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._timers and self._timers[0][0] <= until:
            if self.stopped:
                return
            self.now, _, run, args = heapq.heappop(self._timers)
            run(*args)
        self.now = until
        for engine in self.engines.values():
            engine.advance(until)

    def pump(self) -> None:
        """Start what the pool places and end what it refuses."""
        for placement in self.pool.place(self.now):
            self._start(placement)
        self._end_refused()

    def refresh(self, engine: EngineModel) -> None:
        """Work out anew when the engine's next stream ends."""
        engine.ticket += 1
        upcoming = engine.next_end()
        if upcoming is not None:
            when, work_id = upcoming
            self.at(when, self._finish, engine, work_id, engine.ticket)

    def change(self, engine: EngineModel, slowdown: float) -> None:
        """Make an engine slower or faster."""
        engine.advance(self.now)
        engine.slowdown = slowdown
        self.refresh(engine)

    def _arrive(self, request: Request) -> None:
        record = Record(request=request)
        self.records[request.work.id] = record
        answer = self.pool.offer(request.work, self.now)
        if isinstance(answer, Refused):
            self._end(record, Outcome.REFUSED)
            return
        record.admitted = True
        self.pump()

    def _start(self, placement: Placement) -> None:
        work = placement.work
        record = self.records[work.id]
        record.attempts += 1
        record.copies += placement.duplicate
        self.expected_pace = placement.expected_token_interval
        engine = self.engines[placement.sampler]
        if engine.failing:
            started = bool(self._rng.integers(2))
            delay = BREAK_S if started else REFUSAL_S
            self.at(self.now + delay, self._fail, engine, work.id, started)
            return
        if record.started is None:
            record.started = self.now
        tokens = record.request.tokens
        record.cached = engine.start(work, tokens, self.now)
        record.prompt = work.prompt_tokens
        self.refresh(engine)

    def _finish(
        self, engine: EngineModel, work_id: RequestId, ticket: int
    ) -> None:
        if ticket != engine.ticket:
            return
        engine.cancel(work_id, self.now)
        self.refresh(engine)
        record = self.records[work_id]
        losers = self.pool.finish(
            work_id,
            engine.info.id,
            self.now,
            tokens=record.request.tokens,
            cached_tokens=record.cached,
        )
        for loser in losers:
            self._cancel(loser, work_id)
        late = self.now > record.request.work.deadline
        self._end(record, Outcome.LATE if late else Outcome.IN_TIME)
        self.pump()

    def _cancel(self, sampler: SamplerId, work_id: RequestId) -> None:
        engine = self.engines[sampler]
        engine.cancel(work_id, self.now)
        self.refresh(engine)

    def _fail(
        self, engine: EngineModel, work_id: RequestId, started: bool
    ) -> None:
        record = self.records[work_id]
        answer = self.pool.fail(
            work_id, engine.info.id, self.now, started=started
        )
        if isinstance(answer, Refused):
            self._end(record, Outcome.REFUSED)
        self.pump()

    def _end(self, record: Record, outcome: Outcome) -> None:
        record.outcome = outcome
        record.ended = self.now
        if self.on_end is not None:
            self.on_end(record)

    def _end_refused(self) -> None:
        for refused in self.pool.expire(self.now):
            self._end(self.records[refused.work_id], Outcome.REFUSED)

    def _hedge(self) -> None:
        self.pump()
        self._tell_slow()
        for placement in self.pool.speculate(self.now):
            self._start(placement)
        self.at(self.now + HEDGE_EVERY_S, self._hedge)

    def _tell_slow(self) -> None:
        """Tell of slow streams, as entries do that have seen some tokens."""
        for engine in self.engines.values():
            pace = engine.pace()
            if pace <= SLOW_STREAM_FACTOR * self.expected_pace:
                continue
            for work_id in engine.slow_streams():
                started = self.records[work_id].started or self.now
                if self.now - started >= _TOKENS_SEEN * pace:
                    sampler = engine.info.id
                    self.pool.record_slow_stream(
                        work_id, sampler, pace, self.now
                    )

    def _report(self, engine: EngineModel) -> None:
        report = SamplerReport(at=self.now, running=len(engine))
        sampler = engine.info.id
        self.at(self.now + REPORT_LAG_S, self._hear, sampler, report)
        events = engine.take_events()
        first = self._event_numbers[sampler]
        self._event_numbers[sampler] += len(events)
        if events and self._rng.random() >= EVENT_GAPS:
            when = self.now + EVENT_LAG_S
            self.at(when, self._hear_events, sampler, first, events)
        self.at(self.now + REPORT_EVERY_S, self._report, engine)

    def _hear(self, sampler: SamplerId, report: SamplerReport) -> None:
        self.pool.record_report(sampler, report, self.now)
        self.pump()

    def _hear_events(
        self, sampler: SamplerId, first: int, events: list[tuple[str, int]]
    ) -> None:
        self.pool.apply_cache_events(sampler, first, events, self.now)
