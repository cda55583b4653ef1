"""Upstreams as registered."""

from typing import Self

import msgspec

from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """A process that serves a service; `versions` are by model.

    `incarnation` is its start time in milliseconds by its own clock, or 0 if
    it reports none. A restarted upstream keeps its id but has lost its state.
    `leaves_in` is how many seconds a leaving upstream had left by its
    registration, and `leaves_at` when these end on this instance's clock; both
    are None if it names no time. `cold_for` is how many seconds longer it was
    cold by its registration, or None if it does not say.
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
    leaves_in: float | None = None
    leaves_at: float | None = None
    cold_for: float | None = None

    @property
    def is_reclaimed(self) -> bool:
        """Return whether the platform takes the upstream away."""
        return self.spot and self.leaving and self.leaves_in is not None

    def set_deadline(self, previous: Self | None, now: float) -> Self:
        """Return the upstream with the time at which it leaves.

        A registration may be read again later, as after a watch was lost; its
        time left then counts from the first time.
        """
        if not self.leaving or self.leaves_in is None:
            return self
        leaves_at = now + max(self.leaves_in, 0)
        if previous is not None and previous.incarnation == self.incarnation:
            known = previous.leaves_at
            leaves_at = leaves_at if known is None else min(known, leaves_at)
        return msgspec.structs.replace(self, leaves_at=leaves_at)
