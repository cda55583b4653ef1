"""The state of one pool at its queue owner: queued work and permits."""

import math
from collections.abc import Callable
from typing import Final

import msgspec
from gevent.event import AsyncResult

from guavagate.decisions import Pool, Work
from guavagate.models import InstanceId, RequestId, SamplerId, UpstreamId
from guavagate.permits._directory import PoolSpec
from guavagate.permits._messages import AskPermit, HeldPermit, Permit

# A waiting entry repeats its request every two seconds. One that has not for
# this long has stopped or lost its caller.
ABANDONED_SECONDS: Final = 5.0
# When a release message is lost, its slot stays in use. Permits of this age are
# checked at their entries, and again after the same time. Checking all permits
# at every scan, each five seconds, would cost an entry with 330 permits
# 24 KB/s, of a budget of 8.
CHECK_AFTER_SECONDS: Final = 15.0


class QueuedWork(msgspec.Struct, kw_only=True):
    """One piece of queued work and the reply that its entry waits for."""

    entry: InstanceId
    work: Work
    answer: AsyncResult
    last_request_at: float


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """One granted permit."""

    entry: InstanceId
    permit: Permit
    at: float


class OwnedPool(msgspec.Struct, kw_only=True):
    """A pool whose queue this instance owns."""

    spec: PoolSpec
    pool: Pool
    grants_from: float
    queued: dict[RequestId, QueuedWork] = msgspec.field(default_factory=dict)
    granted: dict[RequestId, Grant] = msgspec.field(default_factory=dict)
    last_check_at: float = float('-inf')
    leaving: dict[SamplerId, float] = msgspec.field(default_factory=dict)

    def localise_deadline(self, request: AskPermit, now: float) -> Work:
        """Return the requested work with its deadline on this clock."""
        deadline = now + request.remaining if request.remaining else math.inf
        return msgspec.structs.replace(request.work, deadline=deadline)

    def grant(
        self,
        queued: QueuedWork,
        sampler: SamplerId,
        now: float,
        token_interval: float = 0,
    ) -> Permit:
        """Record and return a permit for queued work."""
        permit = self.make_permit(queued.work.id, sampler, token_interval)
        self.granted[queued.work.id] = Grant(
            entry=queued.entry, permit=permit, at=now
        )
        return permit

    def make_permit(
        self, work_id: RequestId, sampler: SamplerId, token_interval: float = 0
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
            expected_pace=token_interval,
        )

    def adopt(self, entry: InstanceId, held: HeldPermit, now: float) -> None:
        """Count a permit that the pool's former queue owner granted."""
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
        """Return old permits to check at their entries, by entry."""
        stale: dict[InstanceId, list[RequestId]] = {}
        for work_id, grant in self.granted.items():
            if now - max(grant.at, self.last_check_at) > CHECK_AFTER_SECONDS:
                stale.setdefault(grant.entry, []).append(work_id)
        if stale:
            self.last_check_at = now
        return {entry: tuple(ids) for entry, ids in stale.items()}

    def list_orphaned(
        self, is_member: Callable[[InstanceId], bool]
    ) -> list[RequestId]:
        """Return the work of entries that are no longer members."""
        waiting = [
            work_id
            for work_id, queued in self.queued.items()
            if not is_member(queued.entry)
        ]
        grants = [
            work_id
            for work_id, grant in self.granted.items()
            if not is_member(grant.entry)
        ]
        return waiting + grants

    def list_abandoned(self, now: float) -> list[RequestId]:
        """Return queued work that its entry no longer requests."""
        return [
            work_id
            for work_id, queued in self.queued.items()
            if now - queued.last_request_at > ABANDONED_SECONDS
        ]
