"""Which samplers are ordered what."""

import pytest

from guavagate.models import SamplerId, WeightVersion
from guavagate.weights import (
    OrderKind,
    RolloutInputs,
    SamplerWeights,
    plan_orders,
)

_OLD, _NEW = WeightVersion(1), WeightVersion(2)


def _situation(**fields: float) -> RolloutInputs:
    known = {
        'max_staleness': 1,
        'staleness_weight': 1.0,
        'idle_weight': 1.0,
        'sample_seconds': 4.0,
        'step_seconds': 60.0,
        'prefetches': 2,
    }
    return RolloutInputs(
        published=(_OLD, _NEW),
        **{**known, **fields},  # type: ignore[arg-type]
    )


def _sampler(number: int, **fields: object) -> SamplerWeights:
    known: dict[str, object] = {'version': _OLD, 'slots': 8}
    return SamplerWeights(
        sampler=SamplerId(f's{number}'),
        **{**known, **fields},  # type: ignore[arg-type]
    )


def _fetched(count: int, running: int = 0) -> list[SamplerWeights]:
    return [
        _sampler(number, prefetched=frozenset((_NEW,)), running=running)
        for number in range(count)
    ]


def test_fetches_keep_to_the_stores_pace() -> None:
    """Six samplers want the version; two may fetch now."""
    orders = plan_orders(_situation(), [_sampler(n) for n in range(6)])
    assert [one.kind for one in orders] == [OrderKind.PREFETCH] * 2


def test_at_most_half_swap_at_once() -> None:
    """The others serve meanwhile; one that swaps already counts."""
    assert len(plan_orders(_situation(), _fetched(6))) == 3
    busy = _sampler(9, ordered=OrderKind.SWAP)
    assert len(plan_orders(_situation(), [*_fetched(5), busy])) == 2


@pytest.mark.parametrize(
    ('staleness', 'idle', 'swaps'), [(4.0, 1.0, 1), (1.0, 4.0, 0)]
)
def test_the_weights_decide_whether_work_is_cut(
    staleness: float, idle: float, swaps: int
) -> None:
    """The Authority swaps at once; the Trust lets samples end first."""
    situation = _situation(staleness_weight=staleness, idle_weight=idle)
    assert len(plan_orders(situation, _fetched(1, running=8))) == swaps


def test_a_sampler_beyond_the_bound_swaps_whatever_the_weights_say() -> None:
    """What it makes would be thrown away."""
    situation = _situation(max_staleness=0, idle_weight=100)
    assert plan_orders(situation, _fetched(1, running=8))


def test_a_sampler_with_the_target_is_left_alone() -> None:
    """Nothing is ordered when all have it, or nothing was published."""
    assert not plan_orders(_situation(), [_sampler(1, version=_NEW)])
