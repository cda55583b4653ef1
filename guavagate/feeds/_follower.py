"""What one instance hears from relays, and how old that is."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import LinkError
from guavagate.feeds._messages import (
    FeedBeat,
    FeedChange,
    FeedClock,
    FeedCopy,
    ReadFeed,
    ReadFeedClock,
)
from guavagate.feeds._packing import unpack
from guavagate.feeds._proof import Proof
from guavagate.feeds._relays import STALE_SECONDS
from guavagate.feeds._table import FeedTable
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId

_LOGGER: Final = logging.getLogger(__name__)

READ_SECONDS: Final = 0.6
COMPARE_SECONDS: Final = 60.0
# The age of news that nobody has told.
NEVER_SECONDS: Final = 1e9


class _Relay(msgspec.Struct):
    """What was last heard from a relay."""

    boot: int
    number: int
    heard_at: float
    age: float
    reading: bool = False


class Follower:
    """Takes in what relays tell, and reads what was missed.

    Parameters
    ----------
    loaded
        Called, without blocking, after all that a relay has was read.

    Attributes
    ----------
    heard_at
        When any relay was last heard, on the runtime's clock.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        table: FeedTable,
        proof: Proof,
        loaded: Callable[[], None],
        boot_clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._table = table
        self._proof = proof
        self._loaded = loaded
        self._boot_clock = boot_clock
        self._relays: dict[InstanceId, _Relay] = {}
        self.heard_at = clock.now()
        bus.register(FeedChange, self._on_change)
        bus.register(FeedBeat, self._on_beat)

    def list_relays(self) -> list[InstanceId]:
        """Return the relays that were heard, by id."""
        return sorted(self._relays)

    def read_age(self, relays: Iterable[InstanceId]) -> float:
        """Return how old the newest news of some relays is, in seconds."""
        now = self._clock.now()
        heard = [self._relays[each] for each in relays if each in self._relays]
        ages = (
            now - relay.heard_at + relay.age
            for relay in heard
            if not relay.reading
        )
        return min(ages, default=NEVER_SECONDS)

    def read_copy(self, sender: InstanceId) -> None:
        """Read all from a relay that is new, or whose change was missed."""
        before = self._relays.get(sender)
        never = self._clock.now() - STALE_SECONDS
        self._relays[sender] = _Relay(0, 0, never, 0, reading=True)
        asked_at = self._boot_clock()
        try:
            copy = self._bus.request(
                sender, ReadFeed(packed=True), FeedCopy, READ_SECONDS
            )
            entries = unpack(copy.packed) if copy.packed else copy.entries
        except LinkError as error:
            _LOGGER.debug('%s was not read: %s', sender, error)
            self._relays.pop(sender)
            return
        self._table.apply_snapshot(entries, copy.revision)
        self._proof.compare(copy.boot, asked_at, copy.clock)
        self._proof.record_relayed(copy.boot, copy.proved_at, copy.clock)
        self._relays[sender] = _Relay(
            copy.boot, copy.number, self._clock.now(), copy.age
        )
        self._loaded()
        if before is None:
            _LOGGER.debug('following %s', sender)

    def compare_clocks(self) -> None:
        """Ask the relays for their boot clocks now and then; does not end.

        Two machines' clocks drift apart by seconds in a day, and a proof that
        is told by the relay's would seem to be older, or newer, by that.
        """
        while True:
            self._clock.sleep(COMPARE_SECONDS)
            for relay, heard in list(self._relays.items()):
                if not heard.reading and heard.boot:
                    self._compare_clock(relay)

    def _compare_clock(self, relay: InstanceId) -> None:
        asked_at = self._boot_clock()
        try:
            told = self._bus.request(
                relay, ReadFeedClock(), FeedClock, READ_SECONDS
            )
        except LinkError as error:
            _LOGGER.debug('%s told no clock: %s', relay, error)
            return
        self._proof.compare(told.boot, asked_at, told.clock)

    def _on_change(self, sender: InstanceId, message: Message) -> None:
        change = expect(message, FeedChange)
        self.heard_at = self._clock.now()
        relay = self._relays.get(sender)
        if relay is None or relay.boot != change.boot:
            return  # The next beat has the whole copy read.
        if change.number == relay.number + 1:
            relay.number = change.number
        self._table.apply(change.entry)

    def _on_beat(self, sender: InstanceId, message: Message) -> None:
        beat = expect(message, FeedBeat)
        self.heard_at = self._clock.now()
        relay = self._relays.get(sender)
        known = relay is not None and relay.boot == beat.boot
        if relay is not None and known and relay.number >= beat.number:
            relay.heard_at = self._clock.now()
            relay.age = beat.age
            self._proof.record_relayed(beat.boot, beat.proved_at, beat.clock)
            return
        if relay is None or not relay.reading:
            self.read_copy(sender)
