"""Follows the relays, or watches the store and relays it, by rank."""

import functools
import logging
from collections.abc import Callable, Sequence
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.feeds._follower import Follower
from guavagate.feeds._messages import FeedEntry
from guavagate.feeds._proof import Proof
from guavagate.feeds._relay import Relay
from guavagate.feeds._relays import (
    STALE_SECONDS,
    STANDBY_COUNT,
    must_read_store,
    rank_relays,
)
from guavagate.feeds._table import FeedTable, Put, Remove
from guavagate.feeds._timing import choose_timing
from guavagate.helpers.mirror import Mirror
from guavagate.helpers.waits import wait_for
from guavagate.links import Bus
from guavagate.models import InstanceId
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.runtime import Members
from guavagate.util.boot_clock import read_boot_clock
from guavagate.util.uptime import BootOf, ignore_boots

_LOGGER: Final = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS: Final = 0.1
PROOF_INTERVAL_SECONDS: Final = 1.0
# A fleet that starts for the first time has no callers yet. Its instances
# request a snapshot from the relays and watch the store themselves only if
# there is still no relay after this time. If all watched until a relay sent
# data, the start of ninety instances would use half of a day's calls. After a
# restart, callers are waiting and the store answers before the members are
# known, so instances do not wait.
START_WAIT_SECONDS: Final = 2.0
JOIN_INTERVAL_SECONDS: Final = 0.1
# How long a relay's data has to be fresh before an instance that watches the
# store stops watching and follows that relay.
FRESH_BEFORE_FOLLOW_SECONDS: Final = 1.0


def _always() -> bool:
    return True


