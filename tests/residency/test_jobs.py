"""Jobs that are bound to regions: their samplers, owners and bodies."""

from collections import Counter

import msgspec
import pytest

from guavagate.exceptions import OutsideRegionsError
from guavagate.jobs import JobId, LookupStatus
from guavagate.jobs.records._store import decode_job
from guavagate.models import InstanceId, RegionId
from guavagate.ports.configuration import Route
from tests.jobs.fleet import check_complete, make_job
from tests.jobs.samplers import SERVICE
from tests.residency.bench import (
    NORTH,
    SOUTH,
    TEAM,
    RegionFleet,
    make_bound_job,
    make_job_route,
)

_INSIDE = {'s1', 's2'}


def _find_holders(fleet: RegionFleet) -> set[str]:
    """Return the instances that have a job's bodies or texts in memory."""
    return {
        name
        for name, node in fleet.nodes.items()
        if any(node.owner._active_jobs)
        or node.announced.list_jobs(SERVICE)
        or any(node.replicas._received.values())
        or node.reader._cache
    }


def test_a_job_from_an_entry_outside_runs_and_stays_inside() -> None:
    """Its body must reach neither samplers nor instances in other regions.

    The record in the store names the job to the owners of all services, so it
    has no bodies.
    """
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH))
    assert set(fleet.list_owners()) == {'c', 'd'}
    assert fleet.submit(make_bound_job(), 'a')
    job = fleet.run(fleet.nodes['a'].job_store.read, JobId('job-1'))
    assert job is not None
    fleet.nodes['a'].reader.cache_job(job)
    fleet.clock.advance(2)
    assert fleet.list_used() == _INSIDE
    assert _find_holders(fleet) == {'c', 'd'}
    stored = fleet.run(fleet.world.store_of('a').get, 'jobs/job-1')
    assert stored is not None
    assert not decode_job(stored.value).items
    fleet.clock.advance(10)
    check_complete(fleet, 'a', 6)


def test_the_successor_of_a_lost_owner_is_inside() -> None:
    """An owner outside would read the bodies, and resume the texts there."""
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH))
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1)
    owner, successor = fleet.list_owners()
    fleet.list_used()
    fleet.world.kill(owner)
    fleet.clock.advance(5)
    assert fleet.nodes[successor].owner.active
    assert fleet.list_used() <= _INSIDE
    fleet.clock.advance(10)
    check_complete(fleet, 'a', 6)


def test_items_outside_resume_inside_when_the_regions_change() -> None:
    """Runs that go on outside would keep the data there until they end.

    The texts so far are kept, also by the owner inside that takes over.
    """
    fleet = RegionFleet()
    fleet.configure(make_job_route(NORTH))
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1.5)
    assert fleet.list_used() == {'n1', 'n2'}
    job = fleet.run(fleet.nodes['a'].job_store.read, JobId('job-1'))
    fleet.nodes['a'].reader.cache_job(job)
    assert _find_holders(fleet) == {'a', 'b'}
    fleet.configure(make_job_route(SOUTH))
    started = [
        each for node in fleet.nodes.values() for each in node.samplers.started
    ]
    assert {sampler for _, sampler, _ in started} == _INSIDE
    resumed = {item: after for item, _, after in started}
    assert len(resumed) == 6
    assert min(resumed.values()) > 10
    assert _find_holders(fleet) == {'c', 'd'}
    fleet.clock.advance(10)
    check_complete(fleet, 'a', 6)


def test_items_outside_are_cancelled_by_an_owner_that_stays() -> None:
    """The job is narrowed to a part of its regions while its owner is there."""
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH, NORTH))
    owner = fleet.list_owners()[0]
    inside = fleet.nodes[owner].residency._members.get(InstanceId(owner))
    assert inside is not None
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1)
    assert {each[0] for each in fleet.list_used()} == {'n', 's'}
    fleet.configure(make_job_route(inside.region))
    assert fleet.list_owners()[0] == owner
    used = fleet.list_used()
    assert used
    assert {each[0] for each in used} == {inside.region[0]}
    fleet.clock.advance(10)
    check_complete(fleet, 'a', 6)


@pytest.mark.parametrize(
    ('route', 'team'),
    [(SOUTH, NORTH), (RegionId('unknown'), RegionId('unknown'))],
)
def test_a_job_that_cannot_run_inside_is_refused(
    route: RegionId, team: RegionId, caplog: pytest.LogCaptureFixture
) -> None:
    """Route and team contradict each other, or nobody knows their region.

    The refusal is a true "not run", so nothing may be stored.
    """
    fleet = RegionFleet()
    fleet.configure(make_job_route(route), team)
    node = fleet.nodes['a']
    with caplog.at_level('INFO'), pytest.raises(OutsideRegionsError):
        fleet.run(node.intake.accept, make_bound_job(), 1)
    assert 'GG8071' in caplog.text
    assert not fleet.world.store.objects


