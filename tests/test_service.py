"""Which services an instance takes over after a restart."""

from collections.abc import Callable

from guavagate.clock import PausedClock
from guavagate.jobs import JobStore, Ownership
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ZoneId
from guavagate.rollouts import Renewals
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.service import JobServices
from guavagate.util.uptime import BootOf, ignore_boots
from tests.jobs.rewards import FakeRewardClient
from tests.jobs.samplers import SERVICE, FakeSamplers
from tests.quarantine.common import make_quarantine
from tests.rollouts.test_coordinator import make_configuration

_NAMES = tuple(InstanceId(name) for name in 'abc')
_LEASE = b'{"holder":"%s","generation":4,"nonce":"n","ordered":true}'


class _FakeRegistry:
    """Fake registry that has discovered all members at once."""

    def __init__(self, *, first_start: bool) -> None:
        self.first_start = first_start
        self.enough = False

    def wait_for_discovery(self, is_enough: Callable[[], bool] = bool) -> None:
        """Return at once; record whether the caller could stop waiting."""
        self.enough = is_enough()


def _start_services(
    world: World,
    name: InstanceId,
    registry: _FakeRegistry,
    boot_of: BootOf = ignore_boots,
) -> JobServices:
    """Start the services of one instance."""
    clock: PausedClock = world.clock
    store = world.store_of(name)
    routes = RouteTable()
    routes.apply(make_configuration())
    services = JobServices(
        name,
        clock,
        JobStore(store, clock, name),
        Ownership(world.members[name], name, boot_of),
        routes,
        UpstreamTable(clock, ZoneId('zone-0')),
        FakeSamplers(clock),
        FakeRewardClient(clock),
        make_quarantine(clock),
        3.0,
        Metrics(),
        120.0,
        Renewals(world.bus(name), clock.now),
        world.bus(name),
        '',
    )
    clock.spawn(services.take_ownership, registry)
    return services


def _find_owners(world: World, *, first_start: bool) -> list[InstanceId]:
    """Return the instances that own the service once all have started."""
    started = {
        name: _start_services(
            world, name, _FakeRegistry(first_start=first_start)
        )
        for name in _NAMES
    }
    world.clock.advance(1)
    return [name for name, each in started.items() if each.active]


def _make_world() -> World:
    world = World()
    for name in _NAMES:
        world.add(name)
    world.clock.advance(1)
    return world


def test_after_a_full_restart_the_last_lease_holder_owns_the_service() -> None:
    """Every process is killed; the store has the last holder of the lease.

    Any other instance that took over the service would have to wait for seconds
    before it may order samplers.
    """
    first = _find_owners(_make_world(), first_start=True)[0]
    last_holder = next(name for name in _NAMES if name != first)
    world = _make_world()
    world.store.change(f'leases/{SERVICE}', _LEASE % last_holder.encode())
    assert _find_owners(world, first_start=False) == [last_holder]


def test_the_last_lease_holder_does_not_wait_for_all_others() -> None:
    """Every process is killed; two hundred start within one or two seconds.

    During that time instances keep joining. The last holder of the lease only
    has to know that no instance has run for longer; the others wait for all.
    """
    world = _make_world()
    clock: PausedClock = world.clock
    world.store.change(f'leases/{SERVICE}', _LEASE % b'b')
    registries = {name: _FakeRegistry(first_start=False) for name in _NAMES}
    for name, registry in registries.items():
        _start_services(world, name, registry)
    clock.advance(0.1)
    enough = {name: each.enough for name, each in registries.items()}
    assert enough == {'a': False, 'b': True, 'c': False}


def test_a_former_owner_that_restarts_alone_waits_for_the_others() -> None:
    """Only its process was killed; a running instance has taken over."""
    world = _make_world()
    clock: PausedClock = world.clock
    world.store.change(f'leases/{SERVICE}', _LEASE % b'b')
    registry = _FakeRegistry(first_start=False)
    boots = {'a': 0, 'b': 20_000, 'c': 0}
    _start_services(world, InstanceId('b'), registry, boots.get)
    clock.advance(0.1)
    assert not registry.enough


def test_one_instance_owns_the_service_if_the_store_is_unavailable() -> None:
    """The holder of the lease can't be read, so the ranking decides."""
    first = _find_owners(_make_world(), first_start=True)[0]
    world = _make_world()
    world.store.outage = True
    assert _find_owners(world, first_start=False) == [first]
