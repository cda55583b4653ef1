"""Which samplers are ordered what, now.

Load pattern: new weights every few minutes for every sampler, from a store
with a rate limit, while callers and samples run on all of them.
Without it: all samplers fetch at once and the store refuses them; all swap at
once and for that moment nobody serves; or each waits for an idle moment that
never comes, and samples go stale.

Versions are fetched ahead of the swap at the store's pace. Swaps go in waves
of at most `MAX_OUT` of a deployment, so that the others serve. Within a wave,
a sampler swaps at once or lets its work end, by the deployment's weights of
staleness and trainer idle time (see `decisions.tail.decide_weight_swap`). One
whose version is beyond the staleness bound swaps in any case: what it makes
would be thrown away.
"""

import enum
import math
from typing import Final

import msgspec

from guavagate.decisions import decide_weight_swap
from guavagate.models import SamplerId, WeightVersion

# Half: two waves, so that all have new weights after twice a swap's time. The
# six seconds of two years leave three for a swap; engines need under one.
MAX_OUT: Final = 0.5


class OrderKind(enum.Enum):
    """What a sampler is ordered to do."""

    PREFETCH = 'prefetch'
    SWAP = 'swap'


class SamplerWeights(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a sampler's weights.

    Parameters
    ----------
    ordered
        The order under way, if any.
    """

    sampler: SamplerId
    version: WeightVersion | None
    prefetched: frozenset[WeightVersion] = frozenset()
    running: int = 0
    slots: int = 1
    ordered: OrderKind | None = None


class RolloutInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What a deployment wants; times in seconds.

    Parameters
    ----------
    published
        All published versions, oldest first; the last is the target.
    sample_seconds
        Mean time that a sample takes.
    step_seconds
        The trainer's time between two versions.
    prefetches
        How many more may be ordered now under the store's rate limit.
    """

    published: tuple[WeightVersion, ...]
    max_staleness: int
    staleness_weight: float
    idle_weight: float
    sample_seconds: float
    step_seconds: float
    prefetches: int


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """One order with its reason."""

    sampler: SamplerId
    kind: OrderKind
    version: WeightVersion
    reason: str


def plan_orders(
    situation: RolloutInputs,
    samplers: list[SamplerWeights],
) -> list[WeightOrder]:
    """Return the orders to give now."""
    if not situation.published:
        return []
    target = situation.published[-1]
    behind = [
        one for one in samplers if one.version != target and one.ordered is None
    ]
    behind.sort(
        key=lambda one: (-_versions_behind(situation, one), one.running)
    )
    orders = _plan_prefetches(situation, behind, target)
    orders.extend(_plan_swaps(situation, behind, samplers, target))
    return orders


def _plan_prefetches(
    situation: RolloutInputs,
    behind: list[SamplerWeights],
    target: WeightVersion,
) -> list[WeightOrder]:
    wanting = [one for one in behind if target not in one.prefetched]
    return [
        WeightOrder(
            sampler=one.sampler,
            kind=OrderKind.PREFETCH,
            version=target,
            reason="within the weight store's rate limit",
        )
        for one in wanting[: max(situation.prefetches, 0)]
    ]


def _plan_swaps(
    situation: RolloutInputs,
    behind: list[SamplerWeights],
    samplers: list[SamplerWeights],
    target: WeightVersion,
) -> list[WeightOrder]:
    swapping = sum(one.ordered is OrderKind.SWAP for one in samplers)
    allowed = max(math.floor(len(samplers) * MAX_OUT), 1) - swapping
    orders: list[WeightOrder] = []
    for one in behind:
        if target not in one.prefetched or len(orders) >= allowed:
            continue
        reason = _reason_to_swap(situation, one)
        if reason:
            orders.append(
                WeightOrder(
                    sampler=one.sampler,
                    kind=OrderKind.SWAP,
                    version=target,
                    reason=reason,
                )
            )
    return orders


def _reason_to_swap(situation: RolloutInputs, one: SamplerWeights) -> str:
    """Return why a sampler should swap now; nothing lets its work end."""
    lag = _versions_behind(situation, one)
    if lag > situation.max_staleness:
        return f'{lag} versions behind, beyond the bound'
    if not one.running:
        return 'idle'
    swap, cost, wait = decide_weight_swap(
        in_flight_share=min(one.running / max(one.slots, 1), 1),
        seconds_left=situation.sample_seconds / 2,
        versions_behind=lag,
        step_seconds=situation.step_seconds,
        staleness_weight=situation.staleness_weight,
        idle_weight=situation.idle_weight,
    )
    if swap:
        return f'swapping costs {cost:.3f}, waiting {wait:.3f}'
    return ''


def _versions_behind(situation: RolloutInputs, one: SamplerWeights) -> int:
    """Return how far a sampler lags; an unknown version lags them all."""
    published = situation.published
    if one.version not in published:
        return len(published)
    return len(published) - 1 - published.index(one.version)
