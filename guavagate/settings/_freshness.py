"""Tracks when the store and the peers last answered."""

from guavagate.clock import Clock


class Freshness:
    """Detects that this instance's settings may be outdated.

    A process that resumes after a pause has old settings, and its clock has
    moved on. It is not ready until the store or a peer has answered again.
    """

    def __init__(self, clock: Clock, limit: float) -> None:
        self._clock = clock
        self._limit = limit
        self._store_at: float | None = None
        self._peer_at: float | None = None

    def record_store_answer(self) -> None:
        """Record that the store has answered."""
        self._store_at = self._clock.now()

    def record_peer_contact(self) -> None:
        """Record a message from a peer that knows the settings."""
        self._peer_at = self._clock.now()

    def seconds_since_store(self) -> float | None:
        """Return the seconds since the store last answered."""
        return self._age(self._store_at)

    def seconds_since_peers(self) -> float | None:
        """Return the seconds since the last message from such a peer."""
        return self._age(self._peer_at)

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the settings may be outdated; empty if they are not."""
        ages = (self.seconds_since_store(), self.seconds_since_peers())
        known = [age for age in ages if age is not None]
        if known and min(known) <= self._limit:
            return ()
        return (
            f'settings: neither the object API nor a peer heard for'
            f' {self._limit:g} s; check the network of this instance',
        )

    def _age(self, last_at: float | None) -> float | None:
        return None if last_at is None else self._clock.now() - last_at
