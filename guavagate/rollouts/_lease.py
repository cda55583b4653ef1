"""The right to act for all: one holder of each lease, by the store.

The owner of a service orders its samplers, and how many of them there are,
under one lease; whoever reports usage holds another one.

Samplers may not check fencing numbers, so two holders must never order
within one lease time of each other. A holder renews with a conditional write
right before it orders and then may order for `VALID_SECONDS`. A successor
takes the object over with the next generation, which makes every later
renewal of the former holder fail, and then waits out what that one may still
send. Time is counted by the boot clock: it goes on while a process or machine
is suspended, as the lease does for everyone else.
"""

import logging
import secrets
from collections.abc import Callable
from typing import Final

import msgspec
from gevent.lock import RLock

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreConflictError, StoreUnavailableError
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.models import InstanceId, Revision, ServiceId
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.rollouts._renewals import LeaseRenewed, Renewals
from guavagate.util.boot_clock import read_boot_clock

_LOGGER: Final = logging.getLogger(__name__)
_UNREADABLE: Final = UnreadableObjects()

# How long orders may be sent after a renewal was sent. Long enough for a
# batch of orders at a slow store, short as a successor has to wait it out.
VALID_SECONDS: Final = 0.5
# An order that is on its way when the renewal lapses arrives by then.
TRAVEL_SECONDS: Final = 0.3
LEASES: Final = 'leases'
_NEW: Final = Revision(0)


class LeaseRecord(msgspec.Struct, frozen=True):
    """What the store holds of a lease.

    `ordered` is written before the first order of a generation: without it,
    its holder has certainly ordered nothing.
    """

    holder: InstanceId
    generation: int
    nonce: str
    ordered: bool = False


class LeaseHeldError(Exception):
    """Another instance holds the lease."""


