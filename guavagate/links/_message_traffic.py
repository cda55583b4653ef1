"""Counts the messages of the bus by kind, direction and distance."""

import dataclasses
import enum
from collections.abc import Callable, Iterator
from typing import Final

from guavagate.models import InstanceId
from guavagate.util.distance import Distance

# Stands for all kinds that no handler is registered for: the name comes from
# the wire, and each one would get a metric of its own.
UNKNOWN_KIND: Final = 'unknown'
# Limit of the index of counters; it is rebuilt when it is full.
MAX_INDEX_ENTRIES: Final = 20_000


class Direction(enum.Enum):
    """Whether this instance sent or received a message."""

    SENT = 'sent'
    RECEIVED = 'received'


@dataclasses.dataclass(slots=True)
class MessageCount:
    """Messages and bytes of one kind, direction and distance."""

    messages: int = 0
    size: int = 0


_BETWEEN_ZONES: Final = frozenset((Distance.SAME_REGION, Distance.OTHER_REGION))

Key = tuple[str, Direction, Distance]
Locate = Callable[[InstanceId], Distance]


def _locate_nowhere(peer: InstanceId) -> Distance:
    return Distance.UNKNOWN


class MessageTraffic:
    """Counts messages; a reply counts under the kind of its request.

    Heartbeats of connections are not counted. Sizes are those of the frames,
    without encryption and the headers of IP and TCP.
    """

    def __init__(self) -> None:
        self._locate: Locate = _locate_nowhere
        self._counts: dict[Key, MessageCount] = {}
        # The counter of each peer and kind. The distance to a peer is looked
        # up once, not for each message.
        self._sent: dict[tuple[InstanceId, str], MessageCount] = {}
        self._received: dict[tuple[InstanceId, str], MessageCount] = {}

    def set_locator(self, locate: Locate) -> None:
        """Set the function that returns the distance to a peer."""
        self._locate = locate
        self.forget_distances()

    def forget_distances(self) -> None:
        """Look distances up again: peers may have moved to another zone."""
        self._sent.clear()
        self._received.clear()

    def is_between_zones(self, peer: InstanceId) -> bool:
        """Return whether a peer is known to be in another zone."""
        return self._locate(peer) in _BETWEEN_ZONES

    def record_sent(self, peer: InstanceId, kind: str, size: int) -> None:
        """Count one message sent; `size` in bytes."""
        count = self._sent.get((peer, kind))
        if count is None:
            count = self._find(self._sent, Direction.SENT, peer, kind)
        count.messages += 1
        count.size += size

    def record_received(self, peer: InstanceId, kind: str, size: int) -> None:
        """Count one message received; `size` in bytes."""
        count = self._received.get((peer, kind))
        if count is None:
            count = self._find(self._received, Direction.RECEIVED, peer, kind)
        count.messages += 1
        count.size += size

    def __iter__(self) -> Iterator[tuple[Key, MessageCount]]:
        """Iterate over all counters."""
        return iter(list(self._counts.items()))

    def _find(
        self,
        index: dict[tuple[InstanceId, str], MessageCount],
        direction: Direction,
        peer: InstanceId,
        kind: str,
    ) -> MessageCount:
        distance = self._locate(peer)
        count = self._counts.setdefault(
            (kind, direction, distance), MessageCount()
        )
        # A sender that the membership does not know yet is looked up again.
        if distance is not Distance.UNKNOWN:
            if len(index) >= MAX_INDEX_ENTRIES:
                index.clear()
            index[peer, kind] = count
        return count
