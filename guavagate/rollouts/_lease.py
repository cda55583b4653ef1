"""Leases in the object store; each allows one instance at a time to act.

The job owner of a service loads versions into its samplers and scales them
under one lease; the instance that reports usage holds another one.

Samplers may ignore fencing tokens, so two holders must never send orders
within one lease time of each other. A holder renews the lease with a
conditional write right before it sends orders, and may then send them for
`VALID_SECONDS`. A successor takes the lease over with the next generation,
which makes every later renewal of the previous holder fail, and then waits
until no order of that holder can still arrive. Time is measured by the boot
clock: it continues while a process or machine is suspended, as the lease does
for all other instances.
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
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.models import InstanceId, Revision, ServiceId
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.rollouts._renewals import LeaseRenewed, Renewals
from guavagate.util.boot_clock import read_boot_clock

_LOGGER: Final = logging.getLogger(__name__)
_UNREADABLE: Final = UnreadableObjects()

# How long a holder may send orders after it began a renewal: long enough for a
# batch of orders with a slow store, but short, because successors wait for it.
VALID_SECONDS: Final = 0.5
# An order in transit when the renewal expires arrives within this time.
ORDER_TRANSIT_SECONDS: Final = 0.3
LEASES: Final = 'leases'
_NEW: Final = Revision(0)


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored record of a lease.

    `ordered` is set before the first order of a generation: while it is not
    set, the holder has certainly sent no order. `notes` are what the holder's
    successor must know of its orders.
    """

    holder: InstanceId
    generation: int
    nonce: str
    ordered: bool = False
    notes: dict[str, int] = {}


class LeaseHeldError(Exception):
    """Another instance holds the lease."""


