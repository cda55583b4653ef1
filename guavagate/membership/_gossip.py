"""Claims waiting to be passed on with the next datagrams.

Each claim rides on about three times log2(members) datagrams, which reaches
all of them with high probability; the number in a datagram is bounded, so a
change costs every node the same at any size of the fleet.
"""

import dataclasses
import math
from typing import Final

from guavagate.membership._packet import Update
from guavagate.models import InstanceId

UPDATES_PER_PACKET: Final = 6
_REPEATS: Final = 3


@dataclasses.dataclass(slots=True)
class _Entry:
    update: Update
    sent: int = 0


class Gossip:
    """The newest claim about each member, least sent first."""

    def __init__(self) -> None:
        self._entries: dict[InstanceId, _Entry] = {}

    def add(self, update: Update) -> None:
        """Pass a claim on, in place of an earlier one about the member."""
        self._entries[update.id] = _Entry(update)

    def take(self, members: int, room: int) -> tuple[Update, ...]:
        """Return claims for one datagram that has room for so many."""
        if not self._entries:
            return ()
        limit = _REPEATS * math.ceil(math.log2(members + 2))
        chosen = sorted(self._entries.values(), key=lambda entry: entry.sent)[
            : max(room, 0)
        ]
        for entry in chosen:
            entry.sent += 1
            if entry.sent >= limit:
                self._entries.pop(entry.update.id)
        return tuple(entry.update for entry in chosen)
