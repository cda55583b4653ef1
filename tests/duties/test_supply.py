"""Orders of upstreams while zones have none and owners change."""

import itertools

from guavagate.duties import CapacityType
from guavagate.duties._demand import BurstDemand, count_needed
from guavagate.duties._supply import MAX_RETRY_SECONDS, Supply
from guavagate.duties._targets import choose_targets
from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling
from guavagate.rollouts import TextSeconds

_A, _B, _C = ZoneId('a'), ZoneId('b'), ZoneId('c')
_SCALING = Scaling(
    min_upstreams=1,
    max_upstreams=32,
    boot_seconds=4,
    spot_price=0.22,
    zone_prices={_A: 1.0, _B: 0.8, _C: 0.9},
)
_BASE = {_A: 8, _B: 8, _C: 8}
_SPOT = CapacityType.SPOT
_REGULAR = CapacityType.REGULAR


def test_the_loss_of_one_zone_orders_nothing_elsewhere() -> None:
    """The shares already allow for the loss of any one zone."""
    before = choose_targets(_SCALING, _BASE, 40)
    after = choose_targets(_SCALING, _BASE, 40, {_B}, present={_B: 0})
    assert after == {**before, (_B, _SPOT): 0}


def test_the_loss_of_two_zones_orders_spot_in_the_third() -> None:
    """Spot upstreams cost a fifth of the regular ones that came instead."""
    after = choose_targets(_SCALING, _BASE, 40, {_A, _B}, present={})
    assert after[_C, _SPOT] == 20
    assert sum(after[zone, _REGULAR] for zone in _BASE) == 24


def test_regular_ones_come_only_for_what_steps_need() -> None:
    """No zone has spot upstreams.

    The burst would fill 40 upstreams, but its texts are short, and with 30 of
    them each step is in time.
    """
    everywhere = set(_BASE)
    blind = choose_targets(_SCALING, _BASE, 40, everywhere)
    assert sum(blind[zone, _REGULAR] for zone in _BASE) == 44
    known = choose_targets(_SCALING, _BASE, 40, everywhere, needed=30)
    assert sum(known[zone, _REGULAR] for zone in _BASE) == 33
    enough = choose_targets(_SCALING, _BASE, 40, everywhere, needed=20)
    assert sum(enough[zone, _REGULAR] for zone in _BASE) == 24


def test_spot_upstreams_that_are_left_stay() -> None:
    """A zone lost some of its spot upstreams, and gets no others for now."""
    targets = choose_targets(_SCALING, _BASE, 40, {_B}, present={_B: 4})
    assert targets[_B, _SPOT] == 4


def test_a_retry_never_exceeds_the_limit_of_a_zone() -> None:
    """Regular ones fill the zone, so a single one makes room for the retry."""
    for amount in (30, 60, 90, 500):
        for unavailable in ({_A}, {_A, _B}, set(_BASE)):
            for present in (0, 3, 24):
                targets = choose_targets(
                    _SCALING,
                    _BASE,
                    amount,
                    unavailable,
                    retried=[_A],
                    present=dict.fromkeys(_BASE, present),
                )
                for zone in _BASE:
                    both = targets[zone, _REGULAR] + targets[zone, _SPOT]
                    assert both <= 32
                    assert targets[zone, _REGULAR] >= 8
    full = choose_targets(_SCALING, _BASE, 500, {_A}, retried=[_A])
    assert full[_A, _SPOT] == 1


def test_refused_orders_are_repeated_at_growing_intervals() -> None:
    """None come for a minute; each call is refused and costs."""
    supply = Supply()
    key = _A, _SPOT
    supply.record_reclaim(_A, 0)
    tries = []
    for tick in range(120):
        if supply.is_retry_due(key, tick / 2):
            tries.append(tick / 2)
            supply.record_refusal(key, tick / 2)
    assert tries[0] == 8
    assert len(tries) <= 5
    gaps = [after - before for before, after in itertools.pairwise(tries)]
    assert gaps == sorted(gaps)
    assert max(gaps) == MAX_RETRY_SECONDS


def test_an_accepted_order_that_brings_nothing_counts_as_refused() -> None:
    """The platform accepts again and again, and no upstream comes."""
    supply = Supply()
    key = _A, _SPOT
    first = supply.record_refusal(key, 0)
    supply.record_acceptance(key, first)
    assert supply.is_awaited(key)
    assert not supply.is_available(key)
    second = supply.record_refusal(key, first + 6)
    assert second - first - 6 > first
    supply.record_acceptance(key, second)
    supply.record_arrival(key)
    assert supply.is_available(key)


def test_upstreams_needed_follow_the_wait_that_steps_afford() -> None:
    """Two models' bursts of 100 items; texts of a second, at most 3 or 7."""
    texts = {'m': TextSeconds(1, 3), 'n': TextSeconds(1, 7)}
    burst = {'m': 100, 'n': 100}
    needed = count_needed(burst, texts, 8, 7.5)
    assert needed is not None
    assert round(needed * 8) == round(100 / 5.5 + 100 / 2)
    assert count_needed({'o': 4}, texts, 8, 7.5) is None
    assert count_needed({'o': 0}, texts, 8, 7.5) == 0


def test_small_changes_of_the_need_order_nothing() -> None:
    """The mean length changes with each text; each change is an order."""
    demand = BurstDemand()
    demand.record({'m': 100}, 0)
    seen = {
        demand.compute_needed({'m': TextSeconds(1 + step / 100, 7)}, 8, 7.5)
        for step in range(10)
    }
    assert len(seen) == 1
    other = demand.compute_needed({'m': TextSeconds(2, 7)}, 8, 7.5)
    assert other not in seen
