"""The engine's prefix cache and its late, gapped events."""

import random
import time
from collections import OrderedDict, deque

from guavagate.integrations.model_engine import CacheEvent, compute_prefix_ids


class PrefixCache:
    """Prefix blocks in limited memory, the least recently used leaving first.

    Parameters
    ----------
    blocks
        How many it holds.
    lag
        Seconds until an event is published.
    gap
        Share of the events that are never published.
    """

    def __init__(self, blocks: int, lag: float, gap: float, seed: int) -> None:
        self._blocks = blocks
        self._lag = lag
        self._gap = gap
        self._draw = random.Random(seed)
        self._stored: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)
        self._seq = 0

    def use(self, prompt: str) -> float:
        """Return the share of the prompt that was cached, and cache it all."""
        prefixes = compute_prefix_ids(prompt)
        hits = [prefix in self._stored for prefix in prefixes]
        for prefix in prefixes:
            self._store(prefix)
        return sum(hits) / len(hits) if hits else 0

    def show_events(self, since: int) -> tuple[int, list[CacheEvent]]:
        """Return what is published from a number on, and the next number."""
        until = time.monotonic() - self._lag
        due = [event for at, event in self._events if at <= until]
        shown = [event for event in due if event.seq >= since]
        return (shown[-1].seq + 1 if shown else since), shown

    def clear(self) -> None:
        """Forget everything, as a crash does, without an event."""
        self._stored.clear()

    def _store(self, prefix: str) -> None:
        """Cache one block, evicting another if need be."""
        if prefix in self._stored:
            self._stored.move_to_end(prefix)
            return
        self._stored[prefix] = None
        self._note('stored', prefix)
        if len(self._stored) > self._blocks:
            self._note('evicted', self._stored.popitem(last=False)[0])

    def _note(self, kind: str, prefix: str) -> None:
        """Give an event its number; some are never published."""
        self._seq += 1
        if self._draw.random() >= self._gap:
            event = CacheEvent(self._seq, kind, prefix)
            self._events.append((time.monotonic(), event))
