"""Decides which zones' upstreams the other zones replace; uses no network.

Failure pattern: an evacuated zone returns, and the other zones give back what
replaced its upstreams. These are all cold, so that neither serves what the
steps need. A zone therefore stays replaced for a while after its return, which
also keeps the orders the same if it is evacuated again within that time.
"""

from collections.abc import Collection, Container
from typing import Final

from guavagate.models import ZoneId

# An evacuated zone that returns is warm again by then.
RETURN_SECONDS: Final = 10.0


class ReplacedZones:
    """The zones of a service that are evacuated or have just returned."""

    def __init__(self) -> None:
        self.ids: frozenset[ZoneId] = frozenset()
        self._evacuated_at: dict[ZoneId, float] = {}

    def clear(self) -> None:
        """Forget all; another instance may order meanwhile."""
        self.ids = frozenset()
        self._evacuated_at.clear()

    def update(
        self,
        evacuated: Collection[ZoneId],
        zones: Container[ZoneId],
        now: float,
        known_at: float = 0,
    ) -> bool:
        """Update the zones; return whether they have changed.

        Parameters
        ----------
        zones
            The zones that the service may use.
        known_at
            When the demand is known. A new owner would otherwise order as many
            as it may in a zone that returns, which has what it had before.
        """
        self._evacuated_at |= dict.fromkeys(evacuated, now)
        before = self.ids
        self.ids = frozenset(
            zone
            for zone, at in self._evacuated_at.items()
            if zone in zones and now < max(at + RETURN_SECONDS, known_at)
        )
        return self.ids != before
