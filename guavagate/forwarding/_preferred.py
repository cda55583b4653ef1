"""Sends a request first to the upstream that the queue owner has chosen.

Load pattern: all slots but a few are in use. Each entry sees only its own
requests, so most of its requests meet a full upstream first. The queue owner
counts the requests of all entries at each upstream.
"""

import contextlib
from collections.abc import Iterator
from contextvars import ContextVar
from typing import Final

from guavagate.clock import Clock
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable

# Each task has its own value.
_PREFERRED: Final = ContextVar[UpstreamId | None]('preferred', default=None)


@contextlib.contextmanager
def prefer(upstream: UpstreamId | None) -> Iterator[None]:
    """Send what this task forwards to an upstream first, if it is usable."""
    token = _PREFERRED.set(upstream)
    try:
        yield
    finally:
        _PREFERRED.reset(token)


class PreferredUpstreams:
    """Chooses the preferred upstream first; implements `UpstreamChooser`."""

    def __init__(self, clock: Clock, upstreams: UpstreamTable) -> None:
        self._clock = clock
        self._upstreams = upstreams

    def choose(
        self, service: ServiceId, tried: set[UpstreamId]
    ) -> Upstream | None:
        """Return an upstream that was not tried, or `None`."""
        preferred = _PREFERRED.get()
        if preferred is not None and self._is_healthy(preferred):
            others = {
                each.id
                for each in self._upstreams.serving(service)
                if each.id != preferred
            }
            # Not if it leaves, or gets probes only.
            upstream = self._upstreams.choose(service, tried | others)
            if upstream is not None:
                return upstream
        return self._upstreams.choose(service, tried)

    def _is_healthy(self, upstream: UpstreamId) -> bool:
        load = self._upstreams.load(upstream)
        return load.ejected_until <= self._clock.now()

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Record that an upstream sent no answer in the time it had."""
        self._upstreams.record_timeout(upstream)
