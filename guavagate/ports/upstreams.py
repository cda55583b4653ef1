"""An upstream as its registration describes it."""

import msgspec

from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One process that serves a service; `versions` by model.

    `incarnation` is when it started, in milliseconds by its own clock; 0
    where it does not tell. One that starts again keeps its id and knows
    nothing of before.
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
