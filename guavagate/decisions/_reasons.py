"""Builds decisions with their reasons, for the log and `explain`."""

from collections.abc import Iterable

from guavagate.decisions._sampler import PoolSamplerState
from guavagate.decisions._work import (
    Decision,
    Queued,
    RefusalReason,
    Refused,
    Work,
    has_constraints,
)


def make_queued(work: Work, wait: float, reason: str) -> Queued:
    """Return that the work is queued, with the reason."""
    decision = Decision(
        subject=work.id, kind='admission', choice='queued', reason=reason
    )
    return Queued(work_id=work.id, expected_wait=wait, decision=decision)


def make_refused(
    work: Work, reason: RefusalReason, wait: float, retry_after: float
) -> Refused:
    """Return that the work is refused, with the reason."""
    decision = Decision(
        subject=work.id,
        kind='admission',
        choice='refused',
        reason=reason.value,
        turned_down={'queue': f'expected wait {wait:.3f} s'},
    )
    return Refused(
        work_id=work.id,
        reason=reason,
        retry_after=retry_after,
        decision=decision,
    )


def make_placed(
    work: Work,
    chosen: PoolSamplerState,
    reason: str,
    samplers: Iterable[PoolSamplerState],
    kind: str = 'sampler',
) -> Decision:
    """Return where the work goes, and why not to the other samplers."""
    return Decision(
        subject=work.id,
        kind=kind,
        choice=chosen.id,
        reason=reason,
        turned_down=_explain_others(work, chosen, samplers),
    )


def _explain_others(
    work: Work, chosen: PoolSamplerState, samplers: Iterable[PoolSamplerState]
) -> dict[str, str]:
    # One plain loop, as a function call for each sampler took a fifth of the
    # time of a placement.
    turned_down: dict[str, str] = {}
    constrained = has_constraints(work)
    for state in samplers:
        if constrained or state.leaving:
            reason = state.find_block_reason(work)
            if reason:
                turned_down[state.id] = reason
                continue
        if state.occupied < state.usable:
            turned_down[state.id] = 'ranked lower'
        elif state.share > 0:
            turned_down[state.id] = 'no free slot'
        else:
            turned_down[state.id] = 'ejected'
    turned_down.pop(chosen.id, None)
    return turned_down
