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
# A release whose message was lost leaves a slot taken. Permits this old are
# asked about, and again after as long: asking for each at once would cost an
# entry with 330 permits 24 KB/s, of a budget of 8.
CHECK_AFTER_SECONDS: Final = 15.0


class QueuedWork(msgspec.Struct, kw_only=True):
    """One piece of queued work and the answer that its entry waits for."""

    entry: InstanceId
    work: Work
    answer: AsyncResult
    last_request_at: float


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
    queued: dict[RequestId, QueuedWork] = msgspec.field(default_factory=dict)
    granted: dict[RequestId, Grant] = msgspec.field(default_factory=dict)
    last_check_at: float = float('-inf')
    leaving: dict[SamplerId, float] = msgspec.field(default_factory=dict)

    def localise_deadline(self, ask: AskPermit, now: float) -> Work:
        """Return the asked work with its deadline on this clock."""
        deadline = now + ask.remaining if ask.remaining else math.inf
        return msgspec.structs.replace(ask.work, deadline=deadline)

    def grant(
        self,
        queued: QueuedWork,
        sampler: SamplerId,
        now: float,
        pace: float = 0,
    ) -> Permit:
        """Enter a permit for a queued's work."""
        permit = self.make_permit(queued.work.id, sampler, pace)
        self.granted[queued.work.id] = Grant(
            entry=queued.entry, permit=permit, at=now
        )
        return permit

    def make_permit(
        self, work_id: RequestId, sampler: SamplerId, pace: float = 0
    ) -> Permit:
        """Return a permit with the sampler's address."""
        address = next(
            (one.address for one in self.spec.members if one.id == sampler), ''
        )
        return Permit(
            pool=self.spec.key,
            work_id=work_id,
            upstream=UpstreamId(sampler),
            address=address,
            expected_pace=pace,
        )

    def adopt(self, entry: InstanceId, held: HeldPermit, now: float) -> None:
        """Count a permit that the pool's former home gave out."""
        sampler = SamplerId(held.upstream)
        self.pool.adopt(held.work, sampler, now)
        queued = QueuedWork(
            entry=entry,
            work=held.work,
            answer=AsyncResult(),
            last_request_at=now,
        )
        self.grant(queued, sampler, now)

    def list_stale(self, now: float) -> dict[InstanceId, tuple[RequestId, ...]]:
        """Return permits to ask their entries about, by entry."""
        old: dict[InstanceId, list[RequestId]] = {}
        for work_id, grant in self.granted.items():
            if now - max(grant.at, self.last_check_at) > CHECK_AFTER_SECONDS:
                old.setdefault(grant.entry, []).append(work_id)
        if old:
            self.last_check_at = now
        return {entry: tuple(ids) for entry, ids in old.items()}

    def list_orphaned(
        self, is_there: Callable[[InstanceId], bool]
    ) -> list[RequestId]:
        """Return the work of entries that are gone."""
        queued = [
            work_id
            for work_id, queued in self.queued.items()
            if not is_there(queued.entry)
        ]
        grants = [
            work_id
            for work_id, grant in self.granted.items()
            if not is_there(grant.entry)
        ]
        return queued + grants

    def list_abandoned(self, now: float) -> list[RequestId]:
        """Return queued work that its entry no longer asks for."""
        return [
            work_id
            for work_id, queued in self.queued.items()
            if now - queued.last_request_at > ABANDONED_SECONDS
        ]
