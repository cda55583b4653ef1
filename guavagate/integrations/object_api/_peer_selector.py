"""Which peer makes this instance's calls to the store.

What cuts an instance off from the store often cuts it off from some peers as
well, which others still see alive. A call through such a peer waits out its
time limit, so whoever answered last is asked again, and one that gave no
answer is left alone for a while.
"""

import random
from collections.abc import Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.models import InstanceId

# Longer than most partitions of single machines last.
AVOID_SECONDS: Final = 10.0


class PeerSelector:
    """Remembers who answered and who did not."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._last_working: InstanceId | None = None
        self._avoided_until: dict[InstanceId, float] = {}

    def has_working_peer(self) -> bool:
        """Return whether some peer is known to answer."""
        return self._last_working is not None

    def rank(self, peers: Sequence[InstanceId]) -> list[InstanceId]:
        """Return the peers to ask, the best first, the silent ones last."""
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
        """Note that a peer made a call."""
        self._avoided_until.pop(peer, None)
        self._last_working = peer

    def record_failure(self, peer: InstanceId) -> None:
        """Note that a peer gave no answer, or could not reach the store."""
        self._avoided_until[peer] = self._clock.now() + AVOID_SECONDS
        if self._last_working == peer:
            self._last_working = None
