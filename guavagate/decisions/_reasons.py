"""Decisions with their reasons, as the log and explain show them."""

from collections.abc import Iterable

from guavagate.decisions._sampler import SamplerState
from guavagate.decisions._work import (
    Decision,
    Queued,
    RefusalReason,
    Refused,
    Work,
    has_constraints,
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
        turned_down=_turn_down(work, chosen, samplers),
    )


def _turn_down(
    work: Work, chosen: SamplerState, samplers: Iterable[SamplerState]
) -> dict[str, str]:
    # One plain loop: with a call for each sampler this was a fifth of the
    # whole choice's time.
    turned_down: dict[str, str] = {}
    demands = has_constraints(work)
    for state in samplers:
        if demands or state.leaving:
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
