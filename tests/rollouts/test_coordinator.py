"""Load orders while responses are lost and samplers fail or restart."""

import msgspec

from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import (
    ANYWHERE,
    InstanceId,
    RegionId,
    Regions,
    WeightVersion,
    ZoneId,
)
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from guavagate.rollouts import (
    Coordinator,
    Lease,
    PublishedVersions,
    Renewals,
    SamplerStates,
    lease_path,
)
from guavagate.routing import RouteTable, UpstreamTable
from tests.jobs.samplers import MODEL, SERVICE, FakeSamplers, make_upstream


def make_configuration(
    version: int = 1, *, single_version: bool = False
) -> Configuration:
    """Return a configuration with one service of samplers."""
    route = Route(
        name='r',
        host='a.example',
        prefix='/x/',
        kind=RouteKind.JOB,
        shares=(ServiceShare(SERVICE, 1),),
        timeout=10,
        objective=0.4,
        single_version=single_version,
    )
    service = Service(id=SERVICE, slots=4, models=(MODEL,))
    return Configuration(version=version, routes=(route,), services=(service,))


class _Setup:
    """One coordinator with six samplers."""

    def __init__(
        self, *, single_version: bool = False, regions: Regions = ANYWHERE
    ) -> None:
        world = World()
        world.add('me')
        self.clock = world.clock
        store = MemoryStore(self.clock)
        routes = RouteTable()
        routes.apply(make_configuration(single_version=single_version))
        self.upstreams = UpstreamTable(self.clock, ZoneId('zone-0'))
        for name in 'abcdef':
            self.upstreams.put(make_upstream(name))
        self.published = PublishedVersions(self.clock)
        self.states = SamplerStates()
        self.samplers = FakeSamplers(self.clock)
        self.lease = Lease(
            store,
            lease_path(SERVICE),
            InstanceId('me'),
            3.0,
            Renewals(world.bus('me'), self.clock.now),
            list,
            self.clock.now,
        )
        self.coordinator = Coordinator(
            SERVICE,
            InstanceId('me'),
            self.clock,
            self.lease,
            routes,
            self.upstreams,
            self.published,
            self.states,
            self.samplers,
            dict,
            lambda: 4,
            find_regions=lambda _: regions,
        )
        self.coordinator.start()

    def publish(self, version: int) -> None:
        """Publish a version of the model."""
        self.published.put(MODEL, WeightVersion(version))
        self.coordinator.wake()


def test_a_published_version_reaches_all_samplers_in_batches() -> None:
    """Six samplers load two at a time, all under one generation.

    None loads before a step that comes with the version has had time to start.
    """
    setup = _Setup()
    setup.publish(2)
    setup.clock.advance(0.5)
    assert not setup.samplers.orders
    setup.clock.advance(0.7)
    assert len(setup.samplers.orders) == 2
    setup.clock.advance(6)
    assert set(setup.samplers.versions) == set('abcdef')
    assert {order.generation for _, _, order in setup.samplers.orders} == {1}


def test_an_order_without_a_response_is_not_blindly_repeated() -> None:
    """The sampler has accepted the order, or will receive it late.

    The coordinator requests the sampler's order count before it sends another
    order, so that the sampler itself refuses the late one.
    """
    setup = _Setup()
    setup.samplers.lost_orders = 2
    setup.publish(2)
    setup.clock.advance(10)
    assert set(setup.samplers.versions) == set('abcdef')
    for _, sampler, order in setup.samplers.orders[-4:]:
        assert order.orders_taken <= setup.samplers.orders_taken[sampler]


def test_a_late_older_version_is_ignored() -> None:
    """A list that is read after a lost watch contains an older version."""
    setup = _Setup()
    setup.publish(3)
    setup.clock.advance(8)
    setup.publish(2)
    setup.clock.advance(8)
    assert set(setup.samplers.versions.values()) == {3}


def test_runs_end_before_a_load_on_single_version_routes() -> None:
    """A route requires that a single version generates each text."""
    setup = _Setup(single_version=True)
    setup.publish(2)
    setup.clock.advance(1)
    assert not any(each.keep_running for _, _, each in setup.samplers.orders)


def test_after_stepping_down_nothing_is_ordered() -> None:
    """Another instance is the coordinator now."""
    setup = _Setup()
    setup.publish(2)
    setup.clock.advance(0.5)
    setup.coordinator.stop()
    sent = len(setup.samplers.orders)
    setup.clock.advance(5)
    assert len(setup.samplers.orders) == sent
    assert not setup.lease.may_order()


