"""Batch of the engine: slots, token generation, cancels and reports."""

import random
import time
from collections.abc import Iterator
from typing import Any, Final

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from guavagate.models import WeightVersion
from guavagate.ports.engine import EngineReport
from standins.engine._cache import PrefixCache
from standins.engine._options import EngineFaults, EngineOptions, Request
from standins.engine._trace import Trace
from standins.history import Recorder
from standins.text import choose_length, make_token

# Estimates the number of tokens of a prompt from its length.
CHARACTERS_PER_TOKEN: Final = 4


class Engine:
    """State of one engine.

    Parameters
    ----------
    options
        Speed, capacity and reporting of the engine.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.recorder = Recorder(options.history, f'engine-{options.id}')
        self.rng = random.Random(options.seed)
        self.version = options.version
        self.prefetched = {options.version}
        self.adapters: set[str] = set()
        self.role = 'both'
        self.fence = 0
        self.serving = Event()
        self.serving.set()
        self.cache = PrefixCache(
            options.cache_blocks,
            options.event_lag_s,
            options.event_gap,
            options.seed,
        )
        self._slots = BoundedSemaphore(options.slots)
        self._running: dict[str, Event] = {}
        self._queued = 0
        self._last_report: tuple[float, EngineReport] | None = None

    def get_rejection_code(self) -> str:
        """Return the code that rejects a new request; empty to accept it."""
        if self.faults.leaving:
            return 'leaving'
        if self.faults.overloaded or self._queued >= self.options.max_queue:
            return 'overloaded'
        return ''

    def cancel(self, exchange: str) -> bool:
        """Stop an exchange; return whether it was running."""
        stopped = self._running.get(exchange)
        if stopped is None:
            return False
        stopped.set()
        return True

    def list_running(self) -> list[str]:
        """Return the ids of the running exchanges."""
        return list(self._running)

    def generate(self, request: Request) -> Iterator[dict[str, Any]]:
        """Run one exchange in a slot of the batch and yield its events."""
        stopped = Event()
        self._queued += 1
        try:
            self._slots.acquire()
        finally:
            self._queued -= 1
        self._running[request.request_id] = stopped
        trace = Trace(self.recorder, self.options.id, request)
        try:
            cached = self._prefill(request)
            for event in self._decode(request, stopped):
                event['usage']['cached_tokens'] = cached
                trace.record_event(event)
                yield event
        finally:
            self._running.pop(request.request_id, None)
            self._slots.release()
            trace.flush()

    def report(self) -> EngineReport:
        """Return the last report; renew it once it is `report_lag_s` old."""
        now = time.monotonic()
        current = self._make_report()
        if self._last_report is None:
            self._last_report = (now, current)
        reported_at, report = self._last_report
        if now - reported_at >= self.options.report_lag_s:
            self._last_report = (now, current)
        return report

    def _make_report(self) -> EngineReport:
        """Return the current state."""
        return EngineReport(
            version=WeightVersion(self.version),
            prefetched=tuple(map(WeightVersion, sorted(self.prefetched))),
            running=len(self._running),
            queued=self._queued,
            slots=self.options.slots,
            leaving=self.faults.leaving,
            fence=self.fence,
        )

    def _prefill(self, request: Request) -> int:
        """Sleep for the uncached part; return the number of cached tokens."""
        cached = len(request.prompt) * self.cache.look_up_and_store(
            request.prompt
        )
        uncached = len(request.prompt + request.resume_text) - cached
        gevent.sleep(
            uncached / 1000 * self.options.prefill_s * self.faults.slow
        )
        return round(cached / CHARACTERS_PER_TOKEN)

    def _decode(
        self, request: Request, stopped: Event
    ) -> Iterator[dict[str, Any]]:
        """Generate tokens and yield an event per piece, up to the last one."""
        start = min(request.resume_tokens, request.max_tokens)
        total = max(self._choose_length(request), start)
        index = start
        while not stopped.is_set():
            piece, version = self._make_piece(request.prompt, index, total)
            index += len(piece)
            yield self._make_event(
                request, piece, version, index - start, done=index >= total
            )
            if index >= total:
                return

    def _choose_length(self, request: Request) -> int:
        """Return the number of tokens of the answer."""
        if self.options.fixed_length:
            return request.max_tokens
        seed = request.request_id if request.seed is None else request.seed
        return choose_length(request.prompt, str(seed), request.max_tokens)

    def _make_piece(
        self, prompt: str, index: int, total: int
    ) -> tuple[list[str], int]:
        """Generate one piece of tokens, all by the same version."""
        self._wait_until_serving()
        version = self.version
        piece: list[str] = []
        while index + len(piece) < total:
            self._generate_token()
            if version != self.version and piece:
                break
            version = self.version
            piece.append(make_token(prompt, index + len(piece), version))
            if len(piece) >= self.options.piece_tokens:
                break
        return piece, version

    def _generate_token(self) -> None:
        """Sleep for one token; the more slots are in use, the longer."""
        load = len(self._running) / self.options.slots
        factor = 1 + self.options.slowdown * load
        gevent.sleep(self.options.token_s * factor * self.faults.slow)
        self._wait_until_serving()

    def _wait_until_serving(self) -> None:
        """Wait until a swap is done and the stall fault is cleared."""
        self.serving.wait()
        while self.faults.stall:
            gevent.sleep(0.05)

    def _make_event(
        self,
        request: Request,
        piece: list[str],
        version: int,
        generated: int,
        *,
        done: bool,
    ) -> dict[str, Any]:
        """Return one event, with the number of tokens generated so far."""
        finish = 'stop' if done else None
        usage = {'tokens': len(piece), 'completion_tokens': generated}
        event: dict[str, Any] = {
            'id': request.request_id,
            'choices': [{'text': ''.join(piece), 'finish_reason': finish}],
            'usage': usage,
        }
        if not self.faults.silent_versions:
            event['weight_version'] = version
        return event
