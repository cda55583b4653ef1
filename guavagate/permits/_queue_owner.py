"""Owns the queues of pools: one queue and one slot count for each pool.

The queue owner alone decides what runs on a pool's upstreams. Its state can be
rebuilt from the entries: when it fails, they send their requests and permits to
the next queue owner, which counts the running work before it grants permits.
"""

import logging
from collections.abc import Callable
from typing import Final

from gevent.event import AsyncResult, Event

from guavagate.decisions import (
    ALL_SAFEGUARDS,
    Placement,
    Pool,
    PoolSettings,
    Refused,
    Safeguard,
    SamplerInfo,
)
from guavagate.events import write
from guavagate.events.routing import (
    POOL_RELEASED,
    POOL_TAKEN_OVER,
    UPSTREAM_LEAVING,
    UPSTREAM_SERVING,
)
from guavagate.models import InstanceId, RequestId, SamplerId
from guavagate.permits._directory import PoolSpec, find_queue_owner, list_pools
from guavagate.permits._messages import (
    AskPermit,
    HeldPermits,
    Permit,
    PermitRefusal,
    PermitReply,
    Release,
    ReleasePermit,
    ReportSlow,
)
from guavagate.permits._owned import OwnedPool, QueuedWork
from guavagate.permits._reclaim import FindMissing, Reclaimer
from guavagate.permits._speculation import (
    SpeculativeRuns,
    describe_refusal,
    record_decision,
)
from guavagate.runtime import Runtime

_LOGGER = logging.getLogger(__name__)

# Queued work whose deadline can no longer be met is refused at this interval,
# so its caller gets the refusal at most this long after the decision.
SWEEP_INTERVAL_SECONDS: Final = 0.1
# A new queue owner grants nothing for this long. The pool's entries send their
# permits at once, and a message takes milliseconds between regions. Without
# this wait every takeover would send a second load to engines that are full.
TAKEOVER_WAIT_SECONDS: Final = 0.5
# Longer than any report is delayed. An upstream that serves again waits this
# much longer for work, which costs little.
LEAVING_SECONDS: Final = 10.0
# A caller's stream has one source, and a hedge of interactive work would need
# two. Therefore only the slowest work of a step gets speculative runs.
POOL_SAFEGUARDS: Final = ALL_SAFEGUARDS - {Safeguard.HEDGING}


