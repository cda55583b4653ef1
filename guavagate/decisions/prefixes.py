"""Which prompt prefixes each sampler holds, as far as can be known.

Load pattern: one system prompt is used by a third of all requests, and groups
of samples share a prompt.
Without it: every sampler reads every prompt again.

Cache events come late and with gaps. A gap must not poison the index: after
one, only what was seen lately is kept. Each answer's count of cached tokens
is the truth: a prefix expected and not found shows how far the engine has
evicted, so a lost event costs one prompt read and not wrong choices for good.
"""

import collections
from collections.abc import Iterable
from typing import Final

# Entries per sampler; engines hold some hundreds of distinct prefixes.
MAX_PREFIXES: Final = 4_096
# After a gap only entries confirmed within this many seconds are kept.
KEEP_AFTER_GAP_S: Final = 10.0


class PrefixIndex:
    """One sampler's cached prefixes, the least recently used first."""

    def __init__(self, *, heal: bool = True) -> None:
        self._heal = heal
        self._seen: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._next_event: int | None = None

    def __len__(self) -> int:
        """Return how many prefixes are taken to be cached."""
        return len(self._seen)

    def match(self, keys: tuple[int, ...]) -> int:
        """Return how many of the growing prefixes are cached."""
        seen = self._seen
        for count in range(len(keys), 0, -1):
            if keys[count - 1] in seen:
                return count
        return 0

    def store(self, keys: Iterable[int], now: float) -> None:
        """Expect these to be cached from now on."""
        for key in keys:
            self._seen[key] = now
            self._seen.move_to_end(key)
        while len(self._seen) > MAX_PREFIXES:
            self._seen.popitem(last=False)

    def last_seen(self, key: int) -> float:
        """Return when a key was last stored or used."""
        return self._seen.get(key, float('-inf'))

    def learn_evicted(self, seen: float) -> None:
        """Take in that a key last seen at this moment was not found.

        Engines evict the least recently used first, so whatever was last
        seen no later is gone as well.
        """
        if self._heal:
            self._forget_until(seen)

    def apply(
        self,
        first: int,
        events: Iterable[tuple[str, int]],
        now: float,
    ) -> bool:
        """Take in events, `first` being the first one's number.

        Returns
        -------
        Whether events were missing in between.
        """
        gap = self._next_event is not None and first > self._next_event
        if gap and self._heal:
            self._forget_until(now - KEEP_AFTER_GAP_S)
        count = 0
        for kind, key in events:
            count += 1
            if kind == 'stored':
                self.store((key,), now)
            elif kind == 'evicted':
                self._seen.pop(key, None)
        self._next_event = max(first + count, self._next_event or 0)
        return gap

    def _forget_until(self, moment: float) -> None:
        while self._seen:
            key, at = next(iter(self._seen.items()))
            if at > moment:
                return
            self._seen.pop(key)
