"""Decisions with their reasons, as the log and explain show them."""

from collections.abc import Iterable

from guavagate.decisions._sampler import SamplerState
from guavagate.decisions._work import (
    Decision,
    Queued,
    RefusalReason,
    Refused,
    Work,
)


def queued(work: Work, wait: float, reason: str) -> Queued:
    """Return that work waits."""
    decision = Decision(
        subject=work.id, kind='admission', choice='queued', reason=reason
    )
    return Queued(work_id=work.id, expected_wait=wait, decision=decision)


def refused(
    work: Work, reason: RefusalReason, wait: float, retry_after: float
) -> Refused:
    """Return that work is refused."""
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


def placed(
    work: Work,
    chosen: SamplerState,
    reason: str,
    samplers: Iterable[SamplerState],
    kind: str = 'sampler',
) -> Decision:
    """Return where work goes, and why not elsewhere."""
    return Decision(
        subject=work.id,
        kind=kind,
        choice=chosen.id,
        reason=reason,
        turned_down={
            state.id: _turn_down(work, state)
            for state in samplers
            if state is not chosen
        },
    )


def _turn_down(work: Work, state: SamplerState) -> str:
    if state.occupied >= state.usable:
        full = 'no free slot' if state.share > 0 else 'ejected'
        return state.blocks(work) or full
    return state.blocks(work) or 'ranked lower'
