"""Bound and unbound work that share upstreams under load."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.jobs import ItemId
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.routing import Eligibility, UpstreamTable
from tests.residency.bench import (
    NORTH,
    SOUTH,
    RegionFleet,
    make_bound_job,
    make_job_route,
    make_regions,
)
from tests.routing.test_routes import make_upstream

_JOBS = 8


def test_bound_jobs_complete_beside_unbound_ones() -> None:
    """Unbound items take free slots inside, and bound ones have no others.

    Eight steps of twelve items are open on sixteen slots; half of them are
    bound to the region that has half of the samplers.
    """
    fleet = RegionFleet(length=10)
    bound, free = make_job_route(SOUTH), make_job_route()
    free = msgspec.structs.replace(free, name='/y/', prefix='/y/')
    fleet.configure(bound, others=(free,))
    for number in range(_JOBS):
        job = make_bound_job(f'job-{number}')
        items = [
            msgspec.structs.replace(
                each, id=ItemId(f'{number}-{copy}-{each.id}')
            )
            for copy in range(2)
            for each in job.items
        ]
        path = '/y/' if number % 2 else '/x/'
        fleet.submit(msgspec.structs.replace(job, path=path, items=items), 'a')
    fleet.clock.advance(20)
    sent = [
        (request.regions, sampler[0])
        for node in fleet.nodes.values()
        for request, (_, sampler, _) in zip(
            node.samplers.requests, node.samplers.started, strict=True
        )
    ]
    south = make_regions(SOUTH)
    assert {place for regions, place in sent if regions == south} == {'s'}
    assert {place for regions, place in sent if regions is None} == {'n', 's'}
    for number in range(_JOBS):
        _, results = fleet.read(f'job-{number}', 'b')
        assert len(results) == 12


def test_bound_requests_spread_over_the_upstreams_inside() -> None:
    """Each of 71 entries has six upstreams, two of them inside.

    A choice that only skipped those outside could send all to the first one.
    """
    clock = PausedClock()
    regions = {ZoneId('n'): NORTH, ZoneId('s'): SOUTH}
    chosen = []
    for entry in range(71):
        zone = ZoneId('ns'[entry % 2])
        table = UpstreamTable(clock, zone, eligibility=Eligibility(regions))
        for number in range(6):
            upstream = make_upstream(f'u{number}', 'n' if number > 1 else 's')
            table.put(upstream)
        for _ in range(6):
            found = table.choose(
                ServiceId('s'), set(), regions=make_regions(SOUTH)
            )
            assert found is not None
            table.load(found.id).in_flight += 1
            chosen.append(found.id)
    counts = [chosen.count(UpstreamId(f'u{number}')) for number in range(2)]
    assert sum(counts) == 71 * 6
    assert counts == [71 * 3, 71 * 3]
