"""Which prompt prefixes each sampler holds, as far as can be known.

Load pattern: one system prompt is used by a third of all requests, and groups
of samples share a prompt.
Without it: every sampler reads every prompt again.

Cache events come late and with gaps. A gap must not poison the index. Each
answer's count of cached tokens is the truth: a prefix expected and not found
shows how far the engine has evicted, so a lost event costs one prompt read
and not wrong choices for good. To forget by age at each gap was tried and
cost more hits than it saved. Numbers that start again mean a new engine
process with an empty cache.
"""

import collections
from collections.abc import Iterable
from typing import Final

# Entries per sampler; engines hold some hundreds of distinct prefixes.
MAX_PREFIXES: Final = 4_096


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

    def record_eviction(self, seen: float) -> None:
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
        known = self._next_event
        if known is not None and first < known and self._heal:
            # Numbers start again: the engine has, and with an empty cache.
            self._seen.clear()
        count = 0
        for kind, key in events:
            count += 1
            if kind == 'evicted':
                self._seen.pop(key, None)
            elif kind == 'stored' and key not in self._seen:
                self.store((key,), now)
        self._next_event = first + count
        return known is not None and first != known

    def _forget_until(self, moment: float) -> None:
        while self._seen:
            key, at = next(iter(self._seen.items()))
            if at > moment:
                return
            self._seen.pop(key)
