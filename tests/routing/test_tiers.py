"""Tests of the cost of other zones and regions."""

import random

import pytest

from guavagate.clock import PausedClock
from guavagate.models import RegionId, ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from guavagate.routing._choice import FAILURE_COST
from guavagate.routing._eligibility import Eligibility
from guavagate.routing._tiers import (
    MAX_REGION_COST,
    REFRESH_SECONDS,
    REMOTE_ZONE_COST,
    ZoneCosts,
    compute_region_costs,
)

_NORTH, _SOUTH, _WEST = RegionId('north'), RegionId('south'), RegionId('west')
_A, _B, _C, _D = (ZoneId(name) for name in 'abcd')
_REGION_OF = {_A: _NORTH, _B: _NORTH, _C: _SOUTH, _D: _WEST}
_SERVICE = ServiceId('plain')


def _make_table(
    region_of: dict[ZoneId, RegionId], times: dict[ZoneId, float]
) -> UpstreamTable:
    """Return a table of an instance in zone a, with an upstream per zone."""
    table = UpstreamTable(
        PausedClock(),
        _A,
        random.Random(1),
        is_connected=lambda address: True,
        eligibility=Eligibility(region_of),
        measure_zones=lambda: times,
    )
    for zone in (_B, _C):
        upstream = Upstream(
            id=UpstreamId(zone),
            service=_SERVICE,
            address=f'{zone}:1',
            zone=zone,
            slots=6,
            versions={},
        )
        table.put(upstream)
    return table


def _choose(table: UpstreamTable, in_flight: int) -> str:
    """Return the choice while the upstream of zone b has requests."""
    table.load(UpstreamId('b')).in_flight = in_flight
    chosen = table.choose(_SERVICE, set())
    assert chosen is not None
    return chosen.id


def test_cost_follows_the_round_trip_within_bounds() -> None:
    """A region without a measurement, or a bad one, must not look near."""
    times = {_A: 0.0001, _B: 0.002, _C: 0.005}
    costs = compute_region_costs(_NORTH, _A, _REGION_OF, times)
    assert costs[_SOUTH] == pytest.approx(2.5 * REMOTE_ZONE_COST)
    assert costs[_WEST] == MAX_REGION_COST
    assert MAX_REGION_COST < FAILURE_COST
    for far, near, cost in (
        (0.02, 0.002, MAX_REGION_COST),
        (0.001, 0.002, REMOTE_ZONE_COST),
        (0.02, 0, MAX_REGION_COST),
    ):
        costs = compute_region_costs(
            _NORTH, _A, _REGION_OF, {_B: near, _C: far}
        )
        assert costs[_SOUTH] == cost


def test_other_region_is_used_once_the_own_one_is_full() -> None:
    """A free slot of the own region was worth no more than one far away."""
    table = _make_table(_REGION_OF, {_B: 0.003, _C: 0.018})
    assert [_choose(table, busy) for busy in (0, 4, 5, 7)] == list('bbcc')
    near = _make_table(_REGION_OF, {_B: 0.003, _C: 0.003})
    assert _choose(near, 1) == 'c'


@pytest.mark.parametrize(
    'region_of', [{}, {_A: _NORTH, _B: _NORTH, _C: _NORTH}]
)
def test_one_region_costs_what_it_did(region_of: dict) -> None:
    """Deployments of one region must not route in another way."""
    table = _make_table(region_of, {_B: 0.003, _C: 0.018})
    assert _choose(table, 1) == 'c'
    costs = ZoneCosts(_A, PausedClock(), Eligibility(region_of))
    assert [costs.get(zone) for zone in (_A, _B, _D)] == [0, 0.2, 0.2]


def test_costs_follow_regions_and_measurements() -> None:
    """Settings are read again and round trips change while it runs."""
    clock, eligibility = PausedClock(), Eligibility()
    times = {_B: 0.002, _C: 0.004}
    costs = ZoneCosts(_A, clock, eligibility, lambda: times)
    assert costs.get(_C) == REMOTE_ZONE_COST
    eligibility.region_of = dict(_REGION_OF)
    assert costs.get(_C) == pytest.approx(0.4)
    times[_C] = 0.006
    assert costs.get(_C) == pytest.approx(0.4)
    clock.advance(REFRESH_SECONDS)
    assert costs.get(_C) == pytest.approx(0.6)
    assert costs.get(_B) == REMOTE_ZONE_COST
    # The region of an unknown zone may be the farthest.
    assert costs.get(ZoneId('new')) == MAX_REGION_COST
    eligibility.region_of = {_A: _NORTH, _C: RegionId('renamed')}
    assert costs.get(_C) == pytest.approx(MAX_REGION_COST)