def test_a_job_that_was_accepted_is_not_refused_later() -> None:
    """Its trainer repeats a submission whose answer was lost.

    The items may have run before the regions changed, so that "not run" would
    be false.
    """
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH))
    fleet.submit(make_bound_job(), 'a')
    fleet.configure(make_job_route(SOUTH), NORTH)
    assert fleet.submit(make_bound_job(), 'b') is False


def test_jobs_of_regions_without_their_owner_are_refused() -> None:
    """Two routes have no region in common: one owner cannot serve both."""
    fleet = RegionFleet()
    north = make_job_route(NORTH)
    south = msgspec.structs.replace(
        make_job_route(SOUTH), name='/y/', prefix='/y/'
    )
    fleet.configure(north, others=(south,))
    assert set(fleet.list_owners()) == {'a', 'b'}
    assert fleet.submit(make_bound_job(), 'c')
    with pytest.raises(OutsideRegionsError):
        fleet.submit(
            msgspec.structs.replace(make_bound_job('job-2'), path='/y/'), 'c'
        )


def test_a_running_job_leaves_an_owner_that_its_regions_exclude() -> None:
    """Another route keeps the owner in the north as the job is bound south.

    The owner stops and holds no body; readers get no false answer, and the job
    continues once its regions include the owner again.
    """
    fleet = RegionFleet()
    other = msgspec.structs.replace(
        make_job_route(NORTH), name='/y/', prefix='/y/'
    )
    fleet.configure(make_job_route(NORTH, SOUTH), others=(other,))
    fleet.submit(make_bound_job(), 'c')
    fleet.clock.advance(1)
    assert fleet.list_used()
    fleet.configure(make_job_route(SOUTH), others=(other,))
    owner = fleet.nodes[fleet.list_owners()[0]].owner
    assert set(fleet.list_owners()) <= {'a', 'b'}
    fleet.clock.advance(1)
    fleet.list_used()
    fleet.clock.advance(2)
    assert not fleet.list_used()
    assert not any(owner._active_jobs)
    status, _ = owner.read(JobId('job-1'), 0, 0, TEAM)
    assert status is LookupStatus.UNCERTAIN
    fleet.configure(make_job_route(NORTH, SOUTH), others=(other,))
    fleet.clock.advance(10)
    check_complete(fleet, 'a', 6)


def test_an_owner_outside_holds_no_bodies_of_a_job() -> None:
    """All instances inside are lost; the owner outside must not continue.

    Readers get no false answer, and the job continues once one is back.
    """
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH))
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1)
    fleet.list_used()
    for name in 'cd':
        fleet.world.kill(name)
    fleet.clock.advance(6)
    assert set(fleet.list_owners()) == {'a', 'b'}
    assert not fleet.list_used()
    assert not _find_holders(fleet) & {'a', 'b'}
    owner = fleet.nodes[fleet.list_owners()[0]].owner
    status, _ = owner.read(JobId('job-1'), 0, 0, TEAM)
    assert status is LookupStatus.UNCERTAIN
    fleet.configure(make_job_route(NORTH, SOUTH))
    fleet.clock.advance(10)
    check_complete(fleet, 'a', 6)


def test_regions_without_a_bound_change_nothing() -> None:
    """A service without regions has the owner that it had before."""
    fleet = RegionFleet()
    before = fleet.list_owners()
    fleet.configure(make_job_route())
    assert fleet.list_owners() == before
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1)
    assert len(fleet.list_used()) > 2
    stored = fleet.run(fleet.world.store_of('a').get, 'jobs/job-1')
    assert stored is not None
    assert decode_job(stored.value).items


def test_store_calls_with_bodies_stay_in_the_region() -> None:
    """A peer elsewhere would see the records and results that it relays.

    Without regions in the configuration any peer may relay.
    """
    fleet = RegionFleet()
    residency = fleet.nodes['a'].residency
    near, far = InstanceId('b'), InstanceId('c')
    fleet.configure(make_job_route())
    assert residency.may_relay(far, '/objects/jobs/j')
    fleet.configure(make_job_route(SOUTH))
    for path in ('jobs/j', 'job-parts-j/0', 'job-results-j', 'job-texts/j'):
        assert residency.may_relay(near, f'/objects/{path}')
        assert not residency.may_relay(far, f'/objects/{path}')
    assert residency.may_relay(far, '/objects/leases/llm')


def _make_routes(region: RegionId) -> tuple[Route, ...]:
    """Return two further routes of the service with a region."""
    return tuple(
        msgspec.structs.replace(
            make_job_route(region), name=prefix, prefix=prefix
        )
        for prefix in ('/y/', '/z/')
    )


