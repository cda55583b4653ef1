"""Follows the feed, or relays it, as the membership says."""

import functools
import logging
import secrets
from typing import Final

import msgspec

from guavagate.clock import Clock, Task
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import LinkError
from guavagate.feeds._messages import (
    FeedBeat,
    FeedChange,
    FeedCopy,
    FeedEntry,
    ReadFeed,
)
from guavagate.feeds._relays import choose_relays
from guavagate.feeds._table import FeedTable, Put, Remove
from guavagate.helpers.mirror import Mirror
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.runtime import Members
from guavagate.util.seniority import BootOf, forget_boots

_LOGGER: Final = logging.getLogger(__name__)

# A relay's watches wait so long: each answer, also an empty one, proves that
# it has all, and what two relays spend on it is less than what each change
# would cost if all instances watched.
RELAY_WAIT_SECONDS: Final = 0.9
# After a change, others often follow: registrations of samplers that load.
RELAY_PAUSE_SECONDS: Final = 0.1
# All watch for themselves as the fleet starts and the upstreams register; what
# comes within this time comes in one answer.
ALONE_PAUSE_SECONDS: Final = 0.6
BEAT_SECONDS: Final = 0.4
# The store's acknowledgement has to be in force here within two seconds. A
# relay that is cut off from the store says how old its news is; beyond this
# the store is asked directly, which takes some milliseconds.
STALE_SECONDS: Final = 1.5
CHECK_SECONDS: Final = 0.1
READ_SECONDS: Final = 0.6
# A fleet that starts for the first time has no callers yet. Its instances ask
# the relays for what they have, and watch for themselves only if there is none
# by then: were all to watch until they are told, the start would be half of a
# day's calls at ninety instances. After a restart callers are waiting, and the
# store answers sooner than the members are known.
START_SECONDS: Final = 2.0
JOIN_SECONDS: Final = 0.1
# Relays have to be fresh for so long before their news is relied upon again.
TRUST_SECONDS: Final = 1.0


class _Relay(msgspec.Struct):
    """What was last heard from a relay."""

    boot: int
    number: int
    heard_at: float
    age: float
    reading: bool = False


