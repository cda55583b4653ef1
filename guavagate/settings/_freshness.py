"""When the store and the peers were last heard."""

from guavagate.clock import Clock


class Freshness:
    """Tells an instance that can't know the settings from one that can.

    A process that was paused wakes with old settings and a clock that has
    moved on: it is not ready until it has heard somebody again.
    """

    def __init__(self, clock: Clock, limit: float) -> None:
        self._clock = clock
        self._limit = limit
        self._store: float | None = None
        self._peers: float | None = None

    def record_store_answer(self) -> None:
        """Note that the store has answered."""
        self._store = self._clock.now()

    def record_peer_contact(self) -> None:
        """Note that a peer which knows the settings was heard."""
        self._peers = self._clock.now()

    def seconds_since_store(self) -> float | None:
        """Return the seconds since the store answered."""
        return self._age(self._store)

    def seconds_since_peers(self) -> float | None:
        """Return the seconds since a peer was heard."""
        return self._age(self._peers)

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why the settings may be old; nothing when they are not."""
        ages = (self.seconds_since_store(), self.seconds_since_peers())
        heard = [age for age in ages if age is not None]
        if heard and min(heard) <= self._limit:
            return ()
        return (
            f'settings: neither the object API nor a peer heard for'
            f' {self._limit:g} s; check the network of this instance',
        )

    def _age(self, heard: float | None) -> float | None:
        return None if heard is None else self._clock.now() - heard