class Lease:
    """One instance's side of a lease; several of its tasks may share it.

    Parameters
    ----------
    path
        Of the lease's object in the store.
    lease_seconds
        The time within which no two holders may order.
    renewals
        What former holders told, and who is told of this one's renewals.
    list_successors
        Returns who may come after this holder.
    """

    def __init__(
        self,
        store: ObjectStore,
        path: str,
        me: InstanceId,
        lease_seconds: float,
        renewals: Renewals,
        list_successors: Callable[[], list[InstanceId]],
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._store = store
        self._path = path
        self._lock = RLock()
        self._renewed_at = float('-inf')
        self._me = me
        self._lease_seconds = lease_seconds
        self._now = boot_clock
        self._renewals = renewals
        self._list_successors = list_successors
        self._nonce = secrets.token_hex(8)
        self._revision: Revision | None = None
        self._valid_until = float(0)
        self._first_order_at = float(0)
        self.generation = 0

    @property
    def held(self) -> bool:
        """Return whether the lease was taken and not lost since."""
        return self._revision is not None

    def may_order(self) -> bool:
        """Return whether an order may be sent at this moment."""
        now = self._now()
        return self.held and self._first_order_at <= now < self._valid_until

    def wait_seconds(self) -> float:
        """Return how long a fresh holder still has to wait."""
        return max(self._first_order_at - self._now(), 0)

    def acquire_or_renew(self) -> None:
        """Hold the lease, renewed just now.

        Raises
        ------
        LeaseHeldError
            Another instance took it since; take it again only when the
            membership says that this one coordinates.
        StoreUnavailableError
            The store gives no answer; no order may be sent.
        """
        asked = self._now()
        with self._lock:
            if self.may_order() and self._renewed_at > asked:
                return  # Another task has renewed it meanwhile.
            if self._revision is None:
                self._acquire()
            elif self._now() >= self._first_order_at:
                self._renew(self._revision)

    def _renew(self, revision: Revision) -> None:
        asked = self._now()
        # The content differs at each renewal: a write that changes nothing
        # would keep its revision, and a later holder's would not be noticed.
        self._nonce = secrets.token_hex(8)
        record = LeaseRecord(
            self._me, self.generation, self._nonce, ordered=True
        )
        # Told before it is written: a holder that is killed by then has still
        # told, and what it may order counts from here in any case.
        self._tell(record)
        try:
            self._revision = self._put(record, revision)
        except StoreConflictError as conflict:
            self._revision = self._settle(conflict.current, record)
        self._valid_until = asked + VALID_SECONDS
        self._renewed_at = asked

    def release(self) -> None:
        """Stop ordering; the object stays for the successor's generation."""
        self._revision = None
        self._valid_until = 0

    def _tell(self, record: LeaseRecord) -> None:
        self._renewals.tell(self._describe(record), self._list_successors())

    def _describe(self, record: LeaseRecord) -> LeaseRenewed:
        return LeaseRenewed(
            path=self._path, generation=record.generation, nonce=record.nonce
        )

    def _find_wait(self, held: LeaseRecord | None) -> float:
        """Return how long to wait before the first order; seconds.

        The newest renewal may have been heard of: no later one allowed an
        order, or its nonce would be there. A lease that was taken over
        while its holder waited itself, by one that then ordered nothing, need
        not be waited out anew: what it waited for was the holder before both.
        """
        full = self._lease_seconds + VALID_SECONDS + TRAVEL_SECONDS
        if held is None:
            return 0
        if held.holder == self._me and held.ordered:
            return 0  # This machine had waited already when it ordered.
        mine = self.generation
        if mine and not held.ordered and held.generation in {mine, mine + 1}:
            return min(max(self._first_order_at - self._now(), 0), full)
        heard_at = self._renewals.find(self._describe(held))
        if heard_at is not None:
            return min(max(heard_at + full - self._now(), 0), full)
        return full

    def _acquire(self) -> None:
        asked = self._now()
        current = self._store.get(self._path)
        held = None if current is None else _decode(current)
        generation = 1 if held is None else held.generation + 1
        wait = self._find_wait(held)
        self._nonce = secrets.token_hex(8)
        record = LeaseRecord(
            self._me, generation, self._nonce, ordered=not wait
        )
        expected = _NEW if current is None else current.version
        try:
            revision = self._put(record, expected)
        except StoreConflictError as conflict:
            revision = self._settle(conflict.current, record)
        self._revision = revision
        self.generation = generation
        self._first_order_at = self._now() + wait
        # While it waits the record says that nothing is ordered, and stays
        # true: orders need the renewal that comes after the wait.
        self._valid_until = float(0) if wait else asked + VALID_SECONDS
        # Told once it is written: the holder before may have ordered until
        # then, and whoever comes next counts from here.
        self._tell(record)
        write(
            _LOGGER,
            events.LEASE_TAKEN,
            path=self._path,
            generation=generation,
            former=None if held is None else held.holder,
            wait=round(wait, 2),
        )

    def _put(self, record: LeaseRecord, expected: Revision) -> Revision:
        """Write; read back when the answer was lost."""
        value = msgspec.json.encode(record)
        try:
            return self._store.put(self._path, value, expected)
        except StoreUnavailableError as error:
            if not error.may_be_written:
                raise
            current = self._store.get(self._path)
            if current is not None and _decode(current) == record:
                return current.version
            raise

    def _settle(
        self, current: StoredObject | None, record: LeaseRecord
    ) -> Revision:
        """Tell our own write whose answer was lost from another holder's."""
        found = current or self._store.get(self._path)
        if found is not None and _decode(found) == record:
            return found.version
        self.release()
        other = None if found is None else _decode(found)
        write(
            _LOGGER,
            events.LEASE_LOST,
            path=self._path,
            holder=None if other is None else other.holder,
            generation=None if other is None else other.generation,
        )
        raise LeaseHeldError(self._path)


def lease_path(service: ServiceId) -> str:
    """Return where the lease for orders to a service's samplers is kept."""
    return f'{LEASES}/{service}'


def acquire_for_orders(lease: Lease, clock: Clock) -> None:
    """Hold a lease, and wait out what its former holder may still send."""
    lease.acquire_or_renew()
    wait = lease.wait_seconds()
    if wait:
        clock.sleep(wait)
        lease.acquire_or_renew()


def _decode(stored: StoredObject) -> LeaseRecord:
    """Return a record; one that can not be read is some other holder's.

    Its generation is not known, but each took a write of its own, so there
    were never more of them than the store's revision counts.
    """
    try:
        return msgspec.json.decode(stored.value, type=LeaseRecord)
    except msgspec.MsgspecError as error:
        _UNREADABLE.note(stored.path, str(error))
        return LeaseRecord(InstanceId(''), stored.version, '', ordered=True)


def list_holders(store: ObjectStore) -> dict[ServiceId, InstanceId]:
    """Return who held each lease last."""
    stored, _ = store.list_under(LEASES)
    holders = {
        ServiceId(each.path.partition('/')[2]): _decode(each).holder
        for each in stored
    }
    return {service: holder for service, holder in holders.items() if holder}
