"""Determines which upstreams count as cold; time is an argument.

What is known of an upstream is recorded whether or not its service has a
warm-up, because the configuration may name one later.
"""

import enum
import math
from typing import Final

import msgspec

from guavagate.models import UpstreamId
from guavagate.ports.upstreams import Upstream

# How long an upstream that is gone is remembered, to notice its return.
REMEMBER_SECONDS: Final = 600.0


class ColdReason(enum.Enum):
    """Why an upstream counts as cold."""

    REPORTED = 'it says so'
    NEW = 'it is new'
    RESTARTED = 'it has restarted'
    RETURNED = 'it was gone for a while'
    ZONE_RETURNED = 'its zone is in use again'


class _Knowledge(msgspec.Struct):
    """What is known of an upstream; times on the runtime's clock.

    `event_at` is when something happened after which it may be cold, and which
    no later registration has cleared up.
    """

    reported_until: float = -math.inf
    event_at: float = -math.inf
    reason: ColdReason = ColdReason.REPORTED
    incarnation: int = 0
    seen_at: float = 0


class ColdUpstreams:
    """The upstreams that are, or may be, cold."""

    def __init__(self) -> None:
        self._known: dict[UpstreamId, _Knowledge] = {}

    def put(
        self, upstream: Upstream, previous: Upstream | None, now: float
    ) -> None:
        """Record a registration, and the one that it replaces."""
        known = self._known.get(upstream.id)
        event = _find_event(upstream, previous, known)
        if known is None:
            known = self._add(upstream.id, now)
        known.seen_at = now
        if event is not None:
            known.event_at = now
            known.reason = event
        if upstream.cold_for is None:
            return
        until = now + upstream.cold_for
        if upstream.incarnation < known.incarnation:
            # Late, from before a restart: no sign that the new one is warm.
            known.reported_until = max(known.reported_until, until)
            return
        known.incarnation = upstream.incarnation
        known.reported_until = until
        if event is None and not upstream.cold_for:
            known.event_at = -math.inf

    def record_health(
        self, upstream: UpstreamId, cold_for: float, now: float
    ) -> None:
        """Record that an upstream said in a health answer that it is cold."""
        known = self._known.get(upstream)
        if known is not None and cold_for > 0:
            known.reported_until = max(known.reported_until, now + cold_for)

    def record_zone_return(
        self, upstreams: list[UpstreamId], now: float
    ) -> None:
        """Record that the zone of some upstreams gets requests again."""
        for upstream in upstreams:
            known = self._known.get(upstream)
            if known is not None:
                known.event_at = now
                known.reason = ColdReason.ZONE_RETURNED

    def find_end(self, upstream: UpstreamId, start_seconds: float) -> float:
        """Return until when an upstream counts as cold.

        One of which nothing is known counts as cold.
        """
        known = self._known.get(upstream)
        if known is None:
            return math.inf
        return max(known.reported_until, known.event_at + start_seconds)

    def find_reason(self, upstream: UpstreamId) -> ColdReason:
        """Return why an upstream counts as cold, if it does."""
        known = self._known.get(upstream)
        if known is None:
            return ColdReason.NEW
        if known.event_at == -math.inf:
            return ColdReason.REPORTED
        return known.reason

    def _add(self, upstream: UpstreamId, now: float) -> _Knowledge:
        forget_before = now - REMEMBER_SECONDS
        for each, known in list(self._known.items()):
            if known.seen_at < forget_before:
                self._known.pop(each)
        added = _Knowledge()
        self._known[upstream] = added
        return added


def _find_event(
    upstream: Upstream, previous: Upstream | None, known: _Knowledge | None
) -> ColdReason | None:
    """Return why an upstream may be cold whatever this registration says.

    The first registration of an unknown upstream is believed: when an instance
    starts, all are unknown. After a restart or a gap the registration may have
    been written before, so only a later one is believed.
    """
    if known is None:
        return ColdReason.NEW if upstream.cold_for is None else None
    if 0 < known.incarnation < upstream.incarnation:
        return ColdReason.RESTARTED
    return ColdReason.RETURNED if previous is None else None
