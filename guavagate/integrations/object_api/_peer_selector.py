"""Selects the peers that make this instance's calls to the store.

A network partition between an instance and the store often separates it from
some peers too, which other members still see alive. A call through such a peer
waits for its time limit. The peer that answered last is therefore preferred,
and one that failed is avoided for a while.
"""

import random
from collections.abc import Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.models import InstanceId

# Most network partitions of single machines are shorter.
AVOID_SECONDS: Final = 10.0


class PeerSelector:
    """Ranks peers by whether they answered."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._last_working: InstanceId | None = None
        self._avoided_until: dict[InstanceId, float] = {}

    def has_working_peer(self) -> bool:
        """Return whether a peer is known to answer."""
        return self._last_working is not None

    def rank(self, peers: Sequence[InstanceId]) -> list[InstanceId]:
        """Return the peers, the last one to answer first, failed ones last."""
        now = self._clock.now()
        shuffled = list(peers)
        self._random.shuffle(shuffled)
        return sorted(
            shuffled,
            key=lambda peer: (
                peer != self._last_working,
                self._avoided_until.get(peer, 0) > now,
            ),
        )

    def record_answer(self, peer: InstanceId) -> None:
        """Record that a peer made a call."""
        self._avoided_until.pop(peer, None)
        self._last_working = peer

    def record_failure(self, peer: InstanceId) -> None:
        """Record that a peer did not answer or could not reach the store."""
        self._avoided_until[peer] = self._clock.now() + AVOID_SECONDS
        if self._last_working == peer:
            self._last_working = None
