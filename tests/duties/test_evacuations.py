"""Orders of upstreams while a zone is evacuated, and at its return."""

import pytest

from guavagate.duties import Scaler
from guavagate.duties._replaced import RETURN_SECONDS, ReplacedZones
from guavagate.duties._targets import CapacityType, choose_targets
from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling
from tests.duties.test_scaler import _ZONES, _Setup

_ZONE = _ZONES[0]
_OTHERS = _ZONES[1:]
_LIMIT = 16


def _evacuate(setup: _Setup, *zones: ZoneId) -> None:
    setup.upstreams.set_evacuated(frozenset(zones))


def _count_registered(setup: _Setup, zone: ZoneId) -> int:
    registered = setup.upstreams.registered()
    return sum(each.zone == zone for each in registered)


def _list_orders(setup: _Setup) -> list[int]:
    """Return the orders for the zone that is evacuated."""
    orders = setup.platform.orders
    return [each.amount for each in orders if each.zone == _ZONE]


@pytest.fixture
def setup() -> _Setup:
    """Return a scaler whose demand is known, with spot upstreams ordered."""
    made = _Setup()
    made.open = {'m0': 200}
    made.start()
    made.clock.advance(45)
    made.platform.orders.clear()
    return made


def test_the_other_zones_replace_an_evacuated_one_in_one_decision(
    setup: _Setup,
) -> None:
    """Orders that follow the upstreams one by one boot them one by one.

    The zone's own upstreams stay: given back, they would be missing at its
    return, and an order for it is refused work by the operators' intent.
    """
    here = _count_registered(setup, _ZONE)
    _evacuate(setup, _ZONE)
    setup.clock.advance(0.6)
    orders = setup.platform.orders
    assert sorted(each.zone for each in orders) == sorted(_OTHERS)
    assert len({each.amount for each in orders}) == 1
    setup.clock.advance(20)
    assert len(orders) == 2
    assert _count_registered(setup, _ZONE) == here
    left = sum(_count_registered(setup, zone) for zone in _OTHERS)
    assert left * 8 >= 200 * 1.1
    assert all(_count_registered(setup, zone) <= _LIMIT for zone in _OTHERS)


@pytest.mark.parametrize('changes_owner', [False, True])
def test_a_zone_that_returns_needs_no_order(
    setup: _Setup, changes_owner: bool
) -> None:
    """Its upstreams are there.

    A new owner does not know the demand, and would order as many as it may.
    """
    before = _count_registered(setup, _ZONE)
    _evacuate(setup, _ZONE)
    setup.clock.advance(10)
    scaler: Scaler = setup.scaler
    if changes_owner:
        scaler.stop()
        setup.clock.advance(4)
        scaler = setup.make_scaler('other')
        scaler.start()
        setup.clock.advance(5)
    _evacuate(setup)
    setup.clock.advance(60)
    assert not _list_orders(setup)
    assert _count_registered(setup, _ZONE) == before
    # What replaced them was given back.
    assert setup.platform.orders[-1].zone in _OTHERS
    assert _count_registered(setup, _OTHERS[0]) == before


def test_replacements_stay_until_the_zone_is_warm(setup: _Setup) -> None:
    """Given back at the return, steps would have neither of the two."""
    _evacuate(setup, _ZONE)
    setup.clock.advance(8)
    replaced = _count_registered(setup, _OTHERS[0])
    ordered = len(setup.platform.orders)
    _evacuate(setup)
    setup.clock.advance(RETURN_SECONDS - 1)
    assert _count_registered(setup, _OTHERS[0]) == replaced
    # Evacuated again soon, nothing changes.
    _evacuate(setup, _ZONE)
    setup.clock.advance(8)
    assert len(setup.platform.orders) == ordered


def test_no_order_while_all_zones_are_evacuated(setup: _Setup) -> None:
    """Two zones at once, then the third: nothing is ordered or given back."""
    _evacuate(setup, *_ZONES)
    setup.open = {'m0': 900}
    setup.clock.advance(20)
    assert not setup.platform.orders
    _evacuate(setup, *_OTHERS)
    setup.clock.advance(RETURN_SECONDS + 8)
    assert {each.zone for each in setup.platform.orders} == {_ZONE}
    assert _count_registered(setup, _ZONE) == _LIMIT


def test_a_scale_in_goes_on_outside_the_evacuated_zone(setup: _Setup) -> None:
    """The demand falls while a zone is evacuated; the zone stays as it is."""
    here = _count_registered(setup, _ZONE)
    _evacuate(setup, _ZONE)
    setup.clock.advance(10)
    setup.open = {'m0': 8}
    setup.clock.advance(40)
    assert _count_registered(setup, _ZONE) == here
    assert _count_registered(setup, _OTHERS[0]) == 8


def test_a_zone_without_capacity_is_not_tried_while_it_is_evacuated(
    setup: _Setup,
) -> None:
    """A refused spot order would be repeated there every few seconds."""
    setup.platform.spot_unavailable.add(_ZONE)
    setup.open = {'m0': 380}
    setup.clock.advance(2)
    assert _list_orders(setup)
    _evacuate(setup, _ZONE)
    setup.clock.advance(0.6)
    setup.platform.orders.clear()
    setup.clock.advance(40)
    assert not _list_orders(setup)


def test_targets_stay_within_the_limits_of_the_other_zones() -> None:
    """Three zones of eight with 16 at most: two replace the third."""
    scaling = Scaling(
        min_upstreams=1,
        max_upstreams=_LIMIT,
        zone_prices=dict.fromkeys(_ZONES, 1.0),
    )
    baseline = dict.fromkeys(_ZONES, 8)
    targets = choose_targets(scaling, baseline, 24, replaced={_ZONE})
    spot = {
        zone: amount
        for (zone, kind), amount in targets.items()
        if kind is CapacityType.SPOT
    }
    assert spot == {_OTHERS[0]: 6, _OTHERS[1]: 6}
    many = choose_targets(scaling, baseline, 90, replaced={_ZONE})
    assert max(many.values()) == _LIMIT - 8


def test_zones_of_other_services_are_not_replaced() -> None:
    """An unknown zone would change the spare capacity of the others."""
    replaced = ReplacedZones()
    assert not replaced.update({ZoneId('nowhere')}, _ZONES, 1.0)
    assert replaced.update({_ZONE}, _ZONES, 2.0)
    assert not replaced.update((), _ZONES, 2.0 + RETURN_SECONDS / 2)
    assert replaced.update((), _ZONES, 2.0 + RETURN_SECONDS)