def test_without_ordering_samplers_are_assigned_and_get_no_orders() -> None:
    """Its instance works on the jobs of an owner that may still be alive.

    Items need samplers that are assigned to their model. Orders need the lease,
    which the owner may hold. They follow once this instance is the owner.
    """
    setup = _Setup()
    setup.coordinator.stop()
    setup.states.assigned = {}
    setup.coordinator.start(ordering=False)
    setup.publish(2)
    setup.clock.advance(3)
    assert set(setup.states.assigned) == set('abcdef')
    assert not setup.samplers.orders
    assert not setup.lease.held
    setup.coordinator.start()
    setup.clock.advance(3)
    assert setup.samplers.orders


def test_a_dead_sampler_does_not_get_endless_orders() -> None:
    """It stays registered for some seconds and refuses connections.

    Each failed order costs a connection attempt and a renewal of the lease;
    meanwhile the other samplers must still load the version.
    """
    setup = _Setup()
    setup.samplers.down.add('a')
    setup.publish(2)
    setup.clock.advance(6)
    assert set(setup.samplers.versions) == set('bcdef')
    assert setup.samplers.reports['a'] < 15


def test_each_order_carries_the_count_of_accepted_orders() -> None:
    """A late order has an outdated count, and the sampler refuses it.

    With a wrong count, the orders for the second version would be refused too.
    """
    setup = _Setup()
    setup.publish(2)
    setup.clock.advance(8)
    setup.publish(3)
    setup.clock.advance(8)
    assert set(setup.samplers.versions.values()) == {3}
    sent = [order.orders_taken for _, _, order in setup.samplers.orders]
    assert sorted(sent) == [0] * 6 + [1] * 6


def test_a_restarted_sampler_gets_its_orders_again() -> None:
    """It accepted orders, crashed during a load and restarted with its id.

    Its order count starts at zero again, so it would refuse every order with
    the previous count; the version that it was loading is not loaded.
    """
    setup = _Setup()
    setup.samplers.incarnation = dict.fromkeys('abcdef', 100)
    setup.publish(2)
    setup.clock.advance(12)
    assert setup.samplers.versions['a'] == 2
    before = len(setup.samplers.orders)
    setup.samplers.orders_taken['a'] = 0
    setup.samplers.incarnation['a'] = 200
    setup.samplers.versions['a'] = WeightVersion(1)
    upstream = make_upstream('a', incarnation=200)
    setup.upstreams.put(upstream)
    setup.clock.advance(1)
    setup.publish(3)
    setup.clock.advance(12)
    assert setup.samplers.versions['a'] == 3
    again = [
        (order.version, order.orders_taken)
        for _, name, order in setup.samplers.orders[before:]
        if name == 'a'
    ]
    assert again == [(2, 0), (3, 1)]


def test_a_restart_with_a_clock_set_back_is_detected() -> None:
    """The new incarnation of the sampler is lower than the previous one.

    A registration of the previous incarnation may arrive late, so it alone
    proves nothing; a report that was requested afterwards is current.
    """
    setup = _Setup()
    setup.samplers.incarnation = dict.fromkeys('abcdef', 500)
    setup.publish(2)
    setup.clock.advance(12)
    setup.samplers.orders_taken['a'] = 0
    setup.samplers.incarnation['a'] = 100
    setup.publish(3)
    setup.clock.advance(12)
    assert setup.samplers.versions['a'] == 3
    assert setup.states.get(make_upstream('a').id).incarnation == 100


def test_a_response_of_a_previous_incarnation_is_ignored() -> None:
    """An order was in transit when the sampler crashed and restarted.

    Its response arrives while the new incarnation loads. Applied to the new
    incarnation, it would cause a second order during that load.
    """
    setup = _Setup()
    states = setup.states
    name = make_upstream('a').id
    states.reset(name, 100)
    previous = states.get(name)
    previous.loading = True
    states.reset(name, 200)
    current = states.get(name)
    current.loading = True
    previous.loading = False
    previous.orders_taken = 7
    assert current.loading
    assert current.orders_taken is None


def test_models_of_bound_jobs_are_loaded_inside_only() -> None:
    """No job is known yet, but the service's routes bind all of them.

    Their first job would find its samplers outside, and wait for a load.
    """
    setup = _Setup(regions=frozenset((RegionId('south'),)))
    upstreams = setup.upstreams
    upstreams.eligibility.region_of = {ZoneId('zone-s'): RegionId('south')}
    inside = msgspec.structs.replace(make_upstream('g'), zone=ZoneId('zone-s'))
    upstreams.put(inside)
    setup.publish(2)
    setup.clock.advance(6)
    assert set(setup.samplers.versions) == {'g'}
