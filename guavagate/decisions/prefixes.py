"""Tracks which prompt prefixes each sampler has cached, as far as is known.

Load pattern: one system prompt is used by a third of all requests, and groups
of samples share a prompt.

Without the index: every sampler reads every prompt again.

Cache events arrive late and with gaps. A gap must not corrupt the index. Each
answer reports its number of cached tokens, which is authoritative: a prefix
that was expected and not found shows how far the engine has evicted. So a lost
event costs one prompt read and not wrong choices forever. Removing entries by
age at each gap lost more hits than it saved. Event numbers that start again
indicate a new engine process with an empty cache.
"""

import collections
from collections.abc import Iterable
from typing import Final

# Entries per sampler; engines cache some hundreds of distinct prefixes.
MAX_PREFIXES: Final = 4_096


class PrefixIndex:
    """One sampler's cached prefixes, the least recently used first."""

    def __init__(self, *, heal: bool = True) -> None:
        self._heal = heal
        self._last_used: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._next_event: int | None = None

    def __len__(self) -> int:
        """Return the number of prefixes assumed to be cached."""
        return len(self._last_used)

    def match(self, keys: tuple[int, ...]) -> int:
        """Return how many of the growing prefixes are cached."""
        seen = self._last_used
        for count in range(len(keys), 0, -1):
            if keys[count - 1] in seen:
                return count
        return 0

    def store(self, keys: Iterable[int], now: float) -> None:
        """Mark prefixes as expected to be cached from now on."""
        for key in keys:
            self._last_used[key] = now
            self._last_used.move_to_end(key)
        while len(self._last_used) > MAX_PREFIXES:
            self._last_used.popitem(last=False)

    def get_last_use(self, key: int) -> float:
        """Return when a prefix was last stored or used here."""
        return self._last_used.get(key, float('-inf'))

    def record_eviction(self, seen: float) -> None:
        """Remove all keys that were last used at this moment or earlier.

        Called when such a key was not found. Engines evict the least recently
        used prefix first, so all keys last used no later are gone as well.
        """
        if self._heal:
            self._remove_until(seen)

    def apply(
        self,
        first: int,
        events: Iterable[tuple[str, int]],
        now: float,
    ) -> bool:
        """Apply events; `first` is the number of the first one.

        Returns
        -------
        Whether events before these are missing.
        """
        known = self._next_event
        if known is not None and first < known and self._heal:
            # Numbers start again: the engine has restarted with an empty cache.
            self._last_used.clear()
        count = 0
        for kind, key in events:
            count += 1
            if kind == 'evicted':
                self._last_used.pop(key, None)
            elif kind == 'stored' and key not in self._last_used:
                self.store((key,), now)
        self._next_event = first + count
        return known is not None and first != known

    def _remove_until(self, moment: float) -> None:
        while self._last_used:
            key, at = next(iter(self._last_used.items()))
            if at > moment:
                return
            self._last_used.pop(key)
