"""Round trips of probes to other members."""

from collections.abc import Container
from typing import Final

from guavagate.models import InstanceId

# A busy process answers late, which says nothing about the network, so a longer
# time counts little. A shorter one counts at once.
_SMOOTHING: Final = 0.1


class RoundTrips(dict[InstanceId, float]):
    """Seconds from a probe to its answer, by member."""

    def record(self, member: InstanceId, seconds: float) -> None:
        """Record one round trip."""
        usual = self.get(member, seconds)
        rise = max(seconds - usual, 0) * _SMOOTHING
        self[member] = min(seconds, usual) + rise

    def retain(self, members: Container[InstanceId]) -> None:
        """Drop members that are not known any more."""
        for member in [each for each in self if each not in members]:
            self.pop(member)
