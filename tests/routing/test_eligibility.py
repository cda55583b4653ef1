"""Tests that every path to an upstream applies the same conditions."""

import pathlib
import re

import msgspec
import pytest

from guavagate.clock import PausedClock
from guavagate.exceptions import UpstreamNotStartedError
from guavagate.forwarding import Prober, ProbeState
from guavagate.http1 import ConnectionPool
from guavagate.metrics import Metrics
from guavagate.models import (
    ANYWHERE,
    RegionId,
    ServiceId,
    UpstreamId,
    WeightVersion,
    ZoneId,
)
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._samplers import PlatformSamplers
from guavagate.ports.configuration import Configuration, Service
from guavagate.ports.sampler import ItemRequest, SamplerClient, VersionOrder
from guavagate.ports.upstreams import Upstream
from guavagate.routing import (
    Eligibility,
    EligibleSamplers,
    Obstacle,
    RouteTable,
    UpstreamTable,
)
from tests.routing.test_routes import make_upstream

_PACKAGE = pathlib.Path(__file__).parents[2] / 'guavagate'
_NORTH = frozenset((RegionId('north'),))
_SERVICE = ServiceId('s')
# What sends requests to upstreams; each checks them right before.
_SENDERS = {
    'forwarding/_attempt.py',
    'forwarding/_probes.py',
    'platform/_samplers.py',
}
# What has the platform make its client of samplers, which sends unchecked.
_MAKER = 'fleet_instance/_instance.py'
# What sends requests to the platform itself.
_OTHER_SENDERS = {
    'integrations/object_api/pool_transport.py',
    'platform/_duties.py',
}
# What counts registrations and sends nothing to those that it finds.
_COUNTERS = {
    'duties/_scaler.py',
    'evacuation/_evacuations.py',
    'fleet_instance/_instance.py',
    'forwarding/_keep_alive.py',
    'forwarding/_outages.py',
    'jobs/scheduling/_reclaim.py',
    'jobs/scheduling/_sources.py',
    'warmup/_cold_watch.py',
    'residency/_residency.py',
}


def _make_table(*zones: str) -> UpstreamTable:
    """Return a table with an upstream in each zone, named like it."""
    eligibility = Eligibility({ZoneId('a'): RegionId('north')})
    table = UpstreamTable(PausedClock(), ZoneId('a'), eligibility=eligibility)
    for zone in zones:
        table.put(make_upstream(zone, zone))
    return table


def _list_serving(table: UpstreamTable) -> list[str]:
    return [each.id for each in table.serving(_SERVICE)]


def _find_files(pattern: str) -> set[str]:
    """Return the modules that match, relative to the package."""
    return {
        str(path.relative_to(_PACKAGE))
        for path in _PACKAGE.rglob('*.py')
        if re.search(pattern, path.read_text())
    }


def test_an_evacuated_zone_is_used_by_no_path() -> None:
    """Operators evacuate a zone, and requests go on to its upstreams."""
    table = _make_table('a', 'b')
    table.eligibility.evacuated = frozenset((ZoneId('a'),))
    assert _list_serving(table) == ['b']
    chosen = table.choose(_SERVICE, set(), preferred=UpstreamId('a'))
    assert chosen is not None
    assert chosen.id == 'b'
    assert table.explain(_SERVICE) is None


def test_bound_requests_use_no_zone_of_another_or_no_region() -> None:
    """A zone that the settings do not list could be anywhere."""
    table = _make_table('a', 'unknown')
    bound = table.serving(_SERVICE, _NORTH)
    assert [each.id for each in bound] == ['a']
    assert table.choose(_SERVICE, {UpstreamId('a')}, regions=_NORTH) is None
    south = frozenset((RegionId('south'),))
    assert table.explain(_SERVICE, south) is Obstacle.OUTSIDE_REGIONS
    assert table.explain(_SERVICE, frozenset()) is Obstacle.OUTSIDE_REGIONS
    assert table.explain(_SERVICE, ANYWHERE) is None


