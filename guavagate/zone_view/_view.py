"""Collects the state of each zone; uses no network, time is an argument.

An operator who evacuates a zone has to know when each instance followed, what
is still running there, and which upstreams are cold once it is back. The
eligibility check only knows the present state, so the ages are kept here.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Generic, TypeVar

import msgspec

from guavagate.models import RegionId, ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import Eligibility

_Key = TypeVar('_Key', bound=str)


class ZoneState(msgspec.Struct, frozen=True, kw_only=True):
    """One zone, as an instance sees it.

    Attributes
    ----------
    region
        Empty if no region is known for the zone.
    instances
        Number of instances there that are seen alive.
    upstreams, cold
        Number of registered upstreams, and of cold ones among them.
    running
        Number of requests and items that this instance has running there.
    evacuated_for
        Seconds since this instance follows an evacuation, or `None`.
    """

    zone: ZoneId
    region: RegionId
    instances: int
    upstreams: int
    cold: int
    running: int
    evacuated_for: float | None = None


class ColdUpstream(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream that counts as cold here, and since how many seconds."""

    upstream: UpstreamId
    service: ServiceId
    zone: ZoneId
    seconds: float


class ZoneView:
    """Tracks since when zones are evacuated and upstreams are cold.

    Parameters
    ----------
    list_upstreams
        Returns all registrations.
    list_instance_zones
        Returns the zone of each instance that is seen alive.
    count_running
        Returns how many requests and items this instance runs at an upstream.
    is_cold
        Returns whether an upstream counts as cold.
    """

    def __init__(
        self,
        eligibility: Eligibility,
        list_upstreams: Callable[[], Iterable[Upstream]],
        list_instance_zones: Callable[[], Iterable[ZoneId]],
        count_running: Callable[[UpstreamId], int],
        is_cold: Callable[[Upstream], bool],
    ) -> None:
        self._eligibility = eligibility
        self._list_upstreams = list_upstreams
        self._list_instance_zones = list_instance_zones
        self._count_running = count_running
        self._is_cold = is_cold
        self._evacuated = _Ages[ZoneId]()
        self._cold = _Ages[UpstreamId]()

    def observe(self, now: float) -> None:
        """Note what has begun or ended; ages are as precise as the calls."""
        self._evacuated.update(self._eligibility.evacuated, now)
        self._cold.update(
            (each.id for each in self._list_upstreams() if self._is_cold(each)),
            now,
        )

    def list_zones(self, now: float) -> list[ZoneState]:
        """Return all known zones, ordered by region and name."""
        self.observe(now)
        upstreams = list(self._list_upstreams())
        instances = Counter(self._list_instance_zones())
        region_of = self._eligibility.region_of
        known = {
            *region_of,
            *instances,
            *(each.zone for each in upstreams),
            *self._evacuated.since,
        }
        states = [
            self._describe(
                zone,
                [each for each in upstreams if each.zone == zone],
                instances[zone],
                now,
            )
            for zone in known
        ]
        return sorted(states, key=lambda state: (state.region, state.zone))

    def list_cold(self, now: float) -> list[ColdUpstream]:
        """Return the cold upstreams, ordered by zone and id."""
        self.observe(now)
        found = [
            ColdUpstream(
                upstream=each.id,
                service=each.service,
                zone=each.zone,
                seconds=now - self._cold.since[each.id],
            )
            for each in self._list_upstreams()
            if each.id in self._cold.since
        ]
        return sorted(found, key=lambda each: (each.zone, each.upstream))

    def _describe(
        self,
        zone: ZoneId,
        upstreams: list[Upstream],
        instances: int,
        now: float,
    ) -> ZoneState:
        since = self._evacuated.since.get(zone)
        return ZoneState(
            zone=zone,
            region=self._eligibility.region_of.get(zone, RegionId('')),
            instances=instances,
            upstreams=len(upstreams),
            cold=sum(each.id in self._cold.since for each in upstreams),
            running=sum(self._count_running(each.id) for each in upstreams),
            evacuated_for=None if since is None else now - since,
        )


class _Ages(Generic[_Key]):
    """When each of some states began."""

    def __init__(self) -> None:
        self.since: Mapping[_Key, float] = {}

    def update(self, present: Iterable[_Key], now: float) -> None:
        """Add what began and remove what ended."""
        self.since = {key: self.since.get(key, now) for key in present}
