"""Passes what is known of upstreams on, and reports which are cold."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import warmup as events
from guavagate.events import write
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.configuration import Warmup
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from guavagate.warmup._cold import ColdUpstreams

_LOGGER: Final = logging.getLogger(__name__)


class ColdWatch:
    """Follows registrations, health answers and returning zones."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamTable,
        metrics: Metrics,
        cold: ColdUpstreams,
        find_warmup: Callable[[ServiceId], Warmup | None],
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams
        self._metrics = metrics
        self._cold = cold
        self._find_warmup = find_warmup
        self._reported: set[UpstreamId] = set()

    def start(self) -> None:
        """Start to follow the upstreams."""
        self._upstreams.subscribe_registrations(self._put)
        self._upstreams.subscribe_cold_reports(self._record_health)
        self._upstreams.subscribe_zone_returns(self._record_zone_return)
        self._metrics.add_refresher(self._refresh)

    def _put(self, upstream: Upstream, previous: Upstream | None) -> None:
        self._cold.put(upstream, previous, self._clock.now())
        self._report(upstream)

    def _record_health(self, name: UpstreamId, cold_for: float) -> None:
        self._cold.record_health(name, cold_for, self._clock.now())
        upstream = self._upstreams.get(name)
        if upstream is not None:
            self._report(upstream)

    def _record_zone_return(self, zone: ZoneId) -> None:
        returned = [
            each for each in self._upstreams.registered() if each.zone == zone
        ]
        self._cold.record_zone_return(
            [each.id for each in returned], self._clock.now()
        )
        for upstream in returned:
            self._report(upstream)

    def _report(self, upstream: Upstream) -> None:
        """Log that an upstream became cold, or that it is warm again."""
        left = self._measure_left(upstream)
        if left > 0 and upstream.id not in self._reported:
            self._reported.add(upstream.id)
            write(
                _LOGGER,
                events.UPSTREAM_COLD,
                upstream=upstream.id,
                service=upstream.service,
                zone=upstream.zone,
                reason=self._cold.find_reason(upstream.id).value,
                seconds=round(left, 2),
            )
        elif left <= 0 and upstream.id in self._reported:
            self._reported.discard(upstream.id)
            write(
                _LOGGER,
                events.UPSTREAM_WARM,
                upstream=upstream.id,
                service=upstream.service,
            )

    def _measure_left(self, upstream: Upstream) -> float:
        """Return how many seconds longer an upstream counts as cold."""
        warmup = self._find_warmup(upstream.service)
        if warmup is None:
            return 0
        end = self._cold.find_end(upstream.id, warmup.start_seconds)
        return max(end - self._clock.now(), 0)

    def _refresh(self) -> None:
        listed = self._upstreams.registered()
        self._reported &= {each.id for each in listed}
        for upstream in listed:
            self._report(upstream)
        cold = sum(self._measure_left(each) > 0 for each in listed)
        self._metrics.set_gauge(names.COLD_UPSTREAMS, cold)
