"""Follows the feed, or relays it, as the membership says."""

import functools
import logging
import secrets
from collections.abc import Callable, Sequence
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import LinkError, StoreError
from guavagate.feeds._follower import NEVER_SECONDS, Follower
from guavagate.feeds._messages import (
    FeedBeat,
    FeedChange,
    FeedClock,
    FeedCopy,
    FeedEntry,
    ReadFeed,
    ReadFeedClock,
)
from guavagate.feeds._proof import Proof
from guavagate.feeds._relays import (
    STALE_SECONDS,
    STANDBY_COUNT,
    is_due,
    rank_relays,
)
from guavagate.feeds._table import FeedTable, Put, Remove
from guavagate.helpers.mirror import Mirror
from guavagate.helpers.waits import wait_for
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.runtime import Members
from guavagate.util.boot_clock import read_boot_clock
from guavagate.util.seniority import BootOf, forget_boots

_LOGGER: Final = logging.getLogger(__name__)

# A relay's watches wait so long: each answer, also an empty one, proves that
# it has all, and what one relay spends on it is less than what each change
# would cost if all instances watched.
RELAY_WAIT_SECONDS: Final = 0.9
# After a change, others often follow, and come in one answer then. Of what may
# lapse, the registrations, many change while samplers load, and what is known a
# moment later does no harm: one that leaves has two seconds.
RELAY_PAUSE_SECONDS: Final = 0.1
LAPSING_PAUSE_SECONDS: Final = 0.4
# One that watches for itself alone does so until it hears a relay, which takes
# about as long; its first watch then never starts.
ALONE_PAUSE_SECONDS: Final = 1.2
BEAT_SECONDS: Final = 0.4
CHECK_SECONDS: Final = 0.1
PROVE_SECONDS: Final = 1.0
# A fleet that starts for the first time has no callers yet. Its instances ask
# the relays for what they have, and watch for themselves only if there is none
# by then: were all to watch until they are told, the start would be half of a
# day's calls at ninety instances. After a restart callers are waiting, and the
# store answers sooner than the members are known.
START_SECONDS: Final = 2.0
JOIN_SECONDS: Final = 0.1
# Relays have to be fresh for so long before their news is relied upon again.
TRUST_SECONDS: Final = 1.0


def _always() -> bool:
    return True


