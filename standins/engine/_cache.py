"""Prefix cache of the engine; its events are late and have gaps."""

import random
import time
from collections import OrderedDict, deque

from guavagate.integrations.model_engine import CacheEvent, compute_prefix_ids


class PrefixCache:
    """LRU cache of prefix blocks.

    Parameters
    ----------
    blocks
        Capacity in blocks.
    lag
        Delay in seconds before an event is published.
    gap
        Share of the events that are never published.
    """

    def __init__(self, blocks: int, lag: float, gap: float, seed: int) -> None:
        self._blocks = blocks
        self._lag = lag
        self._gap = gap
        self._rng = random.Random(seed)
        self._stored: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)
        self._seq = 0

    def look_up_and_store(self, prompt: str) -> float:
        """Cache the entire prompt; return the share that was cached before."""
        prefixes = compute_prefix_ids(prompt)
        hits = [prefix in self._stored for prefix in prefixes]
        for prefix in prefixes:
            self._store(prefix)
        return sum(hits) / len(hits) if hits else 0

    def list_events(self, since: int) -> tuple[int, list[CacheEvent]]:
        """Return the next number and the published events from `since` on."""
        until = time.monotonic() - self._lag
        published = [event for at, event in self._events if at <= until]
        events = [event for event in published if event.seq >= since]
        return (events[-1].seq + 1 if events else since), events

    def clear(self) -> None:
        """Drop all blocks without an event, as a crash does."""
        self._stored.clear()

    def _store(self, prefix: str) -> None:
        """Cache one block; evict the least recently used one when full."""
        if prefix in self._stored:
            self._stored.move_to_end(prefix)
            return
        self._stored[prefix] = None
        self._record_event('stored', prefix)
        if len(self._stored) > self._blocks:
            self._record_event('evicted', self._stored.popitem(last=False)[0])

    def _record_event(self, kind: str, prefix: str) -> None:
        """Assign a number to an event and queue it, unless it is a gap."""
        self._seq += 1
        if self._rng.random() >= self._gap:
            event = CacheEvent(self._seq, kind, prefix)
            self._events.append((time.monotonic(), event))
