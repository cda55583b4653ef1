"""Member discovery through the store, in which each process registers once."""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import StoreConflictError, StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.membership import Membership
from guavagate.models import Revision
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.settings import InstanceSettings, PeerSettings

_LOGGER: Final = logging.getLogger(__name__)

MEMBERS: Final = 'members'

RETRY_INTERVAL_SECONDS: Final = 0.3
# Delay before the first list call when the fleet starts for the first time. By
# then all instances have registered, so one call returns all of them.
FIRST_LIST_DELAY_SECONDS: Final = 0.7
# Later members announce themselves. Only one member per availability zone lists
# again, so that parts of a fleet that never met or were separated for long find
# each other; with all members, 330 would list where three are enough.
RELIST_INTERVAL_SECONDS: Final = 30.0
# At the fleet's first start each instance would consider itself alone until all
# have registered.
FIRST_START_WAIT_SECONDS: Final = 2.0
POLL_INTERVAL_SECONDS: Final = 0.05
# Some registered instances no longer exist. The others become known within this
# time of each other, so discovery is complete once nothing changes for as long.
STABLE_SECONDS: Final = 0.5
DISCOVERY_TIMEOUT_SECONDS: Final = 1.5
# Members are probed as soon as they are listed, and answer in milliseconds.
REPLY_WAIT_SECONDS: Final = 0.3
_NEW: Final = Revision(0)


def _is_never_enough() -> bool:
    return False


class MemberRegistry:
    """Registers this process and passes registered ones to the membership.

    Attributes
    ----------
    first_start
        Whether the whole fleet starts for the first time, as far as known.
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
        self._registered_others = 0
        self._alive_count = 0
        self._changed_at = clock.now()
        self._unreadable = UnreadableObjects()

    def start(self) -> None:
        """Start the task that registers this process and lists others."""
        self._clock.spawn(self._run)

    def wait_for_discovery(
        self, is_enough: Callable[[], bool] = _is_never_enough
    ) -> None:
        """Block until this process has discovered the other members.

        Parameters
        ----------
        is_enough
            Returns whether the members known so far are enough to stop
            waiting; called once running members had the time to answer.
        """
        if self.first_start:
            self._clock.sleep(FIRST_START_WAIT_SECONDS)
        while not self.is_discovery_complete():
            if self._had_time_for_replies() and is_enough():
                return
            self._clock.sleep(POLL_INTERVAL_SECONDS)

    def _had_time_for_replies(self) -> bool:
        """Return whether running members had time to answer, and one did."""
        if self._listed_at is None:
            return False
        waited = self._clock.now() - self._listed_at > REPLY_WAIT_SECONDS
        return waited and len(self._members.alive()) > 1

    def is_discovery_complete(self) -> bool:
        """Return whether this process has discovered the other members.

        Without the wait, a new process would consider itself the only member.
        After an outage of the whole fleet no other may answer, so the wait is
        bounded.
        """
        if self._listed_at is None:
            return False
        now = self._clock.now()
        alive = len(self._members.alive())
        if alive != self._alive_count:
            self._alive_count, self._changed_at = alive, now
        if now - self._listed_at > DISCOVERY_TIMEOUT_SECONDS:
            return True
        stable = now - self._changed_at > STABLE_SECONDS
        return alive > self._registered_others or (alive > 1 and stable)

    def _run(self) -> None:
        self._retry_until_done(self._register)
        if self.first_start:
            self._clock.sleep(FIRST_LIST_DELAY_SECONDS)
        self._retry_until_done(self._list)
        while True:
            self._clock.sleep(RELIST_INTERVAL_SECONDS)
            if self._is_first_of_zone():
                self._retry_until_done(self._list)

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

    def _retry_until_done(self, call: Callable[[], None]) -> None:
        while True:
            try:
                call()
            except StoreError as error:
                _LOGGER.debug('Request to the store failed: %s', error)
                self._clock.sleep(RETRY_INTERVAL_SECONDS)
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
            return decode_json(stored.value, PeerSettings)
        except msgspec.MsgspecError as error:
            self._unreadable.report(stored.path, str(error))
            return None

    def _list(self) -> None:
        stored, _ = self._store.list_under(MEMBERS)
        peers = list(filter(None, map(self._decode, stored)))
        self._members.update_candidates(peers)
        self._registered_others = len(peers) - 1
        if self._listed_at is None:
            self._listed_at = self._clock.now()
