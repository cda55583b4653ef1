"""Applies evacuations to an instance's upstreams and connections."""

import functools
import logging
from collections.abc import Callable, Iterable
from typing import Final

from guavagate.clock import Clock
from guavagate.evacuation._suspension import (
    LOOK_INTERVAL_SECONDS,
    SuspensionGuard,
)
from guavagate.evacuation._zones import EvacuatedZone, EvacuatedZones
from guavagate.events import evacuation as events
from guavagate.events import write
from guavagate.feeds import Feed
from guavagate.http1 import ConnectionPool
from guavagate.metrics import Metrics, names
from guavagate.models import ZoneId
from guavagate.ports.store import StoredObject
from guavagate.ports.upstreams import Upstream
from guavagate.routing import Obstacle, UpstreamTable
from guavagate.runtime import Members
from guavagate.util.boot_clock import read_boot_clock

_LOGGER: Final = logging.getLogger(__name__)

# A request that was running when the zone was evacuated returns its connection
# to the pool at its end; it is closed within this time.
CLOSE_INTERVAL_SECONDS: Final = 1.0


class Evacuations:
    """Follows the evacuated zones while an instance runs.

    Parameters
    ----------
    close_idle
        Closes the idle connections to an address.
    list_zones
        Returns the zones of the instances.
    """

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamTable,
        close_idle: Callable[[str], None],
        metrics: Metrics,
        list_zones: Callable[[], Iterable[ZoneId]] = tuple,
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams
        self._close_idle = close_idle
        self._metrics = metrics
        self._list_zones = list_zones
        self._zones = EvacuatedZones()
        self._awaited = False
        self._boot_clock = boot_clock
        self._guard = SuspensionGuard(boot_clock())
        upstreams.subscribe_stopped(self._count_stopped)

    def follow(self, feed: Feed, prefixes: tuple[str, ...]) -> None:
        """Follow the objects under some prefixes, before the feed starts.

        Nothing is sent to any upstream until the feed is loaded. Without a
        prefix, as where zones are not evacuated, this does nothing.
        """
        if not prefixes:
            return
        for prefix in prefixes:
            feed.register_handlers(prefix, self._put, self._remove)
        self._metrics.add_refresher(self._refresh)
        self._awaited = True
        self._apply()
        self._upstreams.eligibility.may_be_outdated = functools.partial(
            self._may_be_outdated, feed
        )
        feed.subscribe_loaded(self._handle_loaded)
        self._clock.spawn(self._look_at_clock, feed)

    def list_zones(self) -> list[EvacuatedZone]:
        """Return the evacuated zones, ordered by id."""
        return self._zones.list_zones()

    def _put(self, stored: StoredObject) -> None:
        zone = ZoneId(stored.path.partition('/')[2])
        begun = self._zones.put(zone, stored.version, self._clock.now())
        if begun is None:
            return
        self._apply()
        self._close_connections()
        if not self._awaited:
            self._report(begun)

    def _remove(self, name: str) -> None:
        ended = self._zones.remove(ZoneId(name))
        if ended is None:
            return
        self._apply()
        write(
            _LOGGER,
            events.ZONE_RETURNED,
            zone=ended.id,
            revision=ended.revision,
            upstreams=self._count_upstreams(ended.id),
            seconds=round(self._clock.now() - ended.since, 1),
        )

    def _handle_loaded(self) -> None:
        self._awaited = False
        self._apply()
        for zone in self._zones.list_zones():
            self._report(zone)
        self._clock.spawn(self._run)

    def _run(self) -> None:
        while True:
            self._clock.sleep(CLOSE_INTERVAL_SECONDS)
            self._close_connections()
            self._report_unknown()

    def _may_be_outdated(self, feed: Feed) -> bool:
        now = self._boot_clock()
        return self._guard.must_hold(now, feed.freshness.age())

    def _look_at_clock(self, feed: Feed) -> None:
        while True:
            self._may_be_outdated(feed)
            self._clock.sleep(LOOK_INTERVAL_SECONDS)

    def _apply(self) -> None:
        self._upstreams.set_evacuated(self._zones.ids, awaited=self._awaited)

    def _list_upstreams(self) -> list[Upstream]:
        """Return the registered upstreams of the evacuated zones."""
        evacuated = self._zones.ids
        if not evacuated:
            return []
        return [
            each
            for each in self._upstreams.registered()
            if each.zone in evacuated
        ]

    def _count_upstreams(self, zone: ZoneId) -> int:
        registered = self._upstreams.registered()
        return sum(each.zone == zone for each in registered)

    def _close_connections(self) -> None:
        for upstream in self._list_upstreams():
            self._close_idle(upstream.address)

    def _report(self, zone: EvacuatedZone) -> None:
        write(
            _LOGGER,
            events.ZONE_EVACUATED,
            zone=zone.id,
            revision=zone.revision,
            upstreams=self._count_upstreams(zone.id),
        )

    def _report_unknown(self) -> None:
        if not self._zones.ids:
            return
        known = {
            *(each.zone for each in self._upstreams.registered()),
            *self._upstreams.eligibility.region_of,
            *self._list_zones(),
        }
        for zone in self._zones.take_unknown(known):
            write(
                _LOGGER,
                events.UNKNOWN_ZONE_EVACUATED,
                zone=zone.id,
                revision=zone.revision,
            )

    def _count_stopped(self, obstacle: Obstacle) -> None:
        self._metrics.count(names.REQUESTS_STOPPED, obstacle=obstacle.value)

    def _refresh(self) -> None:
        self._metrics.set_gauge(names.EVACUATED_ZONES, len(self._zones.ids))


def make_evacuations(
    clock: Clock,
    upstreams: UpstreamTable,
    pool: ConnectionPool,
    metrics: Metrics,
    members: Members,
) -> Evacuations:
    """Return the evacuations of an instance, not yet followed."""
    return Evacuations(
        clock,
        upstreams,
        pool.close_idle,
        metrics,
        lambda: {each.availability_zone for each in members.alive()},
    )
