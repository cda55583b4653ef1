"""Speculative runs of slow work: hedges for callers, and the tail of a step."""

from guavagate.decisions import _reasons, ejection, retries, tail
from guavagate.decisions._attempts import Attempts, AttemptTable
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._sampler import PoolSamplerState, RunningWork
from guavagate.decisions._work import Placement, Safeguard, WorkKind
from guavagate.decisions.placement import choose_least_loaded


def find_candidates(
    fleet: Fleet,
    table: AttemptTable,
    safeguards: frozenset[Safeguard],
    now: float,
    *,
    idle: bool,
) -> list[RunningWork]:
    """Return the work that a speculative run could speed up, the slowest first.

    Parameters
    ----------
    idle
        Whether nothing is queued; otherwise only samples that delay an older
        step are worth a slot.
    """
    candidates = []
    for state in fleet.samplers.values():
        for running in state.running.values():
            if not idle and not table.is_straggler(running.work):
                continue
            if _is_slow(running, fleet, safeguards, now):
                token_interval = _get_token_interval(fleet, state, running)
                candidates.append(
                    (
                        tail.estimate_remaining_seconds(
                            running, token_interval, now
                        ),
                        running,
                    )
                )
    candidates.sort(key=lambda item: -item[0])
    return [running for _, running in candidates]


def start_speculative_runs(
    fleet: Fleet, table: AttemptTable, candidates: list[RunningWork], now: float
) -> list[Placement]:
    """Start the runs that are worthwhile and find a free slot."""
    placements = (
        _try_start(fleet, table, running, now) for running in candidates
    )
    return [each for each in placements if each is not None]


def _get_token_interval(
    fleet: Fleet, state: PoolSamplerState, running: RunningWork
) -> float:
    return (
        running.token_interval
        or state.health.token_interval
        or fleet.token_interval
    )


def _is_slow(
    running: RunningWork,
    fleet: Fleet,
    safeguards: frozenset[Safeguard],
    now: float,
) -> bool:
    if not running.work.idempotent:
        return False
    if running.work.kind is WorkKind.ROLLOUT:
        return Safeguard.TAIL in safeguards
    if Safeguard.HEDGING not in safeguards:
        return False
    usual = fleet.median_interval or fleet.token_interval
    if (
        running.token_interval
        and running.token_interval > ejection.SLOW_STREAM_FACTOR * usual
    ):
        return True
    return (
        now - running.start
        > retries.HEDGE_AFTER_FACTOR * running.expected_seconds
    )


def _try_start(
    fleet: Fleet,
    table: AttemptTable,
    running: RunningWork,
    now: float,
) -> Placement | None:
    work = running.work
    attempts = table.get(work.id)
    if (
        attempts is None
        or attempts.has_speculative_run
        or not attempts.samplers
    ):
        return None
    first = fleet.samplers.get(attempts.samplers[0])
    if first is None:
        return None
    fitting = [
        state
        for state in fleet.find_fitting(work)
        if state.id not in attempts.samplers
    ]
    if not fitting:
        return None
    state, _ = choose_least_loaded(work, fitting)
    token_interval = _get_token_interval(fleet, first, running)
    other_interval = state.health.token_interval or fleet.token_interval
    if not tail.is_speculation_worthwhile(
        running, token_interval, other_interval, now
    ):
        return None
    return _start(fleet, table, attempts, state, now)


def _start(
    fleet: Fleet,
    table: AttemptTable,
    attempts: Attempts,
    state: PoolSamplerState,
    now: float,
) -> Placement | None:
    work = attempts.work
    # Runs for a step's tail only use idle slots, so no budget limits them.
    if work.kind is WorkKind.INTERACTIVE and not table.hedge_budget.spend():
        return None
    attempts.has_speculative_run = True
    running = table.start(attempts, state, now)
    decision = _reasons.make_placed(
        work,
        state,
        'the first copy is expected to end later',
        fleet.samplers.values(),
        kind='copy',
    )
    return Placement(
        work=work,
        sampler=state.id,
        expected_seconds=running.expected_seconds,
        expected_token_interval=fleet.token_interval,
        decision=decision,
        duplicate=True,
    )
