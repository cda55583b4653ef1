"""Reclaims of spot upstreams, with notice, and what is ordered after them."""

import functools

import msgspec
import pytest

from guavagate.models import ZoneId
from guavagate.ports.duties import DutyAnswer, LeaseHolder, ScaleOrder
from guavagate.rollouts import TextSeconds
from tests.duties.test_scaler import _ZONES, _Setup

NOTICE_SECONDS = 2.5
MAX_UPSTREAMS = 16


def _reclaim(setup: _Setup, zone: ZoneId) -> None:
    """Take a zone's spot upstreams away, after a notice."""
    setup.platform.spot_unavailable.add(zone)
    for upstream in setup.list_kind(zone, spot=True):
        setup.upstreams.put(
            msgspec.structs.replace(
                upstream, leaving=True, leaves_in=NOTICE_SECONDS
            )
        )
        setup.clock.call_at(
            setup.clock.now() + NOTICE_SECONDS,
            functools.partial(setup.upstreams.remove, upstream.id),
        )


def _list_orders(setup: _Setup, zone: ZoneId, *, spot: bool) -> list[int]:
    return [
        each.amount
        for each in setup.platform.orders
        if each.zone == zone and each.spot == spot
    ]


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> _Setup:
    """Return a scaler whose platform checks the limit of each order."""
    made = _Setup()
    accepted: dict[tuple[ZoneId, bool], int] = {}
    order_at_platform = made.platform.order

    def order(holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        answer = order_at_platform(holder, order)
        if answer is DutyAnswer.ACCEPTED:
            accepted[order.zone, order.spot] = order.amount
            regular = accepted.get((order.zone, False), 8)
            spot = accepted.get((order.zone, True), 0)
            assert 1 <= regular + spot <= MAX_UPSTREAMS
        return answer

    monkeypatch.setattr(made.platform, 'order', order)
    return made


def test_a_reclaimed_zone_is_not_ordered_from_at_once(setup: _Setup) -> None:
    """Orders right after a reclaim are refused, and each call costs."""
    setup.start()
    setup.open = {'m0': 380}
    setup.clock.advance(8)
    zone = _ZONES[1]
    before = len(_list_orders(setup, zone, spot=True))
    _reclaim(setup, zone)
    setup.clock.advance(7)
    tried = _list_orders(setup, zone, spot=True)[before:]
    assert not any(tried)
    setup.clock.advance(4)
    setup.platform.spot_unavailable.clear()
    setup.clock.advance(25)
    assert len(setup.list_kind(zone, spot=True)) == 8
    assert len(setup.list_kind(zone, spot=False)) == 8


def test_without_spot_anywhere_few_regular_ones_are_ordered(
    setup: _Setup,
) -> None:
    """All zones are reclaimed, and the texts are short.

    Regular upstreams for each item of the burst would cost five times as much
    as the spot ones did, and no step would be late without them.
    """
    setup.texts = {'m0': TextSeconds(1, 4)}
    setup.start()
    setup.open = {'m0': 380}
    setup.clock.advance(8)
    for zone in _ZONES:
        _reclaim(setup, zone)
    setup.clock.advance(20)
    assert setup.count(spot=False) == 24
    refused = [each for each in setup.platform.orders if each.spot]
    assert len(refused) <= 3 + 3 * 3
    setup.texts = {'m0': TextSeconds(2, 7)}
    setup.clock.advance(8)
    assert setup.count(spot=False) > 30
    setup.platform.spot_unavailable.clear()
    setup.clock.advance(40)
    assert setup.count(spot=False) == 24
    assert setup.count(spot=True) == 24


def test_orders_that_are_not_carried_out_are_tried_elsewhere(
    setup: _Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The platform accepts orders of a zone, and none of its upstreams comes.

    Another zone has room; repeated every few seconds, the order changes
    nothing.
    """
    stuck = _ZONES[2]
    execute = setup.platform._execute

    def skip(order: ScaleOrder) -> None:
        if order.zone != stuck or not order.spot:
            execute(order)

    monkeypatch.setattr(setup.platform, '_execute', skip)
    setup.start()
    setup.open = {'m0': 380}
    setup.clock.advance(16)
    # At most one of them makes room for the next try.
    assert len(setup.list_kind(stuck, spot=False)) >= 15
    setup.clock.advance(40)
    assert len(_list_orders(setup, stuck, spot=True)) <= 8


def test_a_successor_releases_its_predecessors_replacements(
    setup: _Setup,
) -> None:
    """The owner is lost while regular upstreams replace spot ones.

    Counted as part of the baseline they would be paid for ever; released at
    once, their steps would be late, as the zone has no spot upstreams yet.
    """
    setup.start()
    setup.open = {'m0': 380}
    setup.clock.advance(8)
    zone = _ZONES[0]
    _reclaim(setup, zone)
    setup.clock.advance(9)
    assert len(setup.list_kind(zone, spot=False)) == 16
    setup.scaler.stop()
    successor = setup.make_scaler('you')
    successor.start()
    setup.clock.advance(7)
    assert len(setup.list_kind(zone, spot=False)) >= 15
    setup.platform.spot_unavailable.clear()
    setup.clock.advance(40)
    assert len(setup.list_kind(zone, spot=False)) == 8
    assert len(setup.list_kind(zone, spot=True)) == 8


def test_a_smaller_order_is_no_reclaim(setup: _Setup) -> None:
    """Spot upstreams leave because fewer are wanted; the zone has more."""
    setup.start()
    setup.clock.advance(8)
    zone = _ZONES[0]
    leaving = setup.list_kind(zone, spot=True)[0]
    setup.clock.advance(30)
    assert setup.count(spot=True) == 0
    setup.upstreams.put(
        msgspec.structs.replace(leaving, leaving=True, leaves_in=5.0)
    )
    setup.clock.advance(1)
    setup.open = {'m0': 380}
    setup.clock.advance(6)
    assert len(setup.list_kind(zone, spot=True)) == 8
