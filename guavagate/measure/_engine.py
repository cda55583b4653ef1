"""A simplified model of a sampler in virtual time.

All streams of a batch generate tokens at the same interval. It grows slightly
with each stream, because memory bandwidth limits decoding, and steeply when the
streams no longer fit in the engine's memory. Each prompt token that isn't
cached costs `PREFILL_SHARE` of a generated token. The prefix cache evicts the
least recently used key first.
"""

import collections
import heapq
import itertools
from typing import Final

from guavagate.decisions import SamplerInfo, Work
from guavagate.decisions._work import PREFILL_SHARE
from guavagate.models import RequestId

# For a stream that runs alone; 50 tokens a second is a common speed.
TOKEN_INTERVAL_SECONDS: Final = 0.02
# Share that each further stream adds to the token interval: a batch of eight is
# 14 % slower.
BATCH_SLOWDOWN: Final = 0.02
# An engine caches a few hundred blocks of some hundred tokens each.
MAX_CACHED_KEYS: Final = 300


class EngineModel:
    """Simulates one sampler: its batch, prefix cache and injected faults."""

    def __init__(self, info: SamplerInfo, memory_slots: int) -> None:
        self.info = info
        self.memory_slots = memory_slots
        self.slowdown: float = 1
        self.failing = False
        self.stream_seconds: float = 0
        self.events: list[tuple[str, int]] = []
        self.timer_version = 0
        self._progress: float = 0
        self._advanced_at: float = 0
        self._order = itertools.count()
        self._streams: dict[RequestId, float] = {}
        self._ends: list[tuple[float, int, RequestId]] = []
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of running streams."""
        return len(self._streams)

    def compute_token_interval(self) -> float:
        """Return the current seconds per token of each stream."""
        count = max(len(self._streams), 1)
        token_interval = (
            TOKEN_INTERVAL_SECONDS
            * self.slowdown
            * (1 + BATCH_SLOWDOWN * (count - 1))
        )
        if count > self.memory_slots:
            token_interval *= (count / self.memory_slots) ** 2
        return token_interval

    def start(self, work: Work, tokens: int, now: float) -> int:
        """Start a stream and return the number of cached prompt tokens."""
        self.advance(now)
        cached = self._read_prompt(work)
        cost = tokens + (work.prompt_tokens - cached) * PREFILL_SHARE
        end = self._progress + cost
        self._streams[work.id] = end
        heapq.heappush(self._ends, (end, next(self._order), work.id))
        return cached

    def cancel(self, work_id: RequestId, now: float) -> None:
        """Remove a stream."""
        self.advance(now)
        self._streams.pop(work_id, None)

    def advance(self, now: float) -> None:
        """Advance all streams to this time."""
        elapsed = now - self._advanced_at
        if self._streams:
            self._progress += elapsed / self.compute_token_interval()
            self.stream_seconds += elapsed * len(self._streams)
        self._advanced_at = now

    def predict_next_end(self) -> tuple[float, RequestId] | None:
        """Return the time and work ID of the next stream to end.

        Valid until a stream starts or ends or the engine's speed changes.
        """
        while self._ends:
            end, _, work_id = self._ends[0]
            if self._streams.get(work_id) == end:
                remaining = max(end - self._progress, 0)
                return (
                    self._advanced_at
                    + remaining * self.compute_token_interval(),
                    work_id,
                )
            heapq.heappop(self._ends)
        return None

    def list_streams(self) -> list[RequestId]:
        """Return the work IDs of the running streams."""
        return list(self._streams)

    def take_events(self) -> list[tuple[str, int]]:
        """Return and clear the cache events since the last call."""
        events, self.events = self.events, []
        return events

    def _read_prompt(self, work: Work) -> int:
        keys = work.prefix_keys
        matched = 0
        while matched < len(keys) and keys[matched] in self._cache:
            matched += 1
        for key in keys:
            if key not in self._cache:
                self.events.append(('stored', key))
            self._cache[key] = None
            self._cache.move_to_end(key)
        while len(self._cache) > MAX_CACHED_KEYS:
            evicted, _ = self._cache.popitem(last=False)
            self.events.append(('evicted', evicted))
        return work.prompt_tokens * matched // max(len(keys), 1)
