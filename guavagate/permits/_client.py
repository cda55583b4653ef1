"""Acquires and releases permits from pools' queue owners for an entry."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

import gevent
import msgspec

from guavagate.decisions import Work
from guavagate.events import write
from guavagate.events.routing import (
    PERMIT_GRANTED,
    PERMIT_REFUSED,
    QUEUE_OWNER_UNREACHABLE,
)
from guavagate.exceptions import (
    LinkError,
    RefusalError,
    UpstreamError,
    UpstreamLeavingError,
    UpstreamNotStartedError,
)
from guavagate.links import Message, expect
from guavagate.models import InstanceId, RequestId, UpstreamId
from guavagate.permits._directory import find_queue_owner
from guavagate.permits._guard import WorkGuard
from guavagate.permits._messages import (
    AskHeld,
    AskPermit,
    HeldPermit,
    HeldPermits,
    HeldReply,
    Permit,
    PermitReply,
    Release,
    ReleasePermit,
    ReportSlow,
    RunCopy,
    WithdrawWork,
)
from guavagate.permits._queue_owner import QueueOwner
from guavagate.quarantine import Quarantine
from guavagate.runtime import Runtime

_LOGGER = logging.getLogger(__name__)

# While its work is queued, an entry repeats its request after this time, with
# the same work id. It finds a new queue owner within this time, at the cost
# of one message every two seconds.
POLL_INTERVAL_SECONDS: Final = 2.0
LINK_MARGIN_SECONDS: Final = 0.5
RETRY_PAUSE_SECONDS: Final = 0.05


class FailedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """Describes a failed attempt to the queue owner, which decides a retry."""

    upstream: UpstreamId
    started: bool
    leaving: bool = False


class PermitClient:
    """Tracks the permits of this instance; one for each process."""

    def __init__(
        self,
        runtime: Runtime,
        queue_owner: QueueOwner,
        quarantine: Quarantine,
    ) -> None:
        self._guard = WorkGuard(quarantine)
        self._runtime = runtime
        self._queue_owner = queue_owner
        self._me = runtime.settings.id
        self._permits: dict[str, dict[RequestId, HeldPermit]] = {}
        self._notified_owners: dict[str, InstanceId] = {}
        self._run_starters: dict[RequestId, Callable[[Permit], None]] = {}
        queue_owner.connect_local_entry(
            self._start_speculative_run, self.find_missing
        )
        runtime.bus.register(AskHeld, self._on_ask_held)
        runtime.bus.register(RunCopy, self._on_run_copy)

    def start(self) -> None:
        """Send this instance's permits to each new queue owner."""
        self._runtime.members.subscribe(self._notify_moved)

    def now(self) -> float:
        """Return the runtime's time."""
        return self._runtime.clock.now()

    def count_permits(self) -> int:
        """Return how many permits are in use."""
        return sum(len(permits) for permits in self._permits.values())

    def acquire(
        self, pool: str, work: Work, failed: FailedAttempt | None = None
    ) -> Permit:
        """Wait for a permit, at most to the work's deadline.

        After a failed attempt the queue owner decides whether to retry.

        Raises
        ------
        RefusalError
            The queue owner refused, or none answered in time, or the fleet has
            stopped the work. Apart from a failed attempt, it has not run.
        """
        try:
            self._guard.check(work)
        except RefusalError:
            self._release_failed(pool, work, failed)
            raise
        try:
            permit = self._acquire(pool, work, failed)
        except gevent.GreenletExit:
            # The caller has disconnected. Without this the work would stay
            # queued until it counts as abandoned, and might get a permit.
            self._withdraw(pool, work)
            raise
        try:
            self._guard.check(work)
        except RefusalError:
            self.release(permit, Release.CANCELLED)
            raise
        return permit

    def record_failure(
        self, permit: Permit, work: Work, error: UpstreamError, seconds: float
    ) -> FailedAttempt:
        """Record a failed attempt; return its report for the queue owner.

        Parameters
        ----------
        seconds
            How long the attempt had run.
        """
        self._guard.record_failure(permit, work, error, seconds)
        return FailedAttempt(
            upstream=permit.upstream,
            started=not isinstance(error, UpstreamNotStartedError),
            leaving=isinstance(error, UpstreamLeavingError),
        )

    def _release_failed(
        self, pool: str, work: Work, failed: FailedAttempt | None
    ) -> None:
        """Free the slot of a failed attempt that is not reported otherwise."""
        if failed is not None:
            self._send_release(
                ReleasePermit(
                    pool=pool,
                    work_id=work.id,
                    upstream=failed.upstream,
                    ended=Release.FAILED,
                )
            )

    def _acquire(
        self, pool: str, work: Work, failed: FailedAttempt | None
    ) -> Permit:
        """Repeat the request until a queue owner grants or refuses it.

        A failed attempt is reported until the first reply of a queue owner.
        """
        while True:
            remaining = work.deadline - self.now()
            if remaining <= 0:
                raise self._time_out(pool, work)
            reply = self._request(pool, work, remaining, failed)
            if reply is not None and not reply.not_home:
                failed = None
            if reply is None or reply.not_home:
                self._runtime.clock.sleep(RETRY_PAUSE_SECONDS)
                continue
            if reply.refusal is not None:
                raise _make_refusal(reply)
            if reply.permit is not None:
                return self._record_permit(work, reply.permit)

    def accept_speculative_runs(
        self, work_id: RequestId, start: Callable[[Permit], None]
    ) -> None:
        """Accept speculative runs of some work; `start` must not block."""
        self._run_starters[work_id] = start

    def decline_speculative_runs(self, work_id: RequestId) -> None:
        """Decline further speculative runs of some work."""
        self._run_starters.pop(work_id, None)

    def end_speculative_run(
        self, permit: Permit, *, tokens: int = 0, seconds: float = 0
    ) -> None:
        """Release a speculative run's permit; without tokens it has failed."""
        if tokens:
            self._record_answer(permit)
        self._send_release(
            ReleasePermit(
                pool=permit.pool,
                work_id=permit.work_id,
                upstream=permit.upstream,
                ended=Release.DONE if tokens else Release.COPY_FAILED,
                tokens=tokens,
                seconds=seconds,
            )
        )

    def drop(self, permit: Permit) -> None:
        """Forget a permit; the next request reports its failure."""
        self._permits.get(permit.pool, {}).pop(permit.work_id, None)

    def release(
        self,
        permit: Permit,
        ended: Release,
        *,
        tokens: int = 0,
        seconds: float = 0,
        first_token_seconds: float = 0,
        cached_tokens: int = 0,
    ) -> None:
        """Release a permit with the measurements of its work."""
        if ended is Release.DONE:
            self._record_answer(permit)
        self.drop(permit)
        self._send_release(
            ReleasePermit(
                pool=permit.pool,
                work_id=permit.work_id,
                upstream=permit.upstream,
                ended=ended,
                tokens=tokens,
                seconds=seconds,
                first_token_seconds=first_token_seconds,
                cached_tokens=cached_tokens,
            )
        )

    def _record_answer(self, permit: Permit) -> None:
        held = self._permits.get(permit.pool, {}).get(permit.work_id)
        self._guard.record_answer(held)

    def report_slow(self, permit: Permit, token_interval: float) -> None:
        """Report a slow stream to the queue owner; seconds per token."""
        report = ReportSlow(
            pool=permit.pool,
            work_id=permit.work_id,
            upstream=permit.upstream,
            pace=token_interval,
        )
        owner = self._find_owner(permit.pool)
        if owner == self._me:
            self._queue_owner.record_slow_stream(report)
        elif owner is not None:
            self._runtime.bus.send(owner, report)

    def _send_release(self, message: ReleasePermit) -> None:
        owner = self._find_owner(message.pool)
        if owner == self._me:
            self._queue_owner.release(self._me, message)
        elif owner is not None:
            self._runtime.bus.send(owner, message)

    def _start_speculative_run(self, permit: Permit) -> None:
        start = self._run_starters.get(permit.work_id, self.end_speculative_run)
        start(permit)

    def _on_run_copy(self, sender: InstanceId, message: Message) -> None:
        self._start_speculative_run(expect(message, RunCopy).permit)

    def _find_owner(self, pool: str) -> InstanceId | None:
        return find_queue_owner(pool, self._runtime.members.alive())

    def _request(
        self,
        pool: str,
        work: Work,
        remaining: float,
        failed: FailedAttempt | None,
    ) -> PermitReply | None:
        owner = self._find_owner(pool)
        wait = min(POLL_INTERVAL_SECONDS, remaining)
        request = AskPermit(
            pool=pool,
            work=work,
            remaining=remaining,
            wait=wait,
            failed_upstream=failed.upstream if failed else None,
            failed_started=failed is not None and failed.started,
            failed_leaving=failed is not None and failed.leaving,
        )
        if owner is None:
            return None
        if owner == self._me:
            return self._queue_owner.request(self._me, request)
        try:
            return self._runtime.bus.request(
                owner, request, PermitReply, wait + LINK_MARGIN_SECONDS
            )
        except LinkError as error:
            write(
                _LOGGER,
                QUEUE_OWNER_UNREACHABLE,
                pool=pool,
                home=owner,
                request=work.id,
                error=error.problem,
            )
            return None

    def _record_permit(self, work: Work, permit: Permit) -> Permit:
        held = HeldPermit(work=work, upstream=permit.upstream)
        self._permits.setdefault(permit.pool, {})[work.id] = held
        self._notified_owners.setdefault(
            permit.pool, self._find_owner(permit.pool) or self._me
        )
        write(
            _LOGGER,
            PERMIT_GRANTED,
            request=work.id,
            pool=permit.pool,
            upstream=permit.upstream,
        )
        return permit

    def _withdraw(self, pool: str, work: Work) -> None:
        owner = self._find_owner(pool)
        if owner == self._me:
            self._queue_owner.withdraw(self._me, pool, work.id)
        elif owner is not None:
            self._runtime.bus.send(
                owner, WithdrawWork(pool=pool, work_id=work.id)
            )

    def _time_out(self, pool: str, work: Work) -> RefusalError:
        self._withdraw(pool, work)
        return RefusalError(
            'no upstream was free before the deadline',
            'retry later, or allow a longer deadline',
            reason='deadline_passed_in_queue',
            retry_after=1.0,
        )

    def _notify_moved(self) -> None:
        for pool in list(self._notified_owners):
            owner = self._find_owner(pool)
            if owner is not None and owner != self._notified_owners[pool]:
                self._notify_owner(pool, owner)

    def find_missing(
        self, pool: str, work_ids: Iterable[RequestId]
    ) -> tuple[RequestId, ...]:
        """Return the given work whose permits are not in use here."""
        permits = self._permits.get(pool, {})
        return tuple(one for one in work_ids if one not in permits)

    def _on_ask_held(self, sender: InstanceId, message: Message) -> Message:
        request = expect(message, AskHeld)
        return HeldReply(
            missing=self.find_missing(request.pool, request.work_ids)
        )

    def _notify_owner(self, pool: str, owner: InstanceId) -> None:
        permits = tuple(self._permits.get(pool, {}).values())
        self._notified_owners[pool] = owner
        message = HeldPermits(pool=pool, held=permits)
        if owner == self._me:
            self._queue_owner.adopt_permits(self._me, message)
        else:
            self._runtime.bus.send(owner, message)
        if not permits:
            self._notified_owners.pop(pool)


def _make_refusal(reply: PermitReply) -> RefusalError:
    refusal = reply.refusal
    if refusal is None:
        raise AssertionError('the reply has no refusal')
    write(
        _LOGGER,
        PERMIT_REFUSED,
        reason=refusal.reason,
        retry_after=refusal.retry_after,
    )
    return RefusalError(
        refusal.text,
        f'retry after {refusal.retry_after:.1f} s',
        reason=refusal.reason,
        retry_after=refusal.retry_after,
    )
