"""One pool at its home: who waits, who holds a permit."""

import math
from collections.abc import Callable
from typing import Final

import msgspec
from gevent.event import AsyncResult

from guavagate.decisions import Pool, Work
from guavagate.models import InstanceId, RequestId, SamplerId, UpstreamId
from guavagate.permits._directory import PoolSpec
from guavagate.permits._messages import AskPermit, HeldPermit, Permit

# An entry asks again every two seconds while it waits; one that has not for
# this long has died or lost its caller.
ABANDONED_SECONDS: Final = 5.0
# A permit younger than this may still be on its way to its entry, which
# therefore does not list it yet.
UNLISTED_SECONDS: Final = 5.0


class Seat(msgspec.Struct, kw_only=True):
    """One piece of queued work and the answer that its entry waits for."""

    entry: InstanceId
    work: Work
    answer: AsyncResult
    asked_at: float


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """One permit given out."""

    entry: InstanceId
    permit: Permit
    at: float


class OwnedPool(msgspec.Struct, kw_only=True):
    """A pool whose home is here."""

    spec: PoolSpec
    pool: Pool
    grants_from: float
    seats: dict[RequestId, Seat] = msgspec.field(default_factory=dict)
    granted: dict[RequestId, Grant] = msgspec.field(default_factory=dict)
    leaving: set[SamplerId] = msgspec.field(default_factory=set)

    def localise(self, ask: AskPermit, now: float) -> Work:
        """Return the asked work with its deadline on this clock."""
        deadline = now + ask.remaining if ask.remaining else math.inf
        return msgspec.structs.replace(ask.work, deadline=deadline)

    def grant(self, seat: Seat, sampler: SamplerId, now: float) -> Permit:
        """Enter a permit for a seat's work."""
        permit = self.make_permit(seat.work.id, sampler)
        self.granted[seat.work.id] = Grant(
            entry=seat.entry, permit=permit, at=now
        )
        return permit

    def make_permit(self, work_id: RequestId, sampler: SamplerId) -> Permit:
        """Return a permit with the sampler's address."""
        address = next(
            (one.address for one in self.spec.members if one.id == sampler), ''
        )
        return Permit(
            pool=self.spec.key,
            work_id=work_id,
            upstream=UpstreamId(sampler),
            address=address,
        )

    def adopt(self, entry: InstanceId, held: HeldPermit, now: float) -> None:
        """Count a permit that the pool's former home gave out."""
        sampler = SamplerId(held.upstream)
        self.pool.adopt(held.work, sampler, now)
        seat = Seat(
            entry=entry, work=held.work, answer=AsyncResult(), asked_at=now
        )
        self.grant(seat, sampler, now)

    def overdue(
        self,
        entry: InstanceId,
        listed: set[RequestId],
        now: float,
    ) -> list[RequestId]:
        """Return permits of an entry that it does not list, and should."""
        return [
            work_id
            for work_id, grant in self.granted.items()
            if grant.entry == entry
            and work_id not in listed
            and now - grant.at > UNLISTED_SECONDS
        ]

    def of_dead(
        self, is_there: Callable[[InstanceId], bool]
    ) -> list[RequestId]:
        """Return the work of entries that are gone."""
        seats = [
            work_id
            for work_id, seat in self.seats.items()
            if not is_there(seat.entry)
        ]
        grants = [
            work_id
            for work_id, grant in self.granted.items()
            if not is_there(grant.entry)
        ]
        return seats + grants

    def abandoned(self, now: float) -> list[RequestId]:
        """Return queued work that its entry no longer asks for."""
        return [
            work_id
            for work_id, seat in self.seats.items()
            if now - seat.asked_at > ABANDONED_SECONDS
        ]
