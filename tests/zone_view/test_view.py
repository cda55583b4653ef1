"""Tests of what an instance reports about zones."""

from guavagate.clock import PausedClock
from guavagate.metrics import Metrics
from guavagate.models import RegionId, ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import Eligibility
from guavagate.zone_view import ZoneView, watch_zones

_REGION_OF = {ZoneId('a'): RegionId('east'), ZoneId('b'): RegionId('west')}


def _make_upstream(name: str, zone: str) -> Upstream:
    return Upstream(
        id=UpstreamId(name),
        service=ServiceId('s'),
        address='10.0.0.1:80',
        zone=ZoneId(zone),
        leaving=False,
        slots=2,
        versions={},
        incarnation=1,
    )


class _Bench:
    def __init__(self) -> None:
        self.eligibility = Eligibility(_REGION_OF)
        self.upstreams = [_make_upstream('u1', 'a'), _make_upstream('u2', 'c')]
        self.cold: set[str] = set()
        self.running = {'u1': 3}
        self.view = ZoneView(
            self.eligibility,
            lambda: self.upstreams,
            lambda: [ZoneId('a'), ZoneId('a'), ZoneId('d')],
            lambda upstream: self.running.get(upstream, 0),
            lambda upstream: upstream.id in self.cold,
        )


def test_each_zone_that_is_known_in_any_way_is_listed() -> None:
    """A zone of which only an upstream was known was left out."""
    bench = _Bench()
    bench.eligibility.evacuated = frozenset((ZoneId('e'),))
    found = {state.zone: state for state in bench.view.list_zones(0)}
    assert list(found) == ['c', 'd', 'e', 'a', 'b']
    assert (found[ZoneId('a')].region, found[ZoneId('a')].instances) == (
        'east',
        2,
    )
    assert (found[ZoneId('a')].upstreams, found[ZoneId('a')].running) == (1, 3)
    assert (found[ZoneId('c')].region, found[ZoneId('c')].upstreams) == ('', 1)


def test_an_evacuation_has_the_age_since_it_was_observed() -> None:
    """An age since the last reading would restart whenever it is read."""
    bench = _Bench()
    bench.view.observe(0)
    bench.eligibility.evacuated = frozenset((ZoneId('a'),))
    bench.view.observe(10)
    ages = {each.zone: each.evacuated_for for each in bench.view.list_zones(14)}
    assert (ages[ZoneId('a')], ages[ZoneId('b')]) == (4, None)
    bench.eligibility.evacuated = frozenset()
    bench.view.observe(15)
    bench.eligibility.evacuated = frozenset((ZoneId('a'),))
    ages = {each.zone: each.evacuated_for for each in bench.view.list_zones(20)}
    assert ages[ZoneId('a')] == 0


def test_cold_upstreams_are_listed_until_they_are_warm_or_gone() -> None:
    """A removed upstream that was cold would be listed for ever."""
    bench = _Bench()
    bench.cold = {'u1', 'u2'}
    bench.view.observe(1)
    ages = {each.upstream: each.seconds for each in bench.view.list_cold(3)}
    assert ages == {'u1': 2, 'u2': 2}
    assert bench.view.list_zones(3)[0].cold == 1
    bench.cold = {'u2'}
    del bench.upstreams[1]
    assert not bench.view.list_cold(4)


def test_the_gauges_of_an_evacuation_that_ended_are_removed() -> None:
    """A gauge that keeps its last value shows the zone evacuated for ever."""
    bench, clock, metrics = _Bench(), PausedClock(), Metrics()
    watch_zones(metrics, clock, bench.view)
    bench.eligibility.evacuated = frozenset((ZoneId('a'),))
    clock.advance(10)
    text = metrics.render('text/plain')[0].decode()
    name = 'guavagate_zone_evacuated_seconds{region="east",zone="a"}'
    ages = dict(line.rsplit(' ', 1) for line in text.splitlines())
    assert 9 <= float(ages[name]) <= 10
    bench.eligibility.evacuated = frozenset()
    text = metrics.render('text/plain')[0].decode()
    assert name not in text
