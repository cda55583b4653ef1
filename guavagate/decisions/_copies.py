"""Second copies of slow work: hedges for callers, the tail of a step."""

from guavagate.decisions import _reasons, retries, tail
from guavagate.decisions._attempts import Attempts, AttemptTable
from guavagate.decisions._fleet import Fleet
from guavagate.decisions._sampler import Running, SamplerState
from guavagate.decisions._work import Kind, Placement, Safeguard
from guavagate.decisions.placement import choose_least_loaded, expect_cost


def find(
    fleet: Fleet,
    table: AttemptTable,
    safeguards: frozenset[Safeguard],
    now: float,
) -> list[Placement]:
    """Start the copies that are worth it; the slowest work goes first."""
    slow = []
    for state in fleet.samplers.values():
        for running in state.running.values():
            if _is_slow(running, safeguards, now):
                pace = state.health.pace or fleet.pace
                slow.append((tail.remaining(running, pace, now), running))
    slow.sort(key=lambda item: -item[0])
    copies = (_copy(fleet, table, run, left, now) for left, run in slow)
    return [copy for copy in copies if copy is not None]


def _is_slow(
    running: Running, safeguards: frozenset[Safeguard], now: float
) -> bool:
    if not running.work.idempotent:
        return False
    if running.work.kind is Kind.ROLLOUT:
        return Safeguard.TAIL in safeguards
    if Safeguard.HEDGING not in safeguards:
        return False
    return now - running.start > retries.HEDGE_AFTER * running.expected


def _copy(
    fleet: Fleet,
    table: AttemptTable,
    running: Running,
    left: float,
    now: float,
) -> Placement | None:
    work = running.work
    attempts = table.get(work.id)
    if attempts is None or attempts.copied:
        return None
    fitting = [
        state
        for state in fleet.free()
        if state.id not in attempts.samplers and not state.blocks(work)
    ]
    if not fitting:
        return None
    state, _ = choose_least_loaded(work, fitting)
    cost, _ = expect_cost(work, state)
    pace = state.health.pace or fleet.pace
    if not tail.gains_from_copy(left, cost * pace):
        return None
    return _start(fleet, table, attempts, state, now)


def _start(
    fleet: Fleet,
    table: AttemptTable,
    attempts: Attempts,
    state: SamplerState,
    now: float,
) -> Placement | None:
    work = attempts.work
    # A step's copies only take slots that are idle, so no budget bounds them.
    if work.kind is Kind.INTERACTIVE and not table.hedges.spend():
        return None
    attempts.copied = True
    running = table.start(attempts, state, now)
    decision = _reasons.placed(
        work,
        state,
        'the first copy is expected to end later',
        fleet.samplers.values(),
        kind='copy',
    )
    return Placement(
        work=work,
        sampler=state.id,
        expected_seconds=running.expected,
        decision=decision,
        duplicate=True,
    )