class Lease:
    """One instance's handle of a lease; its tasks may share it.

    Parameters
    ----------
    path
        The path of the lease's object in the store.
    lease_seconds
        The time within which no two holders may send orders.
    renewals
        Announces this holder's renewals and records those of other holders.
    list_successors
        Returns the instances that may take the lease over from this one.

    Attributes
    ----------
    notes
        Stored with each renewal; the next holder has them once it took the
        lease.
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
        self.notes: dict[str, int] = {}

    @property
    def held(self) -> bool:
        """Return whether this instance took the lease and has not lost it."""
        return self._revision is not None

    def may_order(self) -> bool:
        """Return whether an order may be sent now."""
        now = self._now()
        return self.held and self._first_order_at <= now < self._valid_until

    def is_proven(self, margin: float) -> bool:
        """Return whether no later holder may have ended its wait.

        Unlike for orders, which are in transit for a moment, the last renewal
        counts until the wait of a later holder ends.

        Parameters
        ----------
        margin
            By how many seconds this has to be earlier than that.
        """
        full = self._lease_seconds + VALID_SECONDS + ORDER_TRANSIT_SECONDS
        return self.held and self._now() < self._renewed_at + full - margin

    def wait_seconds(self) -> float:
        """Return how long a new holder still has to wait."""
        return max(self._first_order_at - self._now(), 0)

    def acquire_or_renew(self) -> None:
        """Take the lease, or renew it if this instance holds it.

        Raises
        ------
        LeaseHeldError
            Another instance has taken the lease; take it again only when the
            membership selects this instance as the coordinator.
        StoreUnavailableError
            The store does not respond; no order may be sent.
        """
        started_at = self._now()
        with self._lock:
            if self.may_order() and self._renewed_at > started_at:
                return  # Another task has renewed it in the meantime.
            if self._revision is None:
                self._acquire()
            elif self._now() >= self._first_order_at:
                self._renew(self._revision)

    def _renew(self, revision: Revision) -> None:
        started_at = self._now()
        # The content differs at each renewal: a write without a change would
        # keep the revision, and a later holder's write would go unnoticed.
        self._nonce = secrets.token_hex(8)
        record = LeaseRecord(
            self._me,
            self.generation,
            self._nonce,
            ordered=True,
            notes=dict(self.notes),
        )
        # Announced before it is written, so that a holder that is killed during
        # the write has announced it. Its validity counts from here anyway.
        self._announce(record)
        try:
            self._revision = self._put(record, revision)
        except StoreConflictError as conflict:
            self._revision = self._reconcile(conflict.current, record)
        self._valid_until = started_at + VALID_SECONDS
        self._renewed_at = started_at

    def release(self) -> None:
        """Stop using the lease; its record stays for the next generation."""
        self._revision = None
        self._valid_until = 0

    def _announce(self, record: LeaseRecord) -> None:
        self._renewals.send(self._make_renewal(record), self._list_successors())

    def _make_renewal(self, record: LeaseRecord) -> LeaseRenewed:
        return LeaseRenewed(
            path=self._path, generation=record.generation, nonce=record.nonce
        )

    def _compute_wait(self, previous: LeaseRecord | None) -> float:
        """Return how many seconds to wait before the first order.

        If the stored renewal was received here, the wait counts from its
        arrival: no later renewal allowed an order, or its nonce would be
        stored. If another instance took the lease over while this one was
        waiting, and then sent no order, the wait need not start again: it was
        for the last orders of the holder before both.
        """
        full = self._lease_seconds + VALID_SECONDS + ORDER_TRANSIT_SECONDS
        if previous is None:
            return 0
        if previous.holder == self._me and previous.ordered:
            return 0  # This instance had already waited when it sent orders.
        own = self.generation
        if (
            own
            and not previous.ordered
            and previous.generation in {own, own + 1}
        ):
            return min(max(self._first_order_at - self._now(), 0), full)
        received_at = self._renewals.find_received_at(
            self._make_renewal(previous)
        )
        if received_at is not None:
            return min(max(received_at + full - self._now(), 0), full)
        return full

    def _acquire(self) -> None:
        started_at = self._now()
        current = self._store.get(self._path)
        previous = None if current is None else _decode(current)
        generation = 1 if previous is None else previous.generation + 1
        wait = self._compute_wait(previous)
        self._nonce = secrets.token_hex(8)
        self.notes = {} if previous is None else dict(previous.notes)
        record = LeaseRecord(
            self._me,
            generation,
            self._nonce,
            ordered=not wait,
            notes=dict(self.notes),
        )
        expected = _NEW if current is None else current.version
        try:
            revision = self._put(record, expected)
        except StoreConflictError as conflict:
            revision = self._reconcile(conflict.current, record)
        self._revision = revision
        self.generation = generation
        self._first_order_at = self._now() + wait
        # During the wait the record states that nothing was ordered. This stays
        # true, because orders need the renewal that follows the wait.
        self._valid_until = float(0) if wait else started_at + VALID_SECONDS
        # Announced after the write: the previous holder may have sent orders
        # until then, and the next holder counts from here.
        self._announce(record)
        write(
            _LOGGER,
            events.LEASE_ACQUIRED,
            path=self._path,
            generation=generation,
            former=None if previous is None else previous.holder,
            wait=round(wait, 2),
        )

    def _put(self, record: LeaseRecord, expected: Revision) -> Revision:
        """Write a record; read it back when the response was lost."""
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

    def _reconcile(
        self, current: StoredObject | None, record: LeaseRecord
    ) -> Revision:
        """Determine after a conflict whether the stored record is this one."""
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
    """Return the store path of the lease for a service's samplers."""
    return f'{LEASES}/{service}'


def acquire_for_orders(lease: Lease, clock: Clock) -> None:
    """Take or renew a lease, and wait until its holder may send orders."""
    lease.acquire_or_renew()
    wait = lease.wait_seconds()
    if wait:
        clock.sleep(wait)
        lease.acquire_or_renew()


def _decode(stored: StoredObject) -> LeaseRecord:
    """Return a record; an unreadable one counts as another holder's.

    Its generation is unknown, but each generation took at least one write, so
    it cannot exceed the store's revision.
    """
    try:
        return decode_json(stored.value, LeaseRecord)
    except msgspec.MsgspecError as error:
        _UNREADABLE.report(stored.path, str(error))
        return LeaseRecord(InstanceId(''), stored.version, '', ordered=True)


def list_leased_services(store: ObjectStore) -> list[ServiceId]:
    """Return the services that ever had a lease, held or not."""
    stored, _ = store.list_under(LEASES)
    return [ServiceId(each.path.partition('/')[2]) for each in stored]


def list_holders(store: ObjectStore) -> dict[ServiceId, InstanceId]:
    """Return the last holder of each service's lease."""
    stored, _ = store.list_under(LEASES)
    holders = {
        ServiceId(each.path.partition('/')[2]): _decode(each).holder
        for each in stored
    }
    return {service: holder for service, holder in holders.items() if holder}
