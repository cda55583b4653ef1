"""Routes by host and prefix, and the upstream that gets a request."""

import random

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    ServiceShare,
)
from guavagate.ports.upstreams import Upstream
from guavagate.routing import (
    Load,
    RouteTable,
    UpstreamTable,
    choose_upstream,
    pick_service,
)


def make_route(prefix: str, **fields: object) -> Route:
    """Return a route of the host a.example."""
    values: dict = {
        'name': prefix,
        'host': 'a.example',
        'prefix': prefix,
        'kind': RouteKind.IDEMPOTENT,
        'shares': (ServiceShare(ServiceId('s'), 1),),
        'timeout': 1.5,
        'objective': 0.2,
        'max_attempts': 2,
    }
    return Route(**{**values, **fields})


def make_upstream(
    name: str, zone: str = 'z', address: str = '127.0.0.1:1', **fields: object
) -> Upstream:
    """Return an upstream of the service s."""
    return Upstream(
        id=UpstreamId(name),
        service=ServiceId('s'),
        address=address,
        zone=ZoneId(zone),
        slots=4,
        **fields,  # type: ignore[arg-type]
    )


def _configure(version: int, *routes: Route) -> Configuration:
    return Configuration(version=version, routes=routes)


def test_the_longest_prefix_of_the_host_wins() -> None:
    """Prefixes end with a slash, so none matches part of a path segment."""
    table = RouteTable()
    table.apply(_configure(1, make_route('/a/'), make_route('/a/b/')))
    found = table.find('A.example:80', '/a/b/c?d=/x/')
    assert found is not None
    assert found.prefix == '/a/b/'
    assert table.find('a.example', '/ab') is None
    assert table.find('b.example', '/a/') is None


def test_an_older_configuration_is_rejected() -> None:
    """A replica of the store that lags returns an earlier configuration."""
    table = RouteTable()
    assert table.apply(_configure(7, make_route('/new/')))
    assert not table.apply(_configure(4, make_route('/old/')))
    assert table.find('a.example', '/new/') is not None


def test_a_split_route_follows_its_weights() -> None:
    """Nine in ten go to the first service; a retry goes to the same one."""
    shares = (
        ServiceShare(ServiceId('s'), 90),
        ServiceShare(ServiceId('t'), 10),
    )
    route = make_route('/a/', shares=shares)
    picked = [pick_service(route, str(number)) for number in range(2000)]
    assert 0.07 < picked.count(ServiceId('t')) / 2000 < 0.13
    assert picked == [pick_service(route, str(each)) for each in range(2000)]


def test_the_least_loaded_upstream_is_chosen() -> None:
    """One upstream has three requests in flight, the other none."""
    loads = {'a': Load(in_flight=3), 'b': Load()}
    upstreams = [make_upstream('a'), make_upstream('b')]
    chosen = choose_upstream(upstreams, loads, 'z', 0, random.Random(1))
    assert chosen is not None
    assert chosen.id == 'b'


def test_the_same_zone_is_preferred_until_it_is_busier() -> None:
    """An equally free upstream of the same zone is closer."""
    local, remote = make_upstream('a'), make_upstream('b', 'y')
    loads = {'a': Load(), 'b': Load()}
    rng = random.Random(1)
    assert choose_upstream([remote, local], loads, 'z', 0, rng) is local
    loads['a'].in_flight = 1
    assert choose_upstream([remote, local], loads, 'z', 0, rng) is remote


def test_a_recent_report_counts_the_requests_of_other_instances() -> None:
    """The upstream reported that it is full, with none of our requests."""
    loads = {'a': Load(reported_busy=4, reported_at=10), 'b': Load(in_flight=1)}
    upstreams = [make_upstream('a'), make_upstream('b')]
    rng = random.Random(1)
    early = choose_upstream(upstreams, loads, 'z', 10.1, rng)
    late = choose_upstream(upstreams, loads, 'z', 12, rng)
    assert early is not None
    assert late is not None
    assert (early.id, late.id) == ('b', 'a')


def test_a_failing_upstream_is_ejected_temporarily() -> None:
    """Two failures in a row eject it; with no other, it is still used."""
    clock = PausedClock()
    table = UpstreamTable(clock, ZoneId('z'), random.Random(1))
    table.put(make_upstream('a'))
    table.put(make_upstream('b', 'y'))
    table.record_failure(UpstreamId('a'))
    table.record_failure(UpstreamId('a'))
    chosen = table.choose(ServiceId('s'), set())
    assert chosen is not None
    assert chosen.id == 'b'
    only = table.choose(ServiceId('s'), {UpstreamId('b')})
    assert only is not None
    clock.advance(2)
    table.record_success(UpstreamId('a'), 0.1)
    back = table.choose(ServiceId('s'), set())
    assert back is not None
    assert back.id == 'a'


def test_a_leaving_upstream_gets_no_new_work() -> None:
    """It registered that it is draining, and completes its requests."""
    table = UpstreamTable(PausedClock(), ZoneId('z'))
    table.put(make_upstream('a'))
    table.put(make_upstream('a', leaving=True))
    assert table.choose(ServiceId('s'), set()) is None


def _make_job_route(prefix: str, service: str) -> Route:
    share = ServiceShare(ServiceId(service), 1)
    return make_route(prefix, kind=RouteKind.JOB, shares=(share,))


def test_a_service_keeps_its_jobs_after_its_routes_have_moved() -> None:
    """Its open jobs would be worked on by nobody."""
    table = RouteTable()
    table.apply(_configure(1, _make_job_route('/a/', 'old')))
    table.apply(_configure(2, _make_job_route('/a/', 'new')))
    assert table.job_services() == ['new', 'old']
    assert table.former_job_services() == ['old']


def test_a_service_whose_routes_return_is_no_former_one() -> None:
    """It would be given up later, with its new jobs open."""
    table = RouteTable()
    table.add_former_job_services([ServiceId('old'), ServiceId('older')])
    table.apply(_configure(1, _make_job_route('/a/', 'new')))
    table.apply(_configure(2, _make_job_route('/a/', 'old')))
    assert table.former_job_services() == ['older', 'new']
    table.forget_former_job_service(ServiceId('older'))
    table.forget_former_job_service(ServiceId('old'))
    assert table.job_services() == ['old', 'new']
