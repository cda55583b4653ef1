"""The engine's batch: slots, tokens, cancels and what it reports."""

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

# A prompt's tokens are counted roughly, by its characters.
CHARACTERS_PER_TOKEN: Final = 4


class Engine:
    """One engine's state.

    Parameters
    ----------
    options
        How it behaves.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.recorder = Recorder(options.history, f'engine-{options.id}')
        self.draw = random.Random(options.seed)
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
        self._reported: tuple[float, EngineReport] | None = None

    def get_rejection_code(self) -> str:
        """Return why a request is not started, or nothing."""
        if self.faults.leaving:
            return 'leaving'
        if self.faults.overloaded or self._queued >= self.options.max_queue:
            return 'overloaded'
        return ''

    def cancel(self, exchange: str) -> bool:
        """Stop an exchange; tell whether it was running."""
        stopped = self._running.get(exchange)
        if stopped is None:
            return False
        stopped.set()
        return True

    def list_running(self) -> list[str]:
        """Return the exchanges that run, for crossing them."""
        return list(self._running)

    def generate(self, request: Request) -> Iterator[dict[str, Any]]:
        """Yield the events of one exchange in a slot of the batch."""
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
                trace.add(event)
                yield event
        finally:
            self._running.pop(request.request_id, None)
            self._slots.release()
            trace.close()

    def report(self) -> EngineReport:
        """Return what the engine says of itself, late."""
        now = time.monotonic()
        current = self._describe()
        if self._reported is None:
            self._reported = (now, current)
        at, shown = self._reported
        if now - at >= self.options.report_lag_s:
            self._reported = (now, current)
        return shown

    def _describe(self) -> EngineReport:
        """Return the state as it is."""
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
        """Take the time of the uncached part; return the cached tokens."""
        cached = len(request.prompt) * self.cache.use(request.prompt)
        missing = len(request.prompt + request.resume_text) - cached
        gevent.sleep(missing / 1000 * self.options.prefill_s * self.faults.slow)
        return round(cached / CHARACTERS_PER_TOKEN)

    def _decode(
        self, request: Request, stopped: Event
    ) -> Iterator[dict[str, Any]]:
        """Yield pieces of tokens up to the terminal one."""
        start = min(request.resume_tokens, request.max_tokens)
        total = max(self._draw_length(request), start)
        index = start
        while not stopped.is_set():
            piece, version = self._make_piece(request.prompt, index, total)
            index += len(piece)
            yield self._show(
                request, piece, version, index - start, done=index >= total
            )
            if index >= total:
                return

    def _draw_length(self, request: Request) -> int:
        """Return how long the answer becomes."""
        if self.options.fixed_length:
            return request.max_tokens
        draw = request.request_id if request.seed is None else request.seed
        return choose_length(request.prompt, str(draw), request.max_tokens)

    def _make_piece(
        self, prompt: str, index: int, total: int
    ) -> tuple[list[str], int]:
        """Make some tokens by the version loaded now."""
        self._wait_until_serving()
        version = self.version
        piece: list[str] = []
        while index + len(piece) < total:
            self._step()
            if version != self.version and piece:
                break
            version = self.version
            piece.append(make_token(prompt, index + len(piece), version))
            if len(piece) >= self.options.piece_tokens:
                break
        return piece, version

    def _step(self) -> None:
        """Take the time of one token; a full batch is slower."""
        load = len(self._running) / self.options.slots
        factor = 1 + self.options.slowdown * load
        gevent.sleep(self.options.token_s * factor * self.faults.slow)
        self._wait_until_serving()

    def _wait_until_serving(self) -> None:
        """Wait out a swap, and hang while stalled."""
        self.serving.wait()
        while self.faults.stall:
            gevent.sleep(0.05)

    def _show(
        self,
        request: Request,
        piece: list[str],
        version: int,
        made: int,
        *,
        done: bool,
    ) -> dict[str, Any]:
        """Return one event, with the tokens made so far."""
        finish = 'stop' if done else None
        usage = {'tokens': len(piece), 'completion_tokens': made}
        event: dict[str, Any] = {
            'id': request.request_id,
            'choices': [{'text': ''.join(piece), 'finish_reason': finish}],
            'usage': usage,
        }
        if not self.faults.silent_versions:
            event['weight_version'] = version
        return event