def _count_replicated(fleet: RegionFleet) -> dict[str, int]:
    """Return the replicated events of each instance that has any."""
    counts = Counter[str]()
    for name, node in fleet.nodes.items():
        for jobs in node.replicas._received.values():
            texts = [each for job in jobs.values() for each in job.values()]
            counts[name] += sum(each.text.last_number for each in texts)
    return dict(+counts)


def test_an_announcement_reaches_no_instance_outside() -> None:
    """The regions changed while the entry stored the job."""
    fleet = RegionFleet()
    fleet.configure(make_job_route(NORTH))
    bound = msgspec.structs.replace(
        fleet.stamp(make_bound_job()), regions=frozenset((SOUTH,))
    )
    fleet.nodes['c'].intake.announce(bound)
    fleet.clock.advance(0.2)
    assert not _find_holders(fleet)


def test_an_announced_job_is_not_loaded_outside() -> None:
    """The sender had other regions in force than the owner."""
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH), others=_make_routes(NORTH))
    owner = fleet.nodes[fleet.list_owners()[0]]
    owner.announced.put(fleet.stamp(make_bound_job()))
    fleet.clock.advance(0.5)
    assert not any(owner.owner._active_jobs)
    owner.owner.stop(None)
    owner.owner.start()
    fleet.clock.advance(2)
    assert not any(owner.owner._active_jobs)


def test_texts_are_replicated_to_no_successor_outside() -> None:
    """The job's route is removed, and the service's other routes are unbound.

    Successors are anywhere then, but the job keeps the regions that it was
    accepted with.
    """
    fleet = RegionFleet()
    unbound = msgspec.structs.replace(
        make_job_route(), name='/y/', prefix='/y/'
    )
    fleet.configure(unbound)
    owner = fleet.list_owners()[0]
    home = fleet.nodes[owner].residency._members.get(InstanceId(owner))
    assert home is not None
    fleet.configure(make_job_route(home.region), others=(unbound,))
    fleet.submit(make_bound_job(), owner)
    fleet.clock.advance(1.5)
    assert _count_replicated(fleet)
    fleet.configure(unbound)
    holders = fleet.nodes[owner].ownership.list_replica_holders(SERVICE)
    inside = {
        each.id
        for each in fleet.nodes[owner].residency._members.alive()
        if each.region == home.region
    }
    outside = set(holders) - inside
    assert outside
    fleet.clock.advance(1)
    assert fleet.list_owners()[0] == owner
    assert not outside & set(_count_replicated(fleet))


def test_texts_are_handed_over_to_no_owner_outside() -> None:
    """Other routes of a service change their region, and its owner moves there.

    A job that is bound to the former region stays in it.
    """
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH), others=_make_routes(SOUTH))
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1.5)
    assert set(_count_replicated(fleet)) <= {'c', 'd'}
    fleet.configure(make_job_route(SOUTH), others=_make_routes(NORTH))
    assert set(fleet.list_owners()) == {'a', 'b'}
    assert not set(_count_replicated(fleet)) & {'a', 'b'}


def test_a_job_whose_route_is_gone_stays_inside() -> None:
    """Its body would go anywhere, as no route in force binds it any more."""
    fleet = RegionFleet()
    fleet.configure(make_job_route(SOUTH), others=_make_routes(SOUTH))
    fleet.submit(make_bound_job(), 'a')
    fleet.clock.advance(1)
    fleet.list_used()
    routes = _make_routes(SOUTH)
    fleet.configure(routes[0], others=routes[1:])
    node = fleet.nodes[fleet.list_owners()[0]]
    job = next(iter(node.owner._active_jobs.list_open())).job
    assert node.residency.find_job_regions(job) == {SOUTH}
    assert fleet.list_used() <= _INSIDE


def test_a_job_whose_rewards_are_bound_elsewhere_is_refused() -> None:
    """Its texts would complete, and none of them ever get a reward."""
    fleet = RegionFleet()
    rating = msgspec.structs.replace(
        make_job_route(NORTH), name='/r/', prefix='/r/'
    )
    job = msgspec.structs.replace(make_job(rated=True), path='/x/', team=TEAM)
    fleet.configure(make_job_route(SOUTH), others=(rating,))
    reward = job.list_rewards()[0]
    assert fleet.nodes['a'].routes.find(reward.host, reward.path) is not None
    owner = fleet.nodes['c']
    with pytest.raises(OutsideRegionsError, match='reward route'):
        owner.residency.check_job(job, None)
    fleet.configure(make_job_route(SOUTH, NORTH), others=(rating,))
    assert owner.residency.check_job(job, None) == {SOUTH, NORTH}
