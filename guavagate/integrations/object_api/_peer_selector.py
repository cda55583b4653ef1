"""Selects the peers that make this instance's calls to the store.

A network partition between an instance and the store often separates it from
some peers too, which other members still see alive. A call through such a peer
waits for its time limit. Peers that answered are therefore preferred, and one
that failed is avoided for a while.

Load pattern: a job owner that is cut off from the store lists its jobs and
results through peers, megabytes at a time, while it commits results. Through a
single peer, small calls wait behind large ones on that peer's link and are
answered a second late. Calls are therefore spread over all peers that answered,
the one with the fewest calls in flight first.
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
        # Calls in flight, by peer that has answered.
        self._working: dict[InstanceId, int] = {}
        self._avoided_until: dict[InstanceId, float] = {}

    def has_working_peer(self, peers: Sequence[InstanceId]) -> bool:
        """Return whether one of some peers is known to answer."""
        return any(each in self._working for each in peers)

    def rank(self, peers: Sequence[InstanceId]) -> list[InstanceId]:
        """Return the peers, those that answered first and failed ones last."""
        now = self._clock.now()
        shuffled = list(peers)
        self._random.shuffle(shuffled)
        return sorted(
            shuffled,
            key=lambda peer: (
                peer not in self._working,
                self._working.get(peer, 0),
                self._avoided_until.get(peer, 0) > now,
            ),
        )

    def record_sent(self, peer: InstanceId) -> None:
        """Record that a call was sent to a peer."""
        if peer in self._working:
            self._working[peer] += 1

    def record_answer(self, peer: InstanceId) -> None:
        """Record that a peer made a call."""
        self._avoided_until.pop(peer, None)
        self._working[peer] = max(self._working.get(peer, 0) - 1, 0)

    def record_failure(self, peer: InstanceId) -> None:
        """Record that a peer did not answer or could not reach the store."""
        self._avoided_until[peer] = self._clock.now() + AVOID_SECONDS
        self._working.pop(peer, None)
