"""Offers idle slots for speculative runs of a step's slowest work."""

from collections.abc import Callable

from guavagate.decisions import Decision, Placement, Refused
from guavagate.models import SamplerId
from guavagate.permits._messages import (
    Permit,
    PermitRefusal,
    PermitReply,
    ReleasePermit,
    RunCopy,
)
from guavagate.permits._owned import OwnedPool
from guavagate.runtime import Runtime


def record_decision(runtime: Runtime, decision: Decision) -> None:
    """Record a pool's decision in the log and for ``explain``."""
    runtime.decisions.record(
        decision.subject,
        decision.kind,
        decision.choice,
        decision.reason,
        decision.turned_down,
    )


def describe_refusal(refused: Refused) -> PermitRefusal:
    """Return a pool's refusal in the form that is sent to the entry."""
    return PermitRefusal(
        reason=refused.reason.value,
        text=refused.decision.reason,
        retry_after=refused.retry_after,
    )


class SpeculativeRuns:
    """Speculative runs in the owned pools.

    Attributes
    ----------
    start_locally
        Starts a speculative run of work of this instance's own entry.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self.start_locally: Callable[[Permit], None] | None = None

    def offer(self, owned: OwnedPool, now: float) -> None:
        """Offer idle slots to the entries whose work would finish last."""
        for placement in owned.pool.speculate(now):
            grant = owned.granted.get(placement.work.id)
            if grant is None:
                self._use_for_retry(owned, placement, now)
                continue
            record_decision(self._runtime, placement.decision)
            permit = owned.make_permit(placement.work.id, placement.sampler)
            if grant.entry != self._runtime.settings.id:
                self._runtime.bus.send(grant.entry, RunCopy(permit=permit))
            elif self.start_locally is not None:
                self.start_locally(permit)

    def _use_for_retry(
        self, owned: OwnedPool, placement: Placement, now: float
    ) -> None:
        """Grant a run to work whose first run failed before it was offered.

        The pool counts it as running and has not queued it again. If the run
        were dropped, the work would wait until its deadline.
        """
        work_id = placement.work.id
        queued = owned.queued.pop(work_id, None)
        if queued is None:
            owned.pool.cancel(work_id, now)
            return
        record_decision(self._runtime, placement.decision)
        permit = owned.grant(
            queued, placement.sampler, now, placement.expected_token_interval
        )
        queued.answer.set(PermitReply(permit=permit))

    def end(self, owned: OwnedPool, release: ReleasePermit, now: float) -> None:
        """Free a failed run's slot; refuse the work if nothing else runs it."""
        ended = owned.pool.fail(
            release.work_id, SamplerId(release.upstream), now, started=True
        )
        queued = owned.queued.get(release.work_id)
        if queued is not None and isinstance(ended, Refused):
            owned.queued.pop(release.work_id)
            queued.answer.set(PermitReply(refusal=describe_refusal(ended)))