class Feed:
    """One instance's copy of what all follow.

    Parameters
    ----------
    prefixes
        What is followed; `lapsing` are those whose objects may lapse while
        the store is away.
    first_start
        Whether the whole fleet starts for the first time.

    Attributes
    ----------
    relaying
        Whether this instance tells the others.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        bus: Bus,
        members: Members,
        me: InstanceId,
        prefixes: tuple[str, ...],
        lapsing: tuple[str, ...] = (),
        boot_of: BootOf = forget_boots,
        *,
        first_start: bool = True,
    ) -> None:
        self._store = store
        self._clock = clock
        self._bus = bus
        self._members = members
        self._me = me
        self._prefixes = prefixes
        self._lapsing = lapsing
        self._boot_of = boot_of
        self._table = FeedTable()
        self._table.changed = self._tell_change
        self._boot = secrets.randbits(62)
        self._number = 0
        self._started_at = clock.now()
        self._patience = START_SECONDS if first_start else 0
        self._relays: dict[InstanceId, _Relay] = {}
        self._mirrors: list[Mirror] = []
        self.relaying = False
        self._fresh_since: float | None = None
        self._tasks: list[Task] = []
        self.loaded = False
        bus.register(FeedChange, self._on_change)
        bus.register(FeedBeat, self._on_beat)
        bus.register(ReadFeed, self._on_read)

    def handle(self, prefix: str, put: Put, remove: Remove | None) -> None:
        """Set what is called, without blocking, for objects of a prefix."""
        self._table.handle(prefix, put, remove)

    def start(self) -> None:
        """Begin to follow."""
        self._started_at = self._clock.now()
        self._tasks = [
            self._clock.spawn(self._join),
            self._clock.spawn(self._check),
            self._clock.spawn(self._beat),
        ]

    def _join(self) -> None:
        """Read all from a relay, if one is there."""
        while not (self.loaded or self._mirrors):
            relays = choose_relays(self._members.alive(), self._boot_of)
            for relay in relays:
                if relay != self._me and not self.loaded:
                    self._read_copy(relay)
            self._clock.sleep(JOIN_SECONDS)

    def _check(self) -> None:
        """Watch directly, for all or for this instance alone, or follow."""
        while True:
            self._look()
            self._clock.sleep(CHECK_SECONDS)

    def _look(self) -> None:
        relays = choose_relays(self._members.alive(), self._boot_of)
        if self._me in relays and self._knows_others():
            if not self.relaying:
                self._watch_directly(relaying=True)
        elif self._is_followed():
            self._stop_watching()
        elif self.relaying or (not self._mirrors and self._has_joined()):
            self._watch_directly(relaying=False)
        if self._mirrors and all(each.loaded for each in self._mirrors):
            self.loaded = True

    def _has_joined(self) -> bool:
        """Return whether there was time to be told by a relay."""
        waited = self._clock.now() - self._started_at
        return self.loaded or waited >= self._patience

    def _knows_others(self) -> bool:
        return len(self._members.alive()) > 1

    def _is_followed(self) -> bool:
        """Return whether some relay's news can be relied upon."""
        now = self._clock.now()
        fresh = any(
            now - relay.heard_at + relay.age < STALE_SECONDS
            and not relay.reading
            for relay in self._relays.values()
        )
        if not fresh:
            self._fresh_since = None
            return False
        if self._fresh_since is None:
            self._fresh_since = now
        # One that follows already goes on; one that watches waits a little.
        return not self._mirrors or now - self._fresh_since > TRUST_SECONDS

    def _watch_directly(self, *, relaying: bool) -> None:
        self._stop_watching()
        self.relaying = relaying
        wait = RELAY_WAIT_SECONDS if relaying else None
        pause = RELAY_PAUSE_SECONDS if relaying else ALONE_PAUSE_SECONDS
        for prefix in self._prefixes:
            mirror = Mirror(
                self._store,
                self._clock,
                prefix,
                self._take_stored,
                functools.partial(self._take_gone, prefix),
                lapses=prefix in self._lapsing,
                wait=wait,
                pause=pause,
                held=self._table.versions(prefix),
            )
            mirror.start()
            self._mirrors.append(mirror)
        write(_LOGGER, events.FEED_DIRECT, relaying=relaying)

    def _stop_watching(self) -> None:
        if not self._mirrors:
            return
        for mirror in self._mirrors:
            mirror.stop()
        self._mirrors = []
        self.relaying = False
        write(_LOGGER, events.FEED_FOLLOWED, relays=sorted(self._relays))

    def _take_gone(self, prefix: str, name: str) -> None:
        self._table.remove(f'{prefix}/{name}')

    def _take_stored(self, name: str, stored: StoredObject) -> None:
        self._table.take(
            FeedEntry(
                path=stored.path, version=stored.version, value=stored.value
            )
        )

    # What a relay does.

    def _tell_change(self, entry: FeedEntry) -> None:
        if not self.relaying:
            return
        self._number += 1
        message = FeedChange(boot=self._boot, number=self._number, entry=entry)
        self._send_all(message)

    def _beat(self) -> None:
        while True:
            self._clock.sleep(BEAT_SECONDS)
            if self.relaying and all(each.loaded for each in self._mirrors):
                beat = FeedBeat(
                    boot=self._boot, number=self._number, age=self._age()
                )
                self._send_all(beat)

    def _send_all(self, message: Message) -> None:
        for peer in self._members.alive():
            if peer.id != self._me:
                self._bus.send(peer.id, message)

    def _age(self) -> float:
        heard = [each.confirmed_at for each in self._mirrors]
        return self._clock.now() - min(heard, default=0)

    def _on_read(self, _: InstanceId, message: Message) -> FeedCopy:
        expect(message, ReadFeed)
        loaded = all(each.loaded for each in self._mirrors)
        if not self.relaying or not loaded:
            raise LinkError(
                f'{self._me} does not relay', 'ask another instance'
            )
        return FeedCopy(
            boot=self._boot,
            number=self._number,
            age=self._age(),
            revision=min(each.revision for each in self._mirrors),
            entries=self._table.entries(),
        )

    # What a follower does.

    def _on_change(self, sender: InstanceId, message: Message) -> None:
        change = expect(message, FeedChange)
        relay = self._relays.get(sender)
        if relay is None or relay.boot != change.boot:
            return  # The next beat has the whole copy read.
        if change.number == relay.number + 1:
            relay.number = change.number
        self._table.take(change.entry)

    def _on_beat(self, sender: InstanceId, message: Message) -> None:
        beat = expect(message, FeedBeat)
        relay = self._relays.get(sender)
        known = relay is not None and relay.boot == beat.boot
        if relay is not None and known and relay.number >= beat.number:
            relay.heard_at = self._clock.now()
            relay.age = beat.age
            return
        if relay is None or not relay.reading:
            self._read_copy(sender)

    def _read_copy(self, sender: InstanceId) -> None:
        """Read all from a relay that is new, or whose change was missed."""
        before = self._relays.get(sender)
        never = self._clock.now() - STALE_SECONDS
        self._relays[sender] = _Relay(0, 0, never, 0, reading=True)
        try:
            copy = self._bus.request(sender, ReadFeed(), FeedCopy, READ_SECONDS)
        except LinkError as error:
            _LOGGER.debug('%s was not read: %s', sender, error)
            self._relays.pop(sender)
            return
        self._table.take_all(copy.entries, copy.revision)
        self._relays[sender] = _Relay(
            copy.boot, copy.number, self._clock.now(), copy.age
        )
        self.loaded = True
        if before is None:
            _LOGGER.debug('following %s', sender)
