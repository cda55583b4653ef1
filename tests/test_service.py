"""Which services an instance works on after it has started again."""

from collections.abc import Callable

from guavagate.clock import PausedClock
from guavagate.jobs import JobStore, Ownership
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ZoneId
from guavagate.rollouts import Renewals
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.service import Services
from guavagate.util.uptime import BootOf, ignore_boots
from tests.jobs.rewards import FakeRewardClient
from tests.jobs.samplers import SERVICE, FakeSamplers
from tests.rollouts.test_coordinator import make_configuration

_NAMES = tuple(InstanceId(name) for name in 'abc')
_RECORD = b'{"holder":"%s","generation":4,"nonce":"n","ordered":true}'


class _Registry:
    """Knows of all others at once."""

    def __init__(self, *, first_start: bool) -> None:
        self.first_start = first_start
        self.enough = False

    def wait_for_discovery(self, is_enough: Callable[[], bool] = bool) -> None:
        """Return at once, or as soon as that is enough where it is asked."""
        self.enough = is_enough()


def _begin(
    world: World,
    name: InstanceId,
    registry: _Registry,
    boot_of: BootOf = ignore_boots,
) -> Services:
    """Start what one instance does for services, and let it settle."""
    clock: PausedClock = world.clock
    store = world.store_of(name)
    routes = RouteTable()
    routes.apply(make_configuration())
    services = Services(
        name,
        clock,
        JobStore(store, clock, name),
        Ownership(world.members[name], name, boot_of),
        routes,
        UpstreamTable(clock, ZoneId('zone-0')),
        FakeSamplers(clock),
        FakeRewardClient(clock),
        3.0,
        Metrics(),
        120.0,
        Renewals(world.bus(name), clock.now),
        world.bus(name),
        '',
    )
    clock.spawn(services.begin, registry)
    return services


def _find_owners(world: World, *, first_start: bool) -> list[InstanceId]:
    """Return who works on the service once all have started."""
    started = {
        name: _begin(world, name, _Registry(first_start=first_start))
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


def test_all_start_again_and_the_last_holder_of_the_lease_owns() -> None:
    """Every process was killed; the store tells who ordered samplers last.

    Whoever else took the service over would wait for seconds before it may
    order them.
    """
    first = _find_owners(_make_world(), first_start=True)[0]
    former = next(name for name in _NAMES if name != first)
    world = _make_world()
    world.store.change(f'leases/{SERVICE}', _RECORD % former.encode())
    assert _find_owners(world, first_start=False) == [former]


def test_the_former_owner_need_not_hear_of_all_others() -> None:
    """Every process was killed; two hundred start within a second or two.

    Joins come one after the other all that time. Whoever held the lease only
    has to know that nobody runs for longer; the others wait for all.
    """
    world = _make_world()
    clock: PausedClock = world.clock
    world.store.change(f'leases/{SERVICE}', _RECORD % b'b')
    registries = {name: _Registry(first_start=False) for name in _NAMES}
    for name, registry in registries.items():
        _begin(world, name, registry)
    clock.advance(0.1)
    enough = {name: each.enough for name, each in registries.items()}
    assert enough == {'a': False, 'b': True, 'c': False}


def test_a_former_owner_that_starts_alone_waits_for_the_others() -> None:
    """Only its process was killed; one that runs on has taken over."""
    world = _make_world()
    clock: PausedClock = world.clock
    world.store.change(f'leases/{SERVICE}', _RECORD % b'b')
    registry = _Registry(first_start=False)
    boots = {'a': 0, 'b': 20_000, 'c': 0}
    _begin(world, InstanceId('b'), registry, boots.get)
    clock.advance(0.1)
    assert not registry.enough


def test_the_store_is_away_at_the_restart_and_one_owns_all_the_same() -> None:
    """Who held the lease can't be read; the ranking decides."""
    first = _find_owners(_make_world(), first_start=True)[0]
    world = _make_world()
    world.store.outage = True
    assert _find_owners(world, first_start=False) == [first]