class QueueOwner:
    """Owns the queues of the pools that are assigned to this instance."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._me = runtime.settings.id
        self._specs: dict[str, PoolSpec] = {}
        self._owned: dict[str, OwnedPool] = {}
        self._fresh_start = True
        self._work_arrived = Event()
        self._speculative_runs = SpeculativeRuns(runtime)
        self._reclaimer = Reclaimer(runtime, self.list_owned, self.schedule)

    def start(self) -> None:
        """Follow settings and members, and sweep the queues."""
        self._runtime.teams.subscribe(lambda _: self.refresh())
        self._runtime.members.subscribe(self.refresh)
        self.refresh()
        self._fresh_start = False
        self._runtime.clock.spawn(self._sweep)
        self._reclaimer.start()

    def connect_local_entry(
        self, start_run: Callable[[Permit], None], find_missing: FindMissing
    ) -> None:
        """Connect this instance's own entry, without the bus."""
        self._speculative_runs.start_locally = start_run
        self._reclaimer.find_missing_locally = find_missing

    def list_owned(self) -> list[OwnedPool]:
        """Return the pools whose queues this instance owns."""
        return list(self._owned.values())

    def specs(self) -> dict[str, PoolSpec]:
        """Return every declared pool, by key."""
        return self._specs

    def refresh(self) -> None:
        """Take over and give up pools after a change."""
        self._specs = list_pools(self._runtime.teams.all())
        alive = self._runtime.members.alive()
        for key in list(self._owned):
            spec = self._specs.get(key)
            if spec is None or find_queue_owner(key, alive) != self._me:
                self._give_up_pool(key)
            else:
                self._set_members(self._owned[key], spec)
        for key, spec in self._specs.items():
            if (
                key not in self._owned
                and find_queue_owner(key, alive) == self._me
            ):
                self._take_over_pool(spec)
        self._remove_dead_entries()

    def request(self, sender: InstanceId, request: AskPermit) -> PermitReply:
        """Reply with a permit, a refusal, or "still queued"."""
        owned = self._owned.get(request.pool)
        if owned is None:
            return PermitReply(not_home=True)
        self._work_arrived.set()
        granted = owned.granted.get(request.work.id)
        if granted is not None and request.failed_upstream is None:
            return PermitReply(permit=granted.permit)
        refusal = self._offer(owned, sender, request)
        if refusal is not None:
            return PermitReply(refusal=refusal)
        queued = owned.queued[request.work.id]
        queued.last_request_at = self._runtime.clock.now()
        self.schedule(owned)
        return self._await_answer(queued, request.wait)

    def release(self, sender: InstanceId, release: ReleasePermit) -> None:
        """Free a slot, and record how the work ended."""
        owned = self._owned.get(release.pool)
        if owned is None:
            return
        now = self._runtime.clock.now()
        sampler = SamplerId(release.upstream)
        if release.ended is Release.COPY_FAILED:
            self._speculative_runs.end(owned, release, now)
            self.schedule(owned)
            return
        grant = owned.granted.pop(release.work_id, None)
        if release.ended is Release.LEAVING:
            self.mark_leaving(owned, sampler)
        if grant is None:
            return
        if release.ended is Release.DONE:
            owned.pool.finish(
                release.work_id,
                sampler,
                now,
                tokens=release.tokens,
                cached_tokens=release.cached_tokens,
            )
        elif release.ended in {Release.FAILED, Release.NOT_STARTED}:
            # The entry has given up and does not request this work again.
            owned.pool.fail(release.work_id, sampler, now, started=True)
            owned.pool.cancel(release.work_id, now)
        else:
            owned.pool.cancel(release.work_id, now)
        self.schedule(owned)

    def withdraw(
        self, sender: InstanceId, pool: str, work_id: RequestId
    ) -> None:
        """Remove work that its entry no longer waits for."""
        owned = self._owned.get(pool)
        if owned is None:
            return
        owned.queued.pop(work_id, None)
        owned.granted.pop(work_id, None)
        owned.pool.cancel(work_id, self._runtime.clock.now())
        self.schedule(owned)

    def adopt_permits(self, sender: InstanceId, message: HeldPermits) -> None:
        """Count an entry's permits after this instance has taken over."""
        owned = self._owned.get(message.pool)
        if owned is None:
            return
        now = self._runtime.clock.now()
        self._work_arrived.set()
        for held in message.held:
            if held.work.id not in owned.granted:
                owned.adopt(sender, held, now)
        self.schedule(owned)

    def record_slow_stream(self, report: ReportSlow) -> None:
        """Record that a stream is slow, long before it ends."""
        owned = self._owned.get(report.pool)
        if owned is not None:
            owned.pool.record_slow_stream(
                report.work_id,
                SamplerId(report.upstream),
                report.pace,
                self._runtime.clock.now(),
            )

    def mark_leaving(self, owned: OwnedPool, sampler: SamplerId) -> None:
        """Stop sending new work to an upstream."""
        known = sampler in owned.leaving
        owned.leaving[sampler] = self._runtime.clock.now()
        if known:
            return
        write(
            _LOGGER,
            UPSTREAM_LEAVING,
            upstream=sampler,
            pool=owned.spec.key,
        )
        self._set_members(owned, owned.spec)

    def mark_serving(self, owned: OwnedPool, sampler: SamplerId) -> None:
        """Send work again to an upstream that reports that it is serving.

        Reports are delayed. One from before the upstream began to leave may
        arrive after its refusal, and would bring it new work. It gets work
        again only when nothing has shown it leaving for a while.
        """
        since = owned.leaving.get(sampler)
        if since is None:
            return
        if self._runtime.clock.now() - since < LEAVING_SECONDS:
            return
        owned.leaving.pop(sampler)
        write(_LOGGER, UPSTREAM_SERVING, upstream=sampler, pool=owned.spec.key)
        self._set_members(owned, owned.spec)

    def schedule(self, owned: OwnedPool) -> None:
        """Grant permits to work that may start; refuse what is too late."""
        now = self._runtime.clock.now()
        for refused in owned.pool.expire(now):
            queued = owned.queued.pop(refused.work_id, None)
            if queued is not None:
                queued.answer.set(
                    PermitReply(refusal=describe_refusal(refused))
                )
        if now < owned.grants_from:
            return
        for placement in owned.pool.place(now):
            self._grant(owned, placement, now)
            record_decision(self._runtime, placement.decision)

    def _offer(
        self, owned: OwnedPool, sender: InstanceId, request: AskPermit
    ) -> PermitRefusal | None:
        now = self._runtime.clock.now()
        work = owned.localise_deadline(request, now)
        if request.failed_upstream is not None:
            refusal = self._retry(owned, request, now)
            if refusal is not None:
                return refusal
        if work.id in owned.queued:
            return None
        offered = owned.pool.offer(work, now)
        record_decision(self._runtime, offered.decision)
        if isinstance(offered, Refused):
            return describe_refusal(offered)
        owned.queued[work.id] = QueuedWork(
            entry=sender, work=work, answer=AsyncResult(), last_request_at=now
        )
        return None

    def _retry(
        self, owned: OwnedPool, request: AskPermit, now: float
    ) -> PermitRefusal | None:
        failed = SamplerId(request.failed_upstream or '')
        grant = owned.granted.pop(request.work.id, None)
        if request.failed_leaving:
            self.mark_leaving(owned, failed)
        if grant is None:
            return None
        retried = owned.pool.fail(
            request.work.id, failed, now, started=request.failed_started
        )
        if isinstance(retried, Refused):
            return describe_refusal(retried)
        return None

    def _await_answer(self, queued: QueuedWork, wait: float) -> PermitReply:
        try:
            with self._runtime.clock.timeout(wait, TimeoutError):
                return queued.answer.get()
        except TimeoutError:
            return PermitReply()

    def _grant(
        self, owned: OwnedPool, placement: Placement, now: float
    ) -> None:
        work_id = placement.work.id
        queued = owned.queued.pop(work_id, None)
        if queued is None:
            owned.pool.cancel(work_id, now)
            return
        token_interval = placement.expected_token_interval
        permit = owned.grant(queued, placement.sampler, now, token_interval)
        queued.answer.set(PermitReply(permit=permit))

    def _take_over_pool(self, spec: PoolSpec) -> None:
        now = self._runtime.clock.now()
        takeover_wait = 0 if self._fresh_start else TAKEOVER_WAIT_SECONDS
        owned = OwnedPool(
            spec=spec,
            pool=Pool(
                PoolSettings(name=spec.key, safeguards=POOL_SAFEGUARDS),
                (),
                now,
            ),
            grants_from=now + takeover_wait,
        )
        self._owned[spec.key] = owned
        self._set_members(owned, spec)
        write(_LOGGER, POOL_TAKEN_OVER, pool=spec.key)
        self._runtime.decisions.record(
            spec.key,
            'home',
            self._me,
            'first by rendezvous hash of the members',
        )

    def _give_up_pool(self, key: str) -> None:
        owned = self._owned.pop(key)
        for queued in owned.queued.values():
            queued.answer.set(PermitReply(not_home=True))
        write(_LOGGER, POOL_RELEASED, pool=key)

    def _set_members(self, owned: OwnedPool, spec: PoolSpec) -> None:
        owned.spec = spec
        now = self._runtime.clock.now()
        owned.pool.set_samplers(
            [
                SamplerInfo(
                    id=SamplerId(member.id),
                    zone=member.zone,
                    slots=member.slots,
                    leaving=member.id in owned.leaving,
                )
                for member in spec.members
            ],
            now,
        )
        self.schedule(owned)

    def _remove_dead_entries(self) -> None:
        """Free the slots of entries that have stopped, with their callers."""
        now = self._runtime.clock.now()
        for owned in self._owned.values():
            for work_id in owned.list_orphaned(self._is_member):
                owned.granted.pop(work_id, None)
                owned.queued.pop(work_id, None)
                owned.pool.cancel(work_id, now)
            self.schedule(owned)

    def _wait_for_sweep(self) -> None:
        """Wait for the next sweep; without work, until some arrives."""
        if any(one.queued or one.granted for one in self._owned.values()):
            self._runtime.clock.sleep(SWEEP_INTERVAL_SECONDS)
            return
        self._work_arrived.clear()
        self._work_arrived.wait()

    def _is_member(self, entry: InstanceId) -> bool:
        return self._runtime.members.get(entry) is not None

    def _sweep(self) -> None:
        while True:
            self._wait_for_sweep()
            now = self._runtime.clock.now()
            for owned in list(self._owned.values()):
                for work_id in owned.list_abandoned(now):
                    owned.queued.pop(work_id)
                    owned.pool.cancel(work_id, now)
                self.schedule(owned)
                self._speculative_runs.offer(owned, now)
