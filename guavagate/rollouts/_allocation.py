"""Decides which models each sampler serves, and why; uses no network.

While the samplers are about equally fast and no trainer is further behind than
the others, they are shared by count (`_assign.py`). Otherwise they are shared
by capacity: a sampler moves only if that shortens the longest step by more than
the load that it costs, and few samplers move at a time.

Failure pattern: a job owner is lost, and its successor knows neither the
trainers' work nor the samplers' event intervals. If it shared the samplers by
count at once, and by capacity as soon as intervals are known, most of them
would load twice within seconds. It therefore recovers the assignment from the
versions that the samplers have loaded, and keeps it until it knows more.
"""

import enum
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from guavagate.models import UpstreamId
from guavagate.rollouts._assign import (
    PROPORTIONAL_MIN_SAMPLERS,
    Assignment,
    assign_samplers,
)
from guavagate.rollouts._capacity import (
    CapacityScore,
    Fleet,
    ModelWork,
    Speeds,
    classify,
    update_speeds,
    weigh_models,
)
from guavagate.rollouts._moves import (
    Owners,
    count_kinds,
    find_newest,
    is_free_move,
    plan_moves,
)

# How long a recovered assignment is kept while the work or the event intervals
# are unknown. The successor's first orders wait for about four seconds, and
# texts give intervals within a second after that.
HOLD_SECONDS: Final = 10.0
# How long an owner looks for the former owner's assignment. Samplers that have
# just registered are known by then, and none has loaded a version by its order.
RECOVERY_SECONDS: Final = 1.5
# The share of samplers whose event interval must be known to end that sooner.
KNOWN_SHARE: Final = 0.5
# The share of samplers of another speed from which a fleet is uneven, and below
# which it is even again. A few slow ones lose their texts instead.
UNEVEN_SHARE: Final = 0.125
EVEN_SHARE: Final = 0.0625
UNEVEN_CLASSES: Final = 2
# How many steps a trainer must be further behind than another, and when this
# ends.
LATE_STEPS: Final = 0.5
RECOVERED_STEPS: Final = 0.25
# One in this many samplers may load for a move within a window, which is about
# the period of a trainer's steps.
SAMPLERS_PER_MOVE: Final = 8
WINDOW_SECONDS: Final = 4.0
# The interval at which moves are planned.
PLAN_INTERVAL_SECONDS: Final = 0.5


class AllocationReason(enum.Enum):
    """Why an assignment is what it is."""

    COUNT = 'shared by count'
    RECOVERED = 'recovered from the loaded versions'
    HELD = 'kept until work and event intervals are known'
    KEPT = 'kept, as no move gains enough'
    CAPACITY = 'moved, as samplers are unequally fast'
    LATENESS = 'moved, as a trainer is behind'


class AllocationState(msgspec.Struct):
    """What is remembered between decisions; times on the runtime's clock."""

    first_at: float | None = None
    held_until: float | None = None
    planned_at: float | None = None
    uneven: bool = False
    late: bool = False
    delayed: int = 0
    loads: list[float] = []
    speeds: Speeds = {}


class Allocation(msgspec.Struct, frozen=True):
    """The models of each sampler, and the reason.

    `gain` is the share by which the planned moves shorten the longest step,
    `moved` how many of them are made and `delayed` how many wait, as many
    samplers have moved recently. `quotients` are the work per capacity.
    """

    assignment: Assignment
    reason: AllocationReason
    moved: int = 0
    delayed: int = 0
    gain: float = 0
    quotients: dict[str, float] = {}


def allocate_samplers(
    models: Sequence[str],
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
    state: AllocationState,
    now: float,
) -> Allocation:
    """Return the models of each sampler; update `state`.

    Parameters
    ----------
    works
        The work of each model, if known.
    previous
        The last assignment. One from before this instance became the owner is
        replaced by the former owner's.
    """
    if not models or len(fleet) < PROPORTIONAL_MIN_SAMPLERS * len(models):
        return _share_by_count(models, fleet, works, previous)
    measured = sum(each.relative_interval > 0 for each in fleet.values())
    fleet = update_speeds(fleet, state.speeds)
    _update_state(fleet, works, state)
    recovered = _recover_soon(models, fleet, state, now)
    if recovered and state.held_until is None:
        state.held_until = now + HOLD_SECONDS
        extended = _extend(models, fleet, works, recovered)
        return Allocation(extended, AllocationReason.RECOVERED)
    is_known = all(each in works and works[each].workload for each in models)
    if now < (state.held_until or 0):
        if not is_known or measured < KNOWN_SHARE * len(fleet):
            extended = _extend(models, fleet, works, recovered | previous)
            return Allocation(extended, AllocationReason.HELD)
        state.held_until = now
    if not is_known or not (state.uneven or state.late):
        return _share_by_count(models, fleet, works, previous)
    own_works = {each: works[each] for each in models}
    return _share_by_capacity(fleet, own_works, previous, state, now)


def _recover_soon(
    models: Sequence[str], fleet: Fleet, state: AllocationState, now: float
) -> Assignment:
    """Return the former owner's assignment while this one has just begun."""
    if state.first_at is None:
        state.first_at = now
    if now - state.first_at > RECOVERY_SECONDS:
        return {}
    return recover_assignment(models, fleet)


