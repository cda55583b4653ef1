"""Orders to samplers, with answers lost and sampler state unknown."""

from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, WeightVersion, ZoneId
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
    NamedVersions,
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


class _Setting:
    """One coordinator before six samplers."""

    def __init__(self, *, single_version: bool = False) -> None:
        world = World()
        world.add('me')
        self.clock = world.clock
        store = MemoryStore(self.clock)
        routes = RouteTable()
        routes.apply(make_configuration(single_version=single_version))
        self.upstreams = UpstreamTable(self.clock, ZoneId('zone-0'))
        for name in 'abcdef':
            self.upstreams.put(make_upstream(name))
        self.named = NamedVersions(self.clock)
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
            self.named,
            self.states,
            self.samplers,
            dict,
            lambda: 4,
        )
        self.coordinator.start()

    def name(self, version: int) -> None:
        """Name a version of the model."""
        self.named.put(MODEL, WeightVersion(version))
        self.coordinator.wake()


def test_a_named_version_reaches_all_samplers_a_few_at_a_time() -> None:
    """Six samplers load two at a time, with one generation for all.

    None before a step that comes with the version had time to start.
    """
    held = _Setting()
    held.name(2)
    held.clock.advance(0.5)
    assert not held.samplers.orders
    held.clock.advance(0.7)
    assert len(held.samplers.orders) == 2
    held.clock.advance(6)
    assert set(held.samplers.versions) == set('abcdef')
    assert {order.generation for _, _, order in held.samplers.orders} == {1}


def test_an_order_without_an_answer_is_not_sent_blindly_again() -> None:
    """The sampler took the order or will take it late.

    Its count of orders is asked for before another one is sent, so the late
    one is refused by the sampler itself.
    """
    held = _Setting()
    held.samplers.silent_orders = 2
    held.name(2)
    held.clock.advance(10)
    assert set(held.samplers.versions) == set('abcdef')
    for _, sampler, order in held.samplers.orders[-4:]:
        assert order.orders_taken <= held.samplers.orders_taken[sampler]


def test_an_older_name_that_comes_late_changes_nothing() -> None:
    """A list read after a lost watch holds what is known already."""
    held = _Setting()
    held.name(3)
    held.clock.advance(8)
    held.name(2)
    held.clock.advance(8)
    assert set(held.samplers.versions.values()) == {3}


def test_runs_end_before_a_load_where_texts_have_one_version() -> None:
    """A route asks for texts made by a single version."""
    held = _Setting(single_version=True)
    held.name(2)
    held.clock.advance(1)
    assert not any(each.keep_running for _, _, each in held.samplers.orders)


def test_after_stepping_down_nothing_is_ordered() -> None:
    """Another instance coordinates now."""
    held = _Setting()
    held.name(2)
    held.clock.advance(0.5)
    held.coordinator.stop()
    sent = len(held.samplers.orders)
    held.clock.advance(5)
    assert len(held.samplers.orders) == sent
    assert not held.lease.may_order()


def test_a_dead_sampler_is_not_ordered_over_and_over() -> None:
    """It is registered for some seconds more and refuses connections.

    Each order that fails costs a connection and a renewal of the lease; the
    others are brought to the version meanwhile.
    """
    held = _Setting()
    held.samplers.down.add('a')
    held.name(2)
    held.clock.advance(6)
    assert set(held.samplers.versions) == set('bcdef')
    assert held.samplers.reports['a'] < 15


def test_each_order_names_how_many_were_taken_before() -> None:
    """An order that comes late meets another count, and is refused.

    Without the right count the second version's orders would be refused too.
    """
    held = _Setting()
    held.name(2)
    held.clock.advance(8)
    held.name(3)
    held.clock.advance(8)
    assert set(held.samplers.versions.values()) == {3}
    sent = [order.orders_taken for _, _, order in held.samplers.orders]
    assert sorted(sent) == [0] * 6 + [1] * 6


def test_a_sampler_that_starts_again_is_ordered_anew() -> None:
    """It had taken orders, crashed in a load and started under its id.

    It counts orders from the start, so the number that was held would have
    every order refused; what it was loading, it has not loaded.
    """
    held = _Setting()
    held.samplers.incarnation = dict.fromkeys('abcdef', 100)
    held.name(2)
    held.clock.advance(12)
    assert held.samplers.versions['a'] == 2
    before = len(held.samplers.orders)
    held.samplers.orders_taken['a'] = 0
    held.samplers.incarnation['a'] = 200
    held.samplers.versions['a'] = WeightVersion(1)
    upstream = make_upstream('a', incarnation=200)
    held.upstreams.put(upstream)
    held.clock.advance(1)
    held.name(3)
    held.clock.advance(12)
    assert held.samplers.versions['a'] == 3
    again = [
        (order.version, order.orders_taken)
        for _, name, order in held.samplers.orders[before:]
        if name == 'a'
    ]
    assert again == [(2, 0), (3, 1)]


def test_a_sampler_whose_clock_was_set_back_is_believed() -> None:
    """Its new start seems older than the former one by what it says.

    A registration of the former start may come late, so that alone proves
    nothing; a report that was asked for after it is the sampler's own word.
    """
    held = _Setting()
    held.samplers.incarnation = dict.fromkeys('abcdef', 500)
    held.name(2)
    held.clock.advance(12)
    held.samplers.orders_taken['a'] = 0
    held.samplers.incarnation['a'] = 100
    held.name(3)
    held.clock.advance(12)
    assert held.samplers.versions['a'] == 3
    assert held.states.get(make_upstream('a').id).incarnation == 100


def test_an_answer_of_a_former_start_changes_nothing() -> None:
    """An order was on its way when the sampler crashed and started again.

    Its answer comes late, after the new start was seen to load; taken for the
    new start's, a second order would be sent into that load.
    """
    held = _Setting()
    states = held.states
    name = make_upstream('a').id
    states.reset(name, 100)
    former = states.get(name)
    former.loading = True
    states.reset(name, 200)
    fresh = states.get(name)
    fresh.loading = True
    former.loading = False
    former.orders_taken = 7
    assert fresh.loading
    assert fresh.orders_taken is None