class Feed:
    """One instance's replica of the followed objects.

    Parameters
    ----------
    prefixes
        The prefixes to follow; `lapsing` are those whose objects may lapse
        while the store is unavailable, `later` those that the first release
        does not follow, and `urgent` those of the later ones whose changes
        must arrive within seconds, also if the store drops its history.
    first_start
        Whether the whole fleet starts for the first time.
    proof_prefix
        The prefix whose age `proof` tracks, by its watch.
    proof_path
        An object that an instance reads periodically while it watches the
        store; empty for none. When the store drops its history, a watch may
        miss a change for a while; a read does not.
    may_be_standby
        Whether this instance may relay for others without being the first in
        rank. An instance that works on jobs may not: when it is cut off from
        the store and the first relay, it would open a link to each instance
        and send it all objects just when its own results have to go through a
        peer, and these would be committed seconds late. The next standby takes
        over instead.

    Attributes
    ----------
    proof
        When the objects under `proof_prefix` were last known to be the newest.
    freshness
        When those under the first and urgent prefixes were.
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
        boot_of: BootOf = ignore_boots,
        *,
        later: tuple[str, ...] = (),
        urgent: tuple[str, ...] = (),
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
        self.freshness = Proof(boot_clock, self.proof)
        self._store = store
        self._clock = clock
        self._members = members
        self._me = me
        self._prefixes = prefixes
        self._lapsing = lapsing
        self._boot_of = boot_of
        self._may_be_standby = may_be_standby
        self._table = FeedTable()
        self._started_at = clock.now()
        self._start_wait_seconds = START_WAIT_SECONDS if first_start else 0
        # Needed ten times a second. Sorting hundreds of members each time
        # would use a third of the processor time allowed for control.
        self._relay_order: list[InstanceId] | None = None
        members.subscribe(self._clear_relay_order)
        self._mirrors: dict[str, Mirror] = {}
        self._later = later
        self._urgent = urgent
        self._fresh_since: float | None = None
        self._tasks: list[Task] = []
        self._loaded = Event()
        self._on_loaded: list[Callable[[], None]] = []
        self._follower = Follower(
            clock,
            bus,
            self._table,
            self.proof,
            self.freshness,
            prefixes,
            later,
            self._set_loaded,
            boot_clock,
        )
        self._relay = Relay(
            clock,
            bus,
            members,
            me,
            self._table,
            self.proof,
            prefixes,
            later,
            urgent,
            lambda: self._mirrors,
            boot_clock,
        )

    def register_handlers(
        self, prefix: str, put: Put, remove: Remove | None
    ) -> None:
        """Register handlers, which must not block, for a prefix."""
        self._table.register_handlers(prefix, put, remove)

    def subscribe_loaded(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not block, before `loaded` is set."""
        self._on_loaded.append(callback)

    def _set_loaded(self) -> None:
        callbacks, self._on_loaded = self._on_loaded, []
        for callback in callbacks:
            callback()
        self._loaded.set()

    @property
    def relaying(self) -> bool:
        """Return whether this instance sends its objects to the others."""
        return self._relay.active

    @property
    def loaded(self) -> bool:
        """Return whether all followed objects were read once."""
        return self._loaded.is_set()

    def wait_loaded(self, seconds: float) -> bool:
        """Wait until `loaded`; return whether it was in time."""
        return wait_for(self._clock, self._loaded, seconds)

    def start(self) -> None:
        """Start following."""
        self._started_at = self._clock.now()
        self._follower.last_message_at = self._started_at
        self._tasks = [
            self._clock.spawn(self._join),
            self._clock.spawn(self._check),
            self._clock.spawn(self._relay.send_heartbeats),
        ]
        if self._proof_prefix:
            compare = self._follower.compare_clocks
            self._tasks.append(self._clock.spawn(compare))
        if self._proof_path:
            self._tasks.append(self._clock.spawn(self._prove_periodically))

    def _join(self) -> None:
        """Try the relays for a snapshot until loaded or watching the store."""
        while not (self.loaded or self._mirrors):
            first = self.order_relays()[: STANDBY_COUNT + 1]
            for relay in first:
                if relay != self._me and not self.loaded:
                    self._follower.read_snapshot(relay)
            self._clock.sleep(JOIN_INTERVAL_SECONDS)

    def _check(self) -> None:
        """Choose periodically between following and watching the store."""
        while True:
            self._choose_source()
            self._clock.sleep(CHECK_INTERVAL_SECONDS)

    def _choose_source(self) -> None:
        ranked = self.order_relays()
        rank = ranked.index(self._me) if self._me in ranked else len(ranked)
        if rank == 0 and len(ranked) > 1:
            if not self.relaying:
                self._watch_directly(relaying=True)
        elif self._has_fresh_relay(ranked[:rank]):
            self._stop_watching()
        elif not self._mirrors and self._needs_direct_watch(rank):
            able = rank <= STANDBY_COUNT and self.loaded
            self._watch_directly(relaying=able and self._may_be_standby())

    def _update_loaded(self) -> None:
        """Set `loaded` as soon as the last mirror is loaded.

        Callers are refused until then, and the load balancer probes readiness
        once a second. If the next check, a tenth of a second later, set it,
        an instance would sometimes miss that probe.
        """
        if all(each.loaded for each in self._mirrors.values()):
            self._set_loaded()
            if self.relaying:
                self._relay.send_heartbeat()

    def order_relays(self) -> list[InstanceId]:
        """Return all instances in the order in which they become relays."""
        if self._relay_order is None:
            self._relay_order = rank_relays(
                self._members.alive(), self._boot_of
            )
        return self._relay_order

    def _clear_relay_order(self) -> None:
        self._relay_order = None

    def _needs_direct_watch(self, rank: int) -> bool:
        """Return whether no relay provides current data."""
        now = self._clock.now()
        if not self.loaded:
            return now - self._started_at >= self._start_wait_seconds
        age = self._follower.compute_age(self._follower.list_relays())
        return must_read_store(rank, now - self._follower.last_message_at, age)

    def _has_fresh_relay(self, higher_ranked: Sequence[InstanceId]) -> bool:
        """Return whether a relay of higher rank provides fresh data.

        Two standbys that relied on each other would stop relaying at the same
        moment, and all data would be stale until they take over again.
        """
        now = self._clock.now()
        if self._follower.compute_age(higher_ranked) >= STALE_SECONDS:
            self._fresh_since = None
            return False
        if self._fresh_since is None:
            self._fresh_since = now
        # A follower goes on following; an instance that watches waits first,
        # unless it has just started: it has only listed then, and its watches,
        # which would be as many calls again, begin soon.
        return (
            not self._mirrors
            or now - self._started_at < START_WAIT_SECONDS
            or now - self._fresh_since > FRESH_BEFORE_FOLLOW_SECONDS
        )

    def _watch_directly(self, *, relaying: bool) -> None:
        self._stop_watching()
        self._relay.active = relaying
        for prefix in self._prefixes:
            lapses = prefix in self._lapsing
            proves = prefix == self._proof_prefix
            timing = choose_timing(
                relaying=relaying,
                lapses=lapses,
                later=prefix in self._later,
                urgent=prefix in self._urgent,
            )
            mirror = Mirror(
                self._store,
                self._clock,
                prefix,
                self._apply_stored,
                functools.partial(self._apply_removal, prefix),
                expires_in_outage=lapses,
                wait=timing.wait,
                pause=timing.pause,
                pause_after_list=not relaying,
                known_revisions=self._table.versions(prefix),
                on_loaded=self._update_loaded,
                on_proved=self._choose_proof(prefix),
                watch_proves=not (proves and self._proof_path),
                boot_clock=self._boot_clock,
            )
            self._mirrors[prefix] = mirror
        for mirror in self._mirrors.values():
            mirror.start()
        write(_LOGGER, events.FEED_FROM_STORE, relaying=relaying)

    def _choose_proof(self, prefix: str) -> Callable[[float], None] | None:
        if prefix == self._proof_prefix:
            return self.proof.record_own
        return self.freshness.record_own if prefix in self._urgent else None

    def _prove_periodically(self) -> None:
        """Read the proof object periodically while watching the store."""
        while True:
            if self._mirrors:
                self._read_proof()
            self._clock.sleep(PROOF_INTERVAL_SECONDS)

    def _read_proof(self) -> None:
        requested_at = self._boot_clock()
        try:
            stored = self._store.get(self._proof_path)
        except StoreError as error:
            _LOGGER.debug('could not read the proof object: %s', error)
            return
        if stored is not None:
            self._apply_stored(stored.path, stored)
        self.proof.record_own(requested_at)

    def _stop_watching(self) -> None:
        if not self._mirrors:
            return
        for mirror in self._mirrors.values():
            mirror.stop()
        self._mirrors = {}
        self._relay.active = False
        relays = self._follower.list_relays()
        write(_LOGGER, events.FEED_FROM_RELAYS, relays=relays)

    def _apply_removal(self, prefix: str, name: str) -> None:
        mirror = self._mirrors.get(prefix)
        known = None if mirror is None else mirror.removed_revision
        self._table.remove(f'{prefix}/{name}', known)

    def _apply_stored(self, name: str, stored: StoredObject) -> None:
        self._table.apply(
            FeedEntry(
                path=stored.path, version=stored.version, value=stored.value
            )
        )
