"""Tests that the soak finds violations of evacuation, warm-up and regions."""

import random

import gevent
import pytest

from guavagate.clock import SystemClock
from standins.platform import evacuations as evacuations_module
from standins.platform.arrivals import Arrival, Kind
from standins.platform.checks import Verdict
from standins.platform.evacuations import KIND, Evacuations
from standins.platform.sampler import Journal
from standins.platform.store import Store
from standins.platform.topology import (
    COLD_LIMIT,
    EVACUATE_SECONDS,
    make_bound_name,
)
from standins.platform.zone_checks import (
    Disturbances,
    Evacuated,
    check_cold_rates,
    check_evacuations,
    check_regions,
    check_returns,
    make_disturbances,
)

_CALM = Disturbances()
_EVACUATED = Evacuated(zone='z1', since=100, until=120)
_LATE = 100 + EVACUATE_SECONDS


def _make_arrival(
    at: float, zone: str = 'z1', kind: Kind = Kind.RUN, name: str = 'a'
) -> Arrival:
    return Arrival(at=at, sampler='i-0', zone=zone, kind=kind, name=name)


def _make_cold(*times: float) -> list[Arrival]:
    return [
        Arrival(at=at, sampler='i-0', zone='z1', kind=Kind.RUN, cold=True)
        for at in times
    ]


def _is_evacuation_violated(
    arrival: Arrival, disturbances: Disturbances = _CALM
) -> bool:
    verdict = Verdict(Journal())
    check_evacuations(verdict.expect, [arrival], [_EVACUATED], disturbances)
    return bool(verdict.violations)


@pytest.mark.parametrize('kind', Kind)
def test_anything_new_in_an_evacuated_zone_is_found(kind: Kind) -> None:
    """Probes, reports and orders went on to a zone that was to be empty."""
    assert _is_evacuation_violated(_make_arrival(_LATE + 0.01, kind=kind))


@pytest.mark.parametrize(
    'arrival',
    [
        _make_arrival(99),
        _make_arrival(_LATE - 0.01),
        _make_arrival(121),
        _make_arrival(_LATE + 1, zone='z2'),
    ],
)
def test_arrivals_that_are_allowed_are_not_reported(arrival: Arrival) -> None:
    """Before the bound, after the return and in other zones work goes on."""
    assert not _is_evacuation_violated(arrival)


def test_a_store_fault_extends_the_bound_only_if_it_began_before() -> None:
    """An outage during an evacuation must not end it."""
    before = make_disturbances([(102, 'store'), (104.5, 'store')])
    assert not _is_evacuation_violated(_make_arrival(107), before)
    assert _is_evacuation_violated(_make_arrival(108), before)
    after = make_disturbances([(_LATE + 1, 'store'), (_LATE + 3, 'way ')])
    assert _is_evacuation_violated(_make_arrival(_LATE + 2), after)


def test_only_the_way_to_the_same_sampler_excuses_an_arrival() -> None:
    """A fault elsewhere in the fleet would otherwise hide violations."""
    late = _make_arrival(_LATE + 1)
    own = make_disturbances([(_LATE, 'way i-0')])
    other = make_disturbances([(_LATE, 'way i-1'), (_LATE, 'samplers')])
    assert not _is_evacuation_violated(late, own)
    assert _is_evacuation_violated(late, other)


def test_a_zone_that_is_not_used_after_its_return_is_found() -> None:
    """An evacuation that never ends satisfies every other check."""
    verdict = Verdict(Journal())
    check_returns(verdict.expect, [_make_arrival(110)], [_EVACUATED])
    assert len(verdict.violations) == 1
    check_returns(verdict.expect, [_make_arrival(121)], [_EVACUATED])
    assert len(verdict.violations) == 1


def test_too_many_requests_to_a_cold_sampler_in_any_second_are_found() -> None:
    """A burst over the turn of a second exceeded the limit unnoticed."""
    spread = _make_cold(*(5 + number / 2 for number in range(20)))
    burst = _make_cold(*(5.5 + number / 10 for number in range(COLD_LIMIT + 1)))
    warm = [_make_arrival(5) for _ in range(50)]
    verdict = Verdict(Journal())
    check_cold_rates(verdict.expect, [*spread, *warm], _CALM)
    assert not verdict.violations
    check_cold_rates(verdict.expect, burst, _CALM)
    assert len(verdict.violations) == 1


def test_requests_that_a_proxy_held_back_are_not_a_burst() -> None:
    """A way that was silent for two seconds delivers all at once."""
    held = make_disturbances([(4, 'way i-0'), (6, 'way i-0')])
    verdict = Verdict(Journal())
    check_cold_rates(verdict.expect, _make_cold(*[6.1] * 30), held)
    assert not verdict.violations


def test_a_bound_request_outside_its_region_is_found() -> None:
    """Rewards of bound items count too, probes and others do not."""
    bound, reward = make_bound_name('a'), f'w-{make_bound_name("a")}'
    verdict = Verdict(Journal())
    check_regions(
        verdict.expect,
        [
            _make_arrival(1, 'z2', name=bound),
            _make_arrival(1, 'z3'),
            _make_arrival(1, 'z3', Kind.PROBE, bound),
        ],
    )
    assert not verdict.violations
    for name in (bound, reward):
        check_regions(verdict.expect, [_make_arrival(1, 'z3', name=name)])
    assert len(verdict.violations) == 2


def test_evacuations_end_and_leave_no_object(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A zone that stayed evacuated would fail the checks at the end."""
    for bounds in ('_EMPTY_SECONDS', '_PAUSE_SECONDS', '_AGAIN_SECONDS'):
        monkeypatch.setattr(evacuations_module, bounds, (0.001, 0.01))
    monkeypatch.setattr(evacuations_module, 'EVACUATE_SECONDS', 0.01)
    monkeypatch.setattr(evacuations_module, '_COLD_BEFORE_SECONDS', 0.01)
    store = Store('127.0.0.1:1', 1)
    evacuations = Evacuations(SystemClock(), random.Random(1), store, [])
    running = gevent.spawn(evacuations.run)
    gevent.sleep(1)
    evacuations.stop()
    running.join(timeout=5)
    assert not store.kinds[KIND].keys() - {'z9'}
    assert len(evacuations.all) > 5
    assert all(each.until < float('inf') for each in evacuations.all)
