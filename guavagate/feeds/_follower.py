"""Receives the relays' messages and tracks how old their data is."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import LinkError
from guavagate.feeds._messages import (
    FeedAddition,
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
from guavagate.feeds._table import FeedTable, find_prefix
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId

_LOGGER: Final = logging.getLogger(__name__)

READ_TIMEOUT_SECONDS: Final = 0.6
COMPARE_INTERVAL_SECONDS: Final = 60.0
# Stands for the age of data that no relay has sent.
UNKNOWN_AGE_SECONDS: Final = 1e9


class _Relay(msgspec.Struct):
    """State of one relay, as of its last message."""

    boot: int
    number: int
    updated_at: float
    age: float
    reading: bool = False


class Follower:
    """Applies the relays' messages and reads a snapshot after a missed one.

    Parameters
    ----------
    prefixes, later
        The followed prefixes, and those of them that the first release does
        not relay.
    on_loaded
        Called after a snapshot was applied; must not block.

    Attributes
    ----------
    last_message_at
        When any relay's last message arrived, on the runtime's clock.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        table: FeedTable,
        proof: Proof,
        freshness: Proof,
        prefixes: tuple[str, ...],
        later: tuple[str, ...],
        on_loaded: Callable[[], None],
        boot_clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._table = table
        self._proof = proof
        self._freshness = freshness
        self._prefixes = prefixes
        self._first_prefixes = tuple(
            each for each in prefixes if each not in later
        )
        self._on_loaded = on_loaded
        self._boot_clock = boot_clock
        self._relays: dict[InstanceId, _Relay] = {}
        self.last_message_at = clock.now()
        bus.register(FeedChange, self._on_change)
        bus.register(FeedAddition, self._on_change)
        bus.register(FeedBeat, self._on_beat)

    def list_relays(self) -> list[InstanceId]:
        """Return the relays that have sent messages, sorted by id."""
        return sorted(self._relays)

    def compute_age(self, relays: Iterable[InstanceId]) -> float:
        """Return the age of the newest data of some relays, in seconds."""
        now = self._clock.now()
        known = [self._relays[each] for each in relays if each in self._relays]
        ages = (
            now - relay.updated_at + relay.age
            for relay in known
            if not relay.reading
        )
        return min(ages, default=UNKNOWN_AGE_SECONDS)

    def read_snapshot(self, sender: InstanceId) -> None:
        """Read all objects of a relay that is new or whose change was lost."""
        previous = self._relays.get(sender)
        stale_since = self._clock.now() - STALE_SECONDS
        self._relays[sender] = _Relay(0, 0, stale_since, 0, reading=True)
        requested_at = self._boot_clock()
        try:
            snapshot = self._bus.request(
                sender,
                ReadFeed(packed=True, prefixes=self._prefixes),
                FeedCopy,
                READ_TIMEOUT_SECONDS,
            )
            entries = (
                unpack(snapshot.packed) if snapshot.packed else snapshot.entries
            )
        except LinkError as error:
            _LOGGER.debug('could not read from relay %s: %s', sender, error)
            self._relays.pop(sender)
            return
        self._table.apply_snapshot(
            entries, snapshot.revision, self._first_prefixes
        )
        for prefix in snapshot.prefixes:
            if prefix in self._prefixes and prefix not in self._first_prefixes:
                # A watch that waits longer would hide for ever that an object
                # of another prefix was removed meanwhile.
                revision = snapshot.revisions.get(
                    prefix, snapshot.later_revision
                )
                self._table.apply_snapshot(entries, revision, (prefix,))
        self._proof.record_clock(snapshot.boot, requested_at, snapshot.clock)
        self._record_proofs(snapshot)
        self._relays[sender] = _Relay(
            snapshot.boot, snapshot.number, self._clock.now(), snapshot.age
        )
        self._on_loaded()
        if previous is None:
            _LOGGER.debug('following %s', sender)

    def compare_clocks(self) -> None:
        """Request the relays' boot clocks periodically; does not return.

        Two machines' clocks drift apart by seconds in a day. Without this a
        proof by the relay's clock would seem older or newer by that drift.
        """
        while True:
            self._clock.sleep(COMPARE_INTERVAL_SECONDS)
            for relay, state in list(self._relays.items()):
                if not state.reading and state.boot:
                    self._compare_clock(relay)

    def _compare_clock(self, relay: InstanceId) -> None:
        requested_at = self._boot_clock()
        try:
            reply = self._bus.request(
                relay, ReadFeedClock(), FeedClock, READ_TIMEOUT_SECONDS
            )
        except LinkError as error:
            _LOGGER.debug('could not read the clock of %s: %s', relay, error)
            return
        self._proof.record_clock(reply.boot, requested_at, reply.clock)

    def _on_change(self, sender: InstanceId, message: Message) -> None:
        change = expect(message, FeedChange)
        self.last_message_at = self._clock.now()
        relay = self._relays.get(sender)
        if relay is None or relay.boot != change.boot:
            return  # The next heartbeat triggers a read of the snapshot.
        if change.number == relay.number + 1:
            relay.number = change.number
        if find_prefix(change.entry.path) in self._prefixes:
            self._table.apply(change.entry)

    def _on_beat(self, sender: InstanceId, message: Message) -> None:
        beat = expect(message, FeedBeat)
        self.last_message_at = self._clock.now()
        relay = self._relays.get(sender)
        known = relay is not None and relay.boot == beat.boot
        if relay is not None and known and relay.number >= beat.number:
            relay.updated_at = self._clock.now()
            relay.age = beat.age
            self._record_proofs(beat)
            return
        if relay is None or not relay.reading:
            self.read_snapshot(sender)

    def _record_proofs(self, message: FeedBeat | FeedCopy) -> None:
        """Record that the data here are the relay's, and how old these are."""
        boot, clock = message.boot, message.clock
        self._proof.record_relayed(boot, message.proved_at, clock)
        if clock is not None:
            fresh_at = clock - message.age
            self._freshness.record_relayed(boot, fresh_at, clock)
