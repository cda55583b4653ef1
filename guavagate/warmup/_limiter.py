"""A sliding log of the starts at each upstream; no network.

Load pattern: a zone of eight samplers returns, and a step of a hundred items
waits. Each refused item was tried again every 0.1 s, and one sampler got 22
requests within a second, so it crashed.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from guavagate.models import UpstreamId
from guavagate.warmup._limits import WINDOW_SECONDS

# Returns how many starts an upstream may get in a window, at a time.
FindLimit = Callable[[UpstreamId, float], int]

# Beyond this number of logs, those without starts are removed.
_MAX_LOGS: Final = 200


class WarmupLimiter:
    """Permits starts at upstreams, up to a limit in any window."""

    def __init__(self, find_limit: FindLimit) -> None:
        self._find_limit = find_limit
        self._logs: dict[UpstreamId, deque[float]] = {}

    def count_allowed(self, upstream: UpstreamId, now: float) -> int:
        """Return how many requests may start at an upstream now."""
        used = len(self._get_recent(upstream, now))
        return max(self._find_limit(upstream, now) - used, 0)

    def take(self, upstream: UpstreamId, now: float) -> bool:
        """Count a start at an upstream; return whether it is permitted."""
        if not self.count_allowed(upstream, now):
            return False
        if len(self._logs) > _MAX_LOGS:
            self._remove_idle(now)
        self._logs.setdefault(upstream, deque()).append(now)
        return True

    def find_wait(self, upstreams: Iterable[UpstreamId], now: float) -> float:
        """Return the seconds until one of some upstreams may get a request."""
        return min(
            (self._find_wait(each, now) for each in upstreams),
            default=WINDOW_SECONDS,
        )

    def _find_wait(self, upstream: UpstreamId, now: float) -> float:
        limit = self._find_limit(upstream, now)
        recent = self._get_recent(upstream, now)
        if not limit:
            return WINDOW_SECONDS
        if len(recent) < limit:
            return 0
        return recent[-limit] + WINDOW_SECONDS - now

    def _get_recent(self, upstream: UpstreamId, now: float) -> deque[float]:
        log = self._logs.get(upstream)
        if log is None:
            return deque()
        while log and log[0] <= now - WINDOW_SECONDS:
            log.popleft()
        return log

    def _remove_idle(self, now: float) -> None:
        for upstream in list(self._logs):
            if not self._get_recent(upstream, now):
                self._logs.pop(upstream)
