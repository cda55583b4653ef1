"""Where members find each other: each registers once in the store."""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import StoreConflictError, StoreError
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.membership import Membership
from guavagate.models import Revision
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.settings import InstanceSettings, PeerSettings

_LOGGER: Final = logging.getLogger(__name__)

MEMBERS: Final = 'members'

RETRY_SECONDS: Final = 0.3
# Instances that start together for the first time have registered by then, and
# one list shows each all others.
TOGETHER_SECONDS: Final = 0.7
# Members hear of later ones from those. One of each availability zone lists
# again at this pace, so that two parts that never met, or lost each other for
# long, find together; were it all, 330 would list for the sake of three.
AGAIN_SECONDS: Final = 30.0
# All start together for the first time: until all have registered, each would
# think itself alone.
FIRST_SECONDS: Final = 2.0
SETTLE_STEP: Final = 0.05
# Some that are registered are gone for good; the others are heard of within
# this time of each other.
HEARD_SECONDS: Final = 0.5
ALONE_SECONDS: Final = 1.5
# Members are asked as soon as they are listed, and answer in milliseconds.
ANSWER_SECONDS: Final = 0.3
_NEW: Final = Revision(0)


def _is_never_enough() -> bool:
    return False


class MemberRegistry:
    """Registers this process and hands the registered ones to membership.

    Attributes
    ----------
    first_start
        Whether all start together for the first time, as far as is known.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        members: Membership,
        me: InstanceSettings,
        first_start: bool,
    ) -> None:
        self._store = store
        self._clock = clock
        self._members = members
        self._me = PeerSettings(
            id=me.id,
            availability_zone=me.availability_zone,
            region=me.region,
            peer_address=me.peer_address,
            http_address=me.http_address,
        )
        self.first_start = first_start
        self._listed_at: float | None = None
        self._others = 0
        self._alive = 0
        self._changed_at = clock.now()
        self._unreadable = UnreadableObjects()

    def start(self) -> None:
        """Register and list in a task."""
        self._clock.spawn(self._run)

    def wait_for_discovery(
        self, is_enough: Callable[[], bool] = _is_never_enough
    ) -> None:
        """Block until this process has heard who else is there.

        Parameters
        ----------
        is_enough
            Whether those that are heard of tell all that is to be known; asked
            once those that run had the time to answer.
        """
        if self.first_start:
            self._clock.sleep(FIRST_SECONDS)
        while not self.is_discovery_complete():
            if self._has_asked() and is_enough():
                return
            self._clock.sleep(SETTLE_STEP)

    def _has_asked(self) -> bool:
        """Return whether members that run had the time to answer."""
        if self._listed_at is None:
            return False
        asked = self._clock.now() - self._listed_at > ANSWER_SECONDS
        return asked and len(self._members.alive()) > 1

    def is_discovery_complete(self) -> bool:
        """Return whether this process has heard who else is there.

        One that starts alone believes itself to be everybody; after an
        outage of all, no other may answer, so the wait is bounded.
        """
        if self._listed_at is None:
            return False
        now = self._clock.now()
        alive = len(self._members.alive())
        if alive != self._alive:
            self._alive, self._changed_at = alive, now
        if now - self._listed_at > ALONE_SECONDS:
            return True
        quiet = now - self._changed_at > HEARD_SECONDS
        return alive > self._others or (alive > 1 and quiet)

    def _run(self) -> None:
        self._persist(self._register)
        if self.first_start:
            self._clock.sleep(TOGETHER_SECONDS)
        self._persist(self._list)
        while True:
            self._clock.sleep(AGAIN_SECONDS)
            if self._is_first_of_zone():
                self._persist(self._list)

    def _is_first_of_zone(self) -> bool:
        zone = self._me.availability_zone
        return self._me.id == min(
            (
                peer.id
                for peer in self._members.alive()
                if peer.availability_zone == zone
            ),
            default=self._me.id,
        )

    def _persist(self, call: Callable[[], None]) -> None:
        while True:
            try:
                call()
            except StoreError as error:
                _LOGGER.debug('the store was not reached: %s', error)
                self._clock.sleep(RETRY_SECONDS)
            else:
                return

    def _register(self) -> None:
        path = f'{MEMBERS}/{self._me.id}'
        value = msgspec.json.encode(self._me)
        expected = _NEW if self.first_start else None
        try:
            self._store.put(path, value, expected)
        except StoreConflictError:
            self.first_start = False
            self._store.put(path, value, None)

    def _decode(self, stored: StoredObject) -> PeerSettings | None:
        try:
            return msgspec.json.decode(stored.value, type=PeerSettings)
        except msgspec.MsgspecError as error:
            self._unreadable.note(stored.path, str(error))
            return None

    def _list(self) -> None:
        stored, _ = self._store.list_under(MEMBERS)
        peers = list(filter(None, map(self._decode, stored)))
        self._members.update_candidates(peers)
        self._others = len(peers) - 1
        if self._listed_at is None:
            self._listed_at = self._clock.now()