def recover_assignment(models: Sequence[str], fleet: Fleet) -> Assignment:
    """Return the former owner's assignment, judged by the loaded versions.

    A sampler serves the model of which it has about the newest version. Returns
    nothing unless that finds samplers for each model: at the start of a
    deployment all samplers have the same versions.
    """
    newest = find_newest(fleet)
    recovered: Assignment = {}
    for sampler, capacity in fleet.items():
        lags = {
            model: newest.get(model, 0) - capacity.versions.get(model, 0)
            for model in models
        }
        least = min(lags.values())
        nearest = [model for model, lag in lags.items() if lag == least]
        if least <= 1 and len(nearest) == 1:
            recovered[sampler] = frozenset(nearest)
    found = frozenset().union(*recovered.values())
    return recovered if found == frozenset(models) else {}


def _share_by_count(
    models: Sequence[str],
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
) -> Allocation:
    versions = {each: sampler.versions for each, sampler in fleet.items()}
    workloads = {model: work.workload for model, work in works.items()}
    return Allocation(
        assign_samplers(models, versions, previous, workloads),
        AllocationReason.COUNT,
    )


def _share_by_capacity(
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
    state: AllocationState,
    now: float,
) -> Allocation:
    weights = weigh_models(works)
    owners = _find_owners(fleet, weights, previous)
    if owners is None:
        return _share_by_count(list(works), fleet, works, previous)
    due = state.planned_at is None or (
        now - state.planned_at >= PLAN_INTERVAL_SECONDS
    )
    if not due:
        return Allocation(_to_assignment(owners), AllocationReason.KEPT)
    state.planned_at = now
    plan = plan_moves(owners, fleet, weights)
    moves = _limit_loads(plan.moves, fleet, state, now)
    state.delayed = len(plan.moves) - len(moves)
    owners |= moves
    score = CapacityScore(weights, map(classify, fleet.values()))
    reason = (
        AllocationReason.CAPACITY if state.uneven else AllocationReason.LATENESS
    )
    return Allocation(
        _to_assignment(owners),
        reason if moves else AllocationReason.KEPT,
        moved=len(moves),
        delayed=state.delayed,
        gain=plan.gain,
        quotients=score.compute_quotients(count_kinds(owners, fleet, weights)),
    )


def _limit_loads(
    moves: Sequence[tuple[UpstreamId, str]],
    fleet: Fleet,
    state: AllocationState,
    now: float,
) -> Owners:
    """Return the first moves that may be made now."""
    newest = find_newest(fleet)
    state.loads = [at for at in state.loads if now - at < WINDOW_SECONDS]
    allowed = max(len(fleet) // SAMPLERS_PER_MOVE, 1) - len(state.loads)
    made: Owners = {}
    for sampler, model in moves:
        if not is_free_move(fleet, newest, sampler, model):
            if allowed <= 0:
                break
            allowed -= 1
            state.loads.append(now)
        made[sampler] = model
    return made


def _update_state(
    fleet: Fleet, works: Mapping[str, ModelWork], state: AllocationState
) -> None:
    """Update whether the fleet is uneven or a trainer is late."""
    other = sum(
        abs(classify(each)[1]) >= UNEVEN_CLASSES for each in fleet.values()
    )
    limit = EVEN_SHARE if state.uneven else UNEVEN_SHARE
    state.uneven = other >= limit * len(fleet)
    behind = [each.steps_behind for each in works.values()]
    lead = max(behind, default=0) - min(behind, default=0)
    state.late = lead >= (RECOVERED_STEPS if state.late else LATE_STEPS)


def _extend(
    models: Sequence[str],
    fleet: Fleet,
    works: Mapping[str, ModelWork],
    previous: Assignment,
) -> Assignment:
    """Return the previous assignment, with new samplers shared out."""
    weights = weigh_models(
        {each: works.get(each, ModelWork()) for each in models}
    )
    if not all(weights.values()):
        weights = dict.fromkeys(models, 1.0)
    owners = _find_owners(fleet, weights, previous)
    if owners is None:
        return _share_by_count(models, fleet, works, previous).assignment
    return _to_assignment(owners)


def _find_owners(
    fleet: Fleet, weights: Mapping[str, float], previous: Assignment
) -> Owners | None:
    """Return the model of each sampler; None if a model would have none.

    A sampler without one goes to the model with the most work per capacity.
    """
    owners: Owners = {}
    for sampler in fleet:
        known = previous.get(sampler, frozenset())
        if len(known) == 1 and known <= weights.keys():
            owners |= dict.fromkeys((sampler,), next(iter(known)))
    if set(owners.values()) != weights.keys():
        return None
    counts = count_kinds(owners, fleet, weights)
    score = CapacityScore(weights, map(classify, fleet.values()))
    added = [sampler for sampler in fleet if sampler not in owners]
    added.sort(key=lambda each: (classify(fleet[each])[1], each))
    for sampler in added:
        quotients = score.compute_quotients(counts)
        model = max(sorted(quotients), key=quotients.__getitem__)
        owners[sampler] = model
        counts[model][classify(fleet[sampler])] += 1
    return owners


def _to_assignment(owners: Owners) -> Assignment:
    return {sampler: frozenset((model,)) for sampler, model in owners.items()}
