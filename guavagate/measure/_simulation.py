"""Simulate a pool and its samplers in virtual time."""

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

# As in an instance: how often it starts speculative runs, how often samplers
# report, and how late reports and cache events arrive.
SPECULATION_INTERVAL_SECONDS: Final = 0.25
REPORT_INTERVAL_SECONDS: Final = 1.0
REPORT_DELAY_SECONDS: Final = 1.0
EVENT_DELAY_SECONDS: Final = 2.0
# Share of batches of cache events that are lost.
EVENT_LOSS_PROBABILITY: Final = 0.2
# A failing sampler refuses a request, or accepts it and fails later.
REFUSAL_DELAY_SECONDS: Final = 0.01
ABORT_DELAY_SECONDS: Final = 0.5
# An entry receives this many tokens before it reports a slow stream.
_MIN_OBSERVED_TOKENS: Final = 4


class Simulation:
    """Runs requests through a pool in virtual time and records the results."""

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
        self.expected_token_interval: float = INITIAL_TOKEN_INTERVAL_SECONDS
        self.stopped = False
        self.on_end: Callable[[Record], None] | None = None
        self._rng = rng
        self._order = itertools.count()
        self._timers: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_numbers = dict.fromkeys(self.engines, 0)
        self.call_at(SPECULATION_INTERVAL_SECONDS, self._speculate)
        for engine in engines:
            self.call_at(REPORT_INTERVAL_SECONDS, self._send_report, engine)

    def call_at(
        self, when: float, run: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a call at a time."""
        item = (when, next(self._order), run, args)
        heapq.heappush(self._timers, item)

    def submit(self, request: Request) -> None:
        """Schedule the arrival of a request."""
        self.call_at(request.at, self._arrive, request)

    def run(self, until: float) -> None:
        """Run scheduled calls until a time, or until `stopped` is set."""
        while self._timers and self._timers[0][0] <= until:
            if self.stopped:
                return
            self.now, _, run, args = heapq.heappop(self._timers)
            run(*args)
        self.now = until
        for engine in self.engines.values():
            engine.advance(until)

    def dispatch(self) -> None:
        """Start the requests that the pool places and end expired ones."""
        for placement in self.pool.place(self.now):
            self._start(placement)
        self._end_expired()

    def reschedule_finish(self, engine: EngineModel) -> None:
        """Schedule the next end of a stream, in place of the earlier timer."""
        engine.timer_version += 1
        upcoming = engine.predict_next_end()
        if upcoming is not None:
            when, work_id = upcoming
            self.call_at(
                when, self._finish, engine, work_id, engine.timer_version
            )

    def set_slowdown(self, engine: EngineModel, slowdown: float) -> None:
        """Change the factor by which an engine is slower than usual."""
        engine.advance(self.now)
        engine.slowdown = slowdown
        self.reschedule_finish(engine)

    def _arrive(self, request: Request) -> None:
        record = Record(request=request)
        self.records[request.work.id] = record
        answer = self.pool.offer(request.work, self.now)
        if isinstance(answer, Refused):
            self._end(record, Outcome.REFUSED)
            return
        record.admitted = True
        self.dispatch()

    def _start(self, placement: Placement) -> None:
        work = placement.work
        record = self.records[work.id]
        record.attempts += 1
        record.copies += placement.duplicate
        self.expected_token_interval = placement.expected_token_interval
        engine = self.engines[placement.sampler]
        if engine.failing:
            started = bool(self._rng.integers(2))
            delay = ABORT_DELAY_SECONDS if started else REFUSAL_DELAY_SECONDS
            self.call_at(self.now + delay, self._fail, engine, work.id, started)
            return
        if record.started is None:
            record.started = self.now
        tokens = record.request.tokens
        record.cached = engine.start(work, tokens, self.now)
        record.prompt = work.prompt_tokens
        self.reschedule_finish(engine)

    def _finish(
        self, engine: EngineModel, work_id: RequestId, timer_version: int
    ) -> None:
        if timer_version != engine.timer_version:
            return
        engine.cancel(work_id, self.now)
        self.reschedule_finish(engine)
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
        self.dispatch()

    def _cancel(self, sampler: SamplerId, work_id: RequestId) -> None:
        engine = self.engines[sampler]
        engine.cancel(work_id, self.now)
        self.reschedule_finish(engine)

    def _fail(
        self, engine: EngineModel, work_id: RequestId, started: bool
    ) -> None:
        record = self.records[work_id]
        answer = self.pool.fail(
            work_id, engine.info.id, self.now, started=started
        )
        if isinstance(answer, Refused):
            self._end(record, Outcome.REFUSED)
        self.dispatch()

    def _end(self, record: Record, outcome: Outcome) -> None:
        record.outcome = outcome
        record.ended = self.now
        if self.on_end is not None:
            self.on_end(record)

    def _end_expired(self) -> None:
        for refused in self.pool.expire(self.now):
            self._end(self.records[refused.work_id], Outcome.REFUSED)

    def _speculate(self) -> None:
        self.dispatch()
        self._report_slow_streams()
        for placement in self.pool.speculate(self.now):
            self._start(placement)
        self.call_at(self.now + SPECULATION_INTERVAL_SECONDS, self._speculate)

    def _report_slow_streams(self) -> None:
        """Report slow streams to the pool, as entries do after a few tokens."""
        for engine in self.engines.values():
            token_interval = engine.compute_token_interval()
            if (
                token_interval
                <= SLOW_STREAM_FACTOR * self.expected_token_interval
            ):
                continue
            for work_id in engine.list_streams():
                started = self.records[work_id].started or self.now
                if self.now - started >= _MIN_OBSERVED_TOKENS * token_interval:
                    sampler = engine.info.id
                    self.pool.record_slow_stream(
                        work_id, sampler, token_interval, self.now
                    )

    def _send_report(self, engine: EngineModel) -> None:
        report = SamplerReport(at=self.now, running=len(engine))
        sampler = engine.info.id
        self.call_at(
            self.now + REPORT_DELAY_SECONDS,
            self._receive_report,
            sampler,
            report,
        )
        events = engine.take_events()
        first = self._event_numbers[sampler]
        self._event_numbers[sampler] += len(events)
        if events and self._rng.random() >= EVENT_LOSS_PROBABILITY:
            when = self.now + EVENT_DELAY_SECONDS
            self.call_at(
                when, self._receive_cache_events, sampler, first, events
            )
        self.call_at(
            self.now + REPORT_INTERVAL_SECONDS, self._send_report, engine
        )

    def _receive_report(
        self, sampler: SamplerId, report: SamplerReport
    ) -> None:
        self.pool.record_report(sampler, report, self.now)
        self.dispatch()

    def _receive_cache_events(
        self, sampler: SamplerId, first: int, events: list[tuple[str, int]]
    ) -> None:
        self.pool.apply_cache_events(sampler, first, events, self.now)
