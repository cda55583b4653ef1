"""Tests of the plan of weight orders."""

import pytest

from guavagate.models import SamplerId, WeightVersion
from guavagate.weights import (
    OrderKind,
    RolloutInputs,
    SamplerWeights,
    plan_orders,
)

_OLD, _NEW = WeightVersion(1), WeightVersion(2)


def _inputs(**fields: float) -> RolloutInputs:
    defaults = {
        'max_staleness': 1,
        'staleness_weight': 1.0,
        'idle_weight': 1.0,
        'sample_seconds': 4.0,
        'step_seconds': 60.0,
        'prefetches': 2,
    }
    return RolloutInputs(
        published=(_OLD, _NEW),
        **{**defaults, **fields},  # type: ignore[arg-type]
    )


def _sampler(number: int, **fields: object) -> SamplerWeights:
    defaults: dict[str, object] = {'version': _OLD, 'slots': 8}
    return SamplerWeights(
        sampler=SamplerId(f's{number}'),
        **{**defaults, **fields},  # type: ignore[arg-type]
    )


def _fetched(count: int, running: int = 0) -> list[SamplerWeights]:
    return [
        _sampler(number, prefetched=frozenset((_NEW,)), running=running)
        for number in range(count)
    ]


def test_prefetches_stay_within_the_rate_limit() -> None:
    """Six samplers need the version; the rate limit allows two prefetches."""
    orders = plan_orders(_inputs(), [_sampler(n) for n in range(6)])
    assert [order.kind for order in orders] == [OrderKind.PREFETCH] * 2


def test_at_most_half_swap_at_once() -> None:
    """The others keep serving; a swap in progress counts towards the limit."""
    assert len(plan_orders(_inputs(), _fetched(6))) == 3
    swapping = _sampler(9, ordered=OrderKind.SWAP)
    assert len(plan_orders(_inputs(), [*_fetched(5), swapping])) == 2


@pytest.mark.parametrize(
    ('staleness', 'idle', 'swaps'), [(4.0, 1.0, 1), (1.0, 4.0, 0)]
)
def test_the_weights_decide_whether_work_is_interrupted(
    staleness: float, idle: float, swaps: int
) -> None:
    """A high staleness weight swaps immediately; a high idle weight waits."""
    inputs = _inputs(staleness_weight=staleness, idle_weight=idle)
    assert len(plan_orders(inputs, _fetched(1, running=8))) == swaps


def test_a_sampler_beyond_the_staleness_bound_always_swaps() -> None:
    """Its samples would be discarded, so the weights don't matter."""
    inputs = _inputs(max_staleness=0, idle_weight=100)
    assert plan_orders(inputs, _fetched(1, running=8))


def test_a_sampler_with_the_target_gets_no_order() -> None:
    """Nothing is ordered when every sampler has the target version."""
    assert not plan_orders(_inputs(), [_sampler(1, version=_NEW)])
