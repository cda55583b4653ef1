"""Plans which samplers prefetch or swap weights.

Load pattern: every few minutes all samplers need new weights from a store with
a rate limit, while they generate for callers and samples.
Without a plan, all samplers fetch at the same time and the store refuses them;
all swap at the same time and none serves; or each waits for an idle moment
that never comes, and its samples become stale.

Versions are prefetched before the swap, within the store's rate limit. Samplers
swap in waves of at most `MAX_SWAPPING_SHARE` of a deployment, so that the
others continue to serve. Within a wave, a sampler swaps immediately or finishes
its work first, depending on the deployment's weights for staleness and trainer
idle time (see `decisions.tail.decide_weight_swap`). A sampler whose version is
beyond the staleness bound always swaps, since its samples would be discarded.
"""

import enum
import math
from typing import Final

import msgspec

from guavagate.decisions import decide_weight_swap
from guavagate.models import SamplerId, WeightVersion

# Half means two waves, so a rollout takes two swap times. At the size that the
# project is designed for, new weights have to be on all samplers within six
# seconds: three for each swap, of which engines need less than one.
MAX_SWAPPING_SHARE: Final = 0.5


class OrderKind(enum.Enum):
    """Kind of an order to a sampler."""

    PREFETCH = 'prefetch'
    SWAP = 'swap'


class SamplerWeights(msgspec.Struct, frozen=True, kw_only=True):
    """The observed weights and load of a sampler.

    Parameters
    ----------
    ordered
        The order in progress, if any.
    """

    sampler: SamplerId
    version: WeightVersion | None
    prefetched: frozenset[WeightVersion] = frozenset()
    running: int = 0
    slots: int = 1
    ordered: OrderKind | None = None


class RolloutInputs(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs of the plan for one deployment.

    Parameters
    ----------
    published
        All published versions, oldest first; the last is the target.
    sample_seconds
        Mean duration of a sample.
    step_seconds
        Time between the trainer's last two versions.
    prefetches
        Number of prefetches that the store's rate limit allows now.
    """

    published: tuple[WeightVersion, ...]
    max_staleness: int
    staleness_weight: float
    idle_weight: float
    sample_seconds: float
    step_seconds: float
    prefetches: int


class WeightOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to a sampler and its reason."""

    sampler: SamplerId
    kind: OrderKind
    version: WeightVersion
    reason: str


def plan_orders(
    inputs: RolloutInputs,
    samplers: list[SamplerWeights],
) -> list[WeightOrder]:
    """Return the orders to send now."""
    if not inputs.published:
        return []
    target = inputs.published[-1]
    outdated = [
        each
        for each in samplers
        if each.version != target and each.ordered is None
    ]
    outdated.sort(
        key=lambda each: (-_count_versions_behind(inputs, each), each.running)
    )
    orders = _plan_prefetches(inputs, outdated, target)
    orders.extend(_plan_swaps(inputs, outdated, samplers, target))
    return orders


def _plan_prefetches(
    inputs: RolloutInputs,
    outdated: list[SamplerWeights],
    target: WeightVersion,
) -> list[WeightOrder]:
    not_prefetched = [
        each for each in outdated if target not in each.prefetched
    ]
    return [
        WeightOrder(
            sampler=candidate.sampler,
            kind=OrderKind.PREFETCH,
            version=target,
            reason="within the weight store's rate limit",
        )
        for candidate in not_prefetched[: max(inputs.prefetches, 0)]
    ]


def _plan_swaps(
    inputs: RolloutInputs,
    outdated: list[SamplerWeights],
    samplers: list[SamplerWeights],
    target: WeightVersion,
) -> list[WeightOrder]:
    swapping = sum(each.ordered is OrderKind.SWAP for each in samplers)
    allowed = max(math.floor(len(samplers) * MAX_SWAPPING_SHARE), 1) - swapping
    orders: list[WeightOrder] = []
    for candidate in outdated:
        if target not in candidate.prefetched or len(orders) >= allowed:
            continue
        reason = _find_swap_reason(inputs, candidate)
        if reason:
            orders.append(
                WeightOrder(
                    sampler=candidate.sampler,
                    kind=OrderKind.SWAP,
                    version=target,
                    reason=reason,
                )
            )
    return orders


def _find_swap_reason(inputs: RolloutInputs, sampler: SamplerWeights) -> str:
    """Return why a sampler should swap now; empty to finish its work first."""
    lag = _count_versions_behind(inputs, sampler)
    if lag > inputs.max_staleness:
        return f'{lag} versions behind, beyond the bound'
    if not sampler.running:
        return 'idle'
    swap, cost, wait = decide_weight_swap(
        in_flight_share=min(sampler.running / max(sampler.slots, 1), 1),
        seconds_left=inputs.sample_seconds / 2,
        versions_behind=lag,
        step_seconds=inputs.step_seconds,
        staleness_weight=inputs.staleness_weight,
        idle_weight=inputs.idle_weight,
    )
    if swap:
        return f'swapping costs {cost:.3f}, waiting {wait:.3f}'
    return ''


def _count_versions_behind(
    inputs: RolloutInputs, sampler: SamplerWeights
) -> int:
    """Return a sampler's lag; an unknown version lags all published ones."""
    published = inputs.published
    if sampler.version not in published:
        return len(published)
    return len(published) - 1 - published.index(sampler.version)