class Feed:
    """One instance's copy of what all follow.

    Parameters
    ----------
    prefixes
        What is followed; `lapsing` are those whose objects may lapse while
        the store is away.
    first_start
        Whether the whole fleet starts for the first time.
    proof_prefix
        The prefix of which it is known how new what is held is, by its
        watch.
    proof_path
        An object that is read besides, again and again, by whoever watches
        for itself; empty for none. A watch may hear nothing of a change for a
        while, when the store drops its history; a read never does.
    may_be_standby
        Whether this instance may relay for others without being the first in
        rank. One that works on jobs may not: cut off from the store and the
        first relay it would open a link to each instance and tell it all, at
        the very moment at which its results have to go through a peer, and
        these would be listed seconds late. The next stand-in steps in instead.

    Attributes
    ----------
    relaying
        Whether this instance tells the others.
    proof
        When what is held of the prefix `proof_prefix` was surely the newest.
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
        proof_prefix: str = '',
        proof_path: str = '',
        may_be_standby: Callable[[], bool] = _always,
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._proof_prefix = proof_prefix
        self._proof_path = proof_path
        self._boot_clock = boot_clock
        self.proof = Proof(boot_clock)
        self._store = store
        self._clock = clock
        self._bus = bus
        self._members = members
        self._me = me
        self._prefixes = prefixes
        self._lapsing = lapsing
        self._boot_of = boot_of
        self._may_be_standby = may_be_standby
        self._table = FeedTable()
        self._table.on_change = self._tell_change
        self._boot = secrets.randbits(62)
        self._number = 0
        self._started_at = clock.now()
        self._patience = START_SECONDS if first_start else 0
        # Asked for ten times a second; sorting hundreds of members each time
        # would be a third of what control may cost.
        self._ranked: list[InstanceId] | None = None
        members.subscribe(self._forget_rank)
        self._mirrors: list[Mirror] = []
        self.relaying = False
        self._fresh_since: float | None = None
        self._tasks: list[Task] = []
        self._loaded = Event()
        self._follower = Follower(
            clock, bus, self._table, self.proof, self._loaded.set, boot_clock
        )
        bus.register(ReadFeed, self._on_read)
        bus.register(ReadFeedClock, self._on_read_clock)

    def set_handlers(
        self, prefix: str, put: Put, remove: Remove | None
    ) -> None:
        """Set what is called, without blocking, for objects of a prefix."""
        self._table.set_handlers(prefix, put, remove)

    @property
    def loaded(self) -> bool:
        """Return whether all that is followed was read once."""
        return self._loaded.is_set()

    def wait_loaded(self, seconds: float) -> bool:
        """Wait until all was read once; return whether it was in time."""
        return wait_for(self._clock, self._loaded, seconds)

    def start(self) -> None:
        """Begin to follow."""
        self._started_at = self._clock.now()
        self._follower.heard_at = self._started_at
        self._tasks = [
            self._clock.spawn(self._join),
            self._clock.spawn(self._check),
            self._clock.spawn(self._beat),
        ]
        if self._proof_prefix:
            compare = self._follower.compare_clocks
            self._tasks.append(self._clock.spawn(compare))
        if self._proof_path:
            self._tasks.append(self._clock.spawn(self._prove))

    def _join(self) -> None:
        """Read all from a relay, if one is there."""
        while not (self.loaded or self._mirrors):
            first = self._rank()[: STANDBY_COUNT + 1]
            for relay in first:
                if relay != self._me and not self.loaded:
                    self._follower.read_copy(relay)
            self._clock.sleep(JOIN_SECONDS)

    def _check(self) -> None:
        """Watch directly, for all or for this instance alone, or follow."""
        while True:
            self._look()
            self._clock.sleep(CHECK_SECONDS)

    def _look(self) -> None:
        ranked = self._rank()
        rank = ranked.index(self._me) if self._me in ranked else len(ranked)
        if rank == 0 and len(ranked) > 1:
            if not self.relaying:
                self._watch_directly(relaying=True)
        elif self._is_followed(ranked[:rank]):
            self._stop_watching()
        elif not self._mirrors and self._has_to_ask(rank):
            able = rank <= STANDBY_COUNT and self.loaded
            self._watch_directly(relaying=able and self._may_be_standby())

    def _note_mirror_loaded(self) -> None:
        """Be loaded as soon as the last mirror is.

        Callers are refused until then, and the balancer asks for readiness
        once a second: found by the next check, a tenth of a second later, an
        instance misses it now and then.
        """
        if all(each.loaded for each in self._mirrors):
            self._loaded.set()

    def _rank(self) -> list[InstanceId]:
        if self._ranked is None:
            self._ranked = rank_relays(self._members.alive(), self._boot_of)
        return self._ranked

    def _forget_rank(self) -> None:
        self._ranked = None

    def _has_to_ask(self, rank: int) -> bool:
        """Return whether the relays do not help, or have not yet."""
        now = self._clock.now()
        if not self.loaded:
            return now - self._started_at >= self._patience
        age = self._follower.read_age(self._follower.list_relays())
        return is_due(rank, now - self._follower.heard_at, age)

    def _is_followed(self, seniors: Sequence[InstanceId]) -> bool:
        """Return whether the news of some relay before us can be relied upon.

        Two stand-ins that relied on each other would stop at the same moment,
        and all news would be old until they step in again.
        """
        now = self._clock.now()
        if self._follower.read_age(seniors) >= STALE_SECONDS:
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
        for prefix in self._prefixes:
            lapses = prefix in self._lapsing
            proves = prefix == self._proof_prefix
            pause = LAPSING_PAUSE_SECONDS if lapses else RELAY_PAUSE_SECONDS
            mirror = Mirror(
                self._store,
                self._clock,
                prefix,
                self._take_stored,
                functools.partial(self._take_gone, prefix),
                lapses=lapses,
                wait=wait,
                pause=pause if relaying else ALONE_PAUSE_SECONDS,
                settles=not relaying,
                held=self._table.versions(prefix),
                loaded=self._note_mirror_loaded,
                proved=self.proof.record_own if proves else None,
                watch_proves=not self._proof_path,
                boot_clock=self._boot_clock,
            )
            self._mirrors.append(mirror)
        for mirror in self._mirrors:
            mirror.start()
        write(_LOGGER, events.FEED_DIRECT, relaying=relaying)

    def _prove(self) -> None:
        """Read what must be known to be the newest, while watching."""
        while True:
            if self._mirrors:
                self._read_proof()
            self._clock.sleep(PROVE_SECONDS)

    def _read_proof(self) -> None:
        asked_at = self._boot_clock()
        try:
            stored = self._store.get(self._proof_path)
        except StoreError as error:
            _LOGGER.debug('no proof: %s', error)
            return
        if stored is not None:
            self._take_stored(stored.path, stored)
        self.proof.record_own(asked_at)

    def _stop_watching(self) -> None:
        if not self._mirrors:
            return
        for mirror in self._mirrors:
            mirror.stop()
        self._mirrors = []
        self.relaying = False
        relays = self._follower.list_relays()
        write(_LOGGER, events.FEED_FOLLOWED, relays=relays)

    def _take_gone(self, prefix: str, name: str) -> None:
        self._table.remove(f'{prefix}/{name}')

    def _take_stored(self, name: str, stored: StoredObject) -> None:
        self._table.apply(
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
            if self.relaying:
                beat = FeedBeat(
                    boot=self._boot,
                    number=self._number,
                    age=self._age(),
                    proved_at=self.proof.at,
                    clock=self._boot_clock(),
                )
                self._send_all(beat)

    def _send_all(self, message: Message) -> None:
        for peer in self._members.alive():
            if peer.id != self._me:
                self._bus.send(peer.id, message)

    def _age(self) -> float:
        if not all(each.loaded for each in self._mirrors):
            return NEVER_SECONDS
        heard = [each.confirmed_at for each in self._mirrors]
        return self._clock.now() - min(heard, default=0)

    def _on_read(self, _: InstanceId, message: Message) -> FeedCopy:
        packed = expect(message, ReadFeed).packed
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
            entries=[] if packed else self._table.entries(),
            packed=self._table.pack_entries() if packed else b'',
            proved_at=self.proof.at,
            clock=self._boot_clock(),
        )

    def _on_read_clock(self, _: InstanceId, message: Message) -> FeedClock:
        expect(message, ReadFeedClock)
        return FeedClock(boot=self._boot, clock=self._boot_clock())
