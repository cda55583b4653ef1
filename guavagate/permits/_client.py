"""The entry's side of permits: ask the pool's home, hold, give back."""

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
from guavagate.exceptions import LinkError, RefusalError
from guavagate.links import Message, expect
from guavagate.models import InstanceId, RequestId, UpstreamId
from guavagate.permits._directory import find_queue_owner
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
from guavagate.runtime import Runtime

_LOGGER = logging.getLogger(__name__)

# An entry asks again at this pace while its work is queued, under the same
# work id, so that a home that died or moved is found within it. A wait beyond
# it costs one message every two seconds.
POLL_SECONDS: Final = 2.0
LINK_MARGIN: Final = 0.5
REASK_PAUSE: Final = 0.05


class FailedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """What the home is told of an attempt before it judges a retry."""

    upstream: UpstreamId
    started: bool
    leaving: bool = False


class PermitClient:
    """Holds this instance's permits; one for each daemon."""

    def __init__(self, runtime: Runtime, queue_owner: QueueOwner) -> None:
        self._runtime = runtime
        self._queue_owner = queue_owner
        self._me = runtime.settings.id
        self._held: dict[str, dict[RequestId, HeldPermit]] = {}
        self._told: dict[str, InstanceId] = {}
        self._run_starters: dict[RequestId, Callable[[Permit], None]] = {}
        queue_owner.connect_local_entry(self._take_copy, self.find_missing)
        runtime.bus.register(AskHeld, self._on_ask_held)
        runtime.bus.register(RunCopy, self._on_copy)

    def start(self) -> None:
        """Keep homes informed of what is held."""
        self._runtime.members.subscribe(self._tell_moved)

    def now(self) -> float:
        """Return the runtime's time."""
        return self._runtime.clock.now()

    def count_permits(self) -> int:
        """Return how many permits are held."""
        return sum(len(held) for held in self._held.values())

    def acquire(
        self, pool: str, work: Work, failed: FailedAttempt | None = None
    ) -> Permit:
        """Wait for a permit, at most to the work's deadline.

        After a failed attempt the home judges whether there is a retry.

        Raises
        ------
        RefusalError
            The home refused, or no home answered in time; not run.
        """
        try:
            return self._acquire(pool, work, failed)
        except gevent.GreenletExit:
            # The caller is gone. Without this the work would keep its seat
            # until it is seen abandoned, and might be granted meanwhile.
            self._withdraw(pool, work)
            raise

    def _acquire(
        self, pool: str, work: Work, failed: FailedAttempt | None
    ) -> Permit:
        while True:
            remaining = work.deadline - self.now()
            if remaining <= 0:
                raise self._give_up(pool, work)
            reply = self._ask(pool, work, remaining, failed)
            if reply is not None and not reply.not_home:
                failed = None
            if reply is None or reply.not_home:
                self._runtime.clock.sleep(REASK_PAUSE)
                continue
            if reply.refusal is not None:
                raise _refuse(reply)
            if reply.permit is not None:
                return self._hold(work, reply.permit)

    def accept_speculative_runs(
        self, work_id: RequestId, take: Callable[[Permit], None]
    ) -> None:
        """Have second copies of some work offered; `take` must not block."""
        self._run_starters[work_id] = take

    def decline_speculative_runs(self, work_id: RequestId) -> None:
        """Decline further copies of some work."""
        self._run_starters.pop(work_id, None)

    def end_speculative_run(
        self, permit: Permit, *, tokens: int = 0, seconds: float = 0
    ) -> None:
        """Give a copy's permit back; without tokens it has failed."""
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
        """Hold a permit no longer; its failure goes with the next request."""
        self._held.get(permit.pool, {}).pop(permit.work_id, None)

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
        """Give a permit back with what was measured under it."""
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

    def report_slow(self, permit: Permit, pace: float) -> None:
        """Tell the home of a slow stream; `pace` in seconds a token."""
        report = ReportSlow(
            pool=permit.pool,
            work_id=permit.work_id,
            upstream=permit.upstream,
            pace=pace,
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

    def _take_copy(self, permit: Permit) -> None:
        take = self._run_starters.get(permit.work_id, self.end_speculative_run)
        take(permit)

    def _on_copy(self, sender: InstanceId, message: Message) -> None:
        self._take_copy(expect(message, RunCopy).permit)

    def _find_owner(self, pool: str) -> InstanceId | None:
        return find_queue_owner(pool, self._runtime.members.alive())

    def _ask(
        self,
        pool: str,
        work: Work,
        remaining: float,
        failed: FailedAttempt | None,
    ) -> PermitReply | None:
        owner = self._find_owner(pool)
        wait = min(POLL_SECONDS, remaining)
        ask = AskPermit(
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
            return self._queue_owner.request(self._me, ask)
        try:
            return self._runtime.bus.request(
                owner, ask, PermitReply, wait + LINK_MARGIN
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

    def _hold(self, work: Work, permit: Permit) -> Permit:
        held = HeldPermit(work=work, upstream=permit.upstream)
        self._held.setdefault(permit.pool, {})[work.id] = held
        self._told.setdefault(
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

    def _give_up(self, pool: str, work: Work) -> RefusalError:
        self._withdraw(pool, work)
        return RefusalError(
            'no upstream was free before the deadline',
            'retry later, or allow a longer deadline',
            reason='deadline_passed_in_queue',
            retry_after=1.0,
        )

    def _tell_moved(self) -> None:
        for pool in list(self._told):
            owner = self._find_owner(pool)
            if owner is not None and owner != self._told[pool]:
                self._tell(pool, owner)

    def find_missing(
        self, pool: str, work_ids: Iterable[RequestId]
    ) -> tuple[RequestId, ...]:
        """Return those of some permits that this entry does not hold."""
        held = self._held.get(pool, {})
        return tuple(one for one in work_ids if one not in held)

    def _on_ask_held(self, sender: InstanceId, message: Message) -> Message:
        asked = expect(message, AskHeld)
        return HeldReply(missing=self.find_missing(asked.pool, asked.work_ids))

    def _tell(self, pool: str, owner: InstanceId) -> None:
        held = tuple(self._held.get(pool, {}).values())
        self._told[pool] = owner
        message = HeldPermits(pool=pool, held=held)
        if owner == self._me:
            self._queue_owner.adopt_permits(self._me, message)
        else:
            self._runtime.bus.send(owner, message)
        if not held:
            self._told.pop(pool)


def _refuse(reply: PermitReply) -> RefusalError:
    refusal = reply.refusal
    if refusal is None:
        raise AssertionError('only a refusal is refused')
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
