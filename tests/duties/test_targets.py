"""The number of upstreams per zone for the demand of a burst."""

from guavagate.duties import CapacityType, choose_targets
from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling

_A, _B, _C = ZoneId('a'), ZoneId('b'), ZoneId('c')
_SCALING = Scaling(
    min_upstreams=1,
    max_upstreams=16,
    boot_seconds=4,
    spot_price=0.2,
    zone_prices={_A: 1.0, _B: 0.8},
)
_BASE = {_A: 8, _B: 8, _C: 8}


def _count(
    targets: dict[tuple[ZoneId, CapacityType], int], kind: CapacityType
) -> int:
    return sum(amount for key, amount in targets.items() if key[1] is kind)


def test_a_burst_that_fits_keeps_the_baseline() -> None:
    """The targets equal the existing regular upstreams."""
    targets = choose_targets(_SCALING, _BASE, 10)
    assert _count(targets, CapacityType.REGULAR) == 24
    assert _count(targets, CapacityType.SPOT) == 0


def test_a_burst_that_does_not_fit_orders_spot_in_every_zone() -> None:
    """Steps would wait for the last item without a slot."""
    targets = choose_targets(_SCALING, _BASE, 30)
    assert _count(targets, CapacityType.REGULAR) == 24
    assert min(targets[zone, CapacityType.SPOT] for zone in _BASE) > 0


def test_a_burst_fits_without_the_spot_upstreams_of_any_zone() -> None:
    """The platform reclaims all spot upstreams of a zone at once."""
    targets = choose_targets(_SCALING, _BASE, 30)
    spots = [targets[zone, CapacityType.SPOT] for zone in _BASE]
    assert 24 + sum(spots) - max(spots) >= 30


def test_no_zone_exceeds_its_limit() -> None:
    """The limit applies to both capacity types together."""
    targets = choose_targets(_SCALING, _BASE, 500)
    for zone in _BASE:
        both = (
            targets[zone, CapacityType.REGULAR]
            + targets[zone, CapacityType.SPOT]
        )
        assert both == 16


def test_regular_upstreams_replace_unavailable_spot_ones() -> None:
    """A zone answers 409 for some seconds after a reclaim."""
    targets = choose_targets(_SCALING, _BASE, 500, {_B})
    assert targets[_B, CapacityType.SPOT] == 0
    assert targets[_B, CapacityType.REGULAR] == 16
    assert targets[_A, CapacityType.SPOT] == 8


def test_regular_upstreams_replace_spot_ones_in_every_zone() -> None:
    """No zone has spot upstreams; the burst gets regular ones instead."""
    targets = choose_targets(_SCALING, _BASE, 500, set(_BASE))
    assert _count(targets, CapacityType.SPOT) == 0
    assert _count(targets, CapacityType.REGULAR) == 48


def test_the_baseline_is_clamped_to_the_limits() -> None:
    """The configured limits are narrower than the existing number."""
    narrow = Scaling(min_upstreams=2, max_upstreams=6)
    targets = choose_targets(narrow, {_A: 8, _B: 0}, 100)
    assert targets[_A, CapacityType.REGULAR] == 6
    assert targets[_B, CapacityType.REGULAR] >= 2


def test_a_single_zone_gets_all_upstreams() -> None:
    """There is no other zone to spread them over."""
    targets = choose_targets(_SCALING, {_A: 4}, 10)
    assert targets[_A, CapacityType.SPOT] == 7
