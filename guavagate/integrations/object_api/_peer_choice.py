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


class PeerChoice:
    """Remembers who answered and who did not."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._best: InstanceId | None = None
        self._silent: dict[InstanceId, float] = {}

    def is_found(self) -> bool:
        """Return whether some peer is known to answer."""
        return self._best is not None

    def order(self, peers: Sequence[InstanceId]) -> list[InstanceId]:
        """Return the peers to ask, the best first, the silent ones last."""
        now = self._clock.now()
        shuffled = list(peers)
        self._random.shuffle(shuffled)
        return sorted(
            shuffled,
            key=lambda peer: (
                peer != self._best,
                self._silent.get(peer, 0) > now,
            ),
        )

    def note_answer(self, peer: InstanceId) -> None:
        """Note that a peer made a call."""
        self._silent.pop(peer, None)
        self._best = peer

    def note_silence(self, peer: InstanceId) -> None:
        """Note that a peer gave no answer, or could not reach the store."""
        self._silent[peer] = self._clock.now() + AVOID_SECONDS
        if self._best == peer:
            self._best = None
