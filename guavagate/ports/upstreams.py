"""Upstreams as registered."""

import msgspec

from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A process that serves a service; `versions` are by model.

    `incarnation` is its start time in milliseconds by its own clock, or 0 if
    it reports none. A restarted upstream keeps its id but has lost its state.
    """

    id: UpstreamId
    service: ServiceId
    address: str
    zone: ZoneId
    leaving: bool = False
    slots: int = 0
    versions: dict[str, WeightVersion] = {}
    incarnation: int = 0
    spot: bool = False
