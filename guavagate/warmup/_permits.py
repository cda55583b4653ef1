"""Checks right before sending that a start was permitted a moment ago."""

from collections import deque
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.warmup._limits import PERMIT_SECONDS

# Beyond this number, upstreams without permits are removed.
_MAX_UPSTREAMS: Final = 200


class StartPermits:
    """The permitted starts of this instance that were not used yet.

    A process that was suspended between the permission and the request would
    otherwise send it in a second in which others were permitted.

    Parameters
    ----------
    applies
        Returns whether a service has a warm-up.
    """

    def __init__(
        self, clock: Clock, applies: Callable[[ServiceId], bool]
    ) -> None:
        self._clock = clock
        self._applies = applies
        self._until: dict[UpstreamId, deque[float]] = {}

    def put(self, upstream: UpstreamId, permitted_at: float) -> None:
        """Record that one request may be sent to an upstream soon."""
        if len(self._until) > _MAX_UPSTREAMS:
            self._until = {
                each: left for each, left in self._until.items() if left
            }
        permits = self._until.setdefault(upstream, deque())
        permits.append(permitted_at + PERMIT_SECONDS)

    def use(self, upstream: Upstream) -> bool:
        """Use up one permit; return whether the request may be sent."""
        if not self._applies(upstream.service):
            return True
        permits = self._until.get(upstream.id)
        now = self._clock.now()
        while permits:
            if permits.popleft() >= now:
                return True
        return False