def test_the_reason_is_the_one_that_lasts_longest() -> None:
    """A caller told to return for a leaving upstream would return in vain."""
    table = _make_table('a', 'b')
    table.eligibility.evacuated = frozenset((ZoneId('a'),))
    leaving = msgspec.structs.replace(make_upstream('b', 'b'), leaving=True)
    table.put(leaving)
    assert table.explain(_SERVICE) is Obstacle.EVACUATED
    assert _make_table().explain(_SERVICE) is None


def test_the_newest_registration_counts_right_before_sending() -> None:
    """A request is placed, and its upstream leaves before it is sent."""
    table = _make_table('b')
    placed = table.get(UpstreamId('b'))
    assert placed is not None
    table.check(placed)
    table.put(msgspec.structs.replace(placed, leaving=True))
    with pytest.raises(UpstreamNotStartedError, match='leaving'):
        table.check(placed)


class _Samplers(PlatformSamplers):
    """Samplers that must not be called."""

    def __init__(self) -> None:
        super().__init__(ConnectionPool(PausedClock()))


def _call_all(client: SamplerClient, upstream: Upstream) -> list[str]:
    """Return the problem of each call to a sampler."""
    item = ItemRequest(id='i', host='h', path='/', headers={}, body=b'')
    order = VersionOrder(
        model='m',
        version=WeightVersion(1),
        holder='h',
        generation=1,
        orders_taken=0,
    )
    problems = []
    with pytest.raises(UpstreamNotStartedError) as caught:
        client.run(upstream, item, 'm')
    problems.append(caught.value.problem)
    with pytest.raises(UpstreamNotStartedError) as caught:
        client.report(upstream)
    problems.append(caught.value.problem)
    with pytest.raises(UpstreamNotStartedError) as caught:
        client.order(upstream, order)
    return [*problems, caught.value.problem]


def test_items_reports_and_orders_stop_at_an_evacuated_zone() -> None:
    """An item was placed before its sampler's zone was evacuated."""
    table = _make_table('a')
    table.eligibility.evacuated = frozenset((ZoneId('a'),))
    upstream = table.registered()[0]
    problems = _call_all(EligibleSamplers(_Samplers(), table), upstream)
    assert problems == ['a may not be used: its zone is evacuated'] * 3


def test_probes_stop_at_an_evacuated_zone() -> None:
    """A slow request elsewhere has all upstreams of its service probed."""
    table = _make_table('a')
    table.eligibility.evacuated = frozenset((ZoneId('a'),))
    routes = RouteTable()
    service = Service(id=_SERVICE, health_path='/health')
    routes.apply(Configuration(version=1, services=(service,)))
    clock = PausedClock()
    prober = Prober(
        clock,
        ConnectionPool(clock),
        routes,
        PlatformDialect(),
        Metrics(),
        table,
    )
    found = prober.probe(table.registered()[0], 0.1, True)
    assert found.state is ProbeState.UNKNOWN


def test_no_module_sends_past_the_check() -> None:
    """A new path that sends by itself would ignore every condition."""
    assert _find_files(r'pool\.(send|fetch)\(') == _SENDERS | _OTHER_SENDERS
    assert _find_files(r'\.registered\b') == _COUNTERS
    assert not _find_files(r'(?<!class )PlatformSamplers\(')
    assert _find_files(r'\.make_samplers\b') == {_MAKER}
    maker = (_PACKAGE / _MAKER).read_text()
    assert maker.count('.make_samplers') == 1
    assert 'EligibleSamplers(adapter.make_samplers(' in maker
    for name in ('forwarding/_attempt.py', 'forwarding/_probes.py'):
        text = (_PACKAGE / name).read_text()
        checks = r'upstreams\.(check|find_obstacle)\(upstream'
        assert re.search(checks, text), name
