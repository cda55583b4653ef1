"""Tracks which zones are evacuated; uses no network.

An object is an evacuation by its name alone, as its content may come from
another writer and be unreadable. What is last known stays in force until the
store reports the removal.
"""

from collections.abc import Container

import msgspec

from guavagate.models import Revision, ZoneId


class EvacuatedZone(msgspec.Struct):
    """A zone that is evacuated.

    Attributes
    ----------
    revision
        The newest revision of its object.
    since
        When this instance saw the evacuation, on the runtime's clock.
    reported
        Whether it was reported that the zone is unknown.
    """

    id: ZoneId
    revision: Revision
    since: float
    reported: bool = False


class EvacuatedZones:
    """The zones that are evacuated now."""

    def __init__(self) -> None:
        self._zones: dict[ZoneId, EvacuatedZone] = {}

    @property
    def ids(self) -> frozenset[ZoneId]:
        """Return the evacuated zones."""
        return frozenset(self._zones)

    def list_zones(self) -> list[EvacuatedZone]:
        """Return the evacuated zones, ordered by id."""
        return [self._zones[zone] for zone in sorted(self._zones)]

    def put(
        self, zone: ZoneId, revision: Revision, now: float
    ) -> EvacuatedZone | None:
        """Record a zone's object; return the zone if this begins."""
        known = self._zones.get(zone)
        if known is not None:
            known.revision = revision
            return None
        self._zones[zone] = EvacuatedZone(zone, revision, now)
        return self._zones[zone]

    def remove(self, zone: ZoneId) -> EvacuatedZone | None:
        """Record that a zone's object was removed; return the zone, if any."""
        return self._zones.pop(zone, None)

    def take_unknown(self, known: Container[ZoneId]) -> list[EvacuatedZone]:
        """Return the evacuated zones that are not known, each only once."""
        unknown = [
            each
            for each in self._zones.values()
            if each.id not in known and not each.reported
        ]
        for each in unknown:
            each.reported = True
        return unknown
