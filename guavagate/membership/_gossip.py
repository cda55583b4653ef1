"""The queue of claims to gossip with the next datagrams.

Each claim is sent in about 3 * log2(members) datagrams, which reaches all
members with high probability. The number of claims per datagram is bounded, so
a change costs each instance the same at any size of the fleet.
"""

import dataclasses
import math
from typing import Final

from guavagate.membership._packet import Update
from guavagate.models import InstanceId

UPDATES_PER_PACKET: Final = 6
_REPEATS: Final = 3


@dataclasses.dataclass(slots=True)
class _QueuedClaim:
    update: Update
    sent: int = 0


class Gossip:
    """The newest claim about each member; those sent least go first."""

    def __init__(self) -> None:
        self._claims: dict[InstanceId, _QueuedClaim] = {}

    def add(self, update: Update) -> None:
        """Queue a claim; it replaces an earlier one about the same member."""
        self._claims[update.id] = _QueuedClaim(update)

    def take(self, member_count: int, capacity: int) -> tuple[Update, ...]:
        """Return at most `capacity` claims to send in one datagram."""
        if not self._claims:
            return ()
        send_limit = _REPEATS * math.ceil(math.log2(member_count + 2))
        chosen = sorted(self._claims.values(), key=lambda claim: claim.sent)[
            : max(capacity, 0)
        ]
        for claim in chosen:
            claim.sent += 1
            if claim.sent >= send_limit:
                self._claims.pop(claim.update.id)
        return tuple(claim.update for claim in chosen)
