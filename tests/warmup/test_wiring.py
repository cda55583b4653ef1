"""The start limits of an instance that works on a service's jobs."""

import pytest

from guavagate.jobs import JobStore, Ownership
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, ZoneId
from guavagate.ports.configuration import Configuration, Service, Warmup
from guavagate.rollouts import Renewals
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.service import JobServices
from guavagate.warmup import StartBudgets, limit_starts
from tests.jobs.rewards import FakeRewardClient
from tests.jobs.samplers import SERVICE, FakeSamplers, make_upstream
from tests.quarantine.common import make_quarantine
from tests.rollouts.test_coordinator import make_configuration
from tests.warmup.common import BOUND, WARMUP

_ME = InstanceId('a')


class _Registry:
    """Fake registry that has discovered all members at once."""

    first_start = True

    def wait_for_discovery(self, is_enough: object = None) -> None:
        """Return at once."""


def _start(warmup: Warmup | None) -> tuple[World, JobServices, StartBudgets]:
    world = World()
    clock = world.add(_ME).clock
    routes = RouteTable()
    configured = make_configuration()
    services = (Service(id=SERVICE, slots=4, models=('m0',), warmup=warmup),)
    routes.apply(
        Configuration(version=1, routes=configured.routes, services=services)
    )
    upstreams = UpstreamTable(clock, ZoneId('z'))
    upstreams.put(make_upstream('x'))
    ownership = Ownership(world.members[_ME], _ME)
    bus, store, metrics = world.bus(_ME), world.store_of(_ME), Metrics()
    budgets = limit_starts(
        clock,
        bus,
        world.members[_ME],
        ownership,
        routes,
        upstreams,
        metrics,
        BOUND,
    )
    jobs = JobServices(
        _ME,
        clock,
        JobStore(store, clock, _ME),
        ownership,
        routes,
        upstreams,
        FakeSamplers(clock),
        FakeRewardClient(clock),
        make_quarantine(clock),
        3.0,
        metrics,
        120.0,
        Renewals(bus, clock.now),
        bus,
        '',
        boot_clock=clock.now,
        budgets=budgets,
    )
    clock.spawn(jobs.take_ownership, _Registry())
    return world, jobs, budgets


@pytest.mark.parametrize('warmup', [WARMUP, None])
def test_an_owner_proves_that_it_is_the_only_holder(
    warmup: Warmup | None,
) -> None:
    """Without the proof each sampler would get a quarter of its budget.

    A service without a warm-up does not renew its lease for it.
    """
    world, jobs, budgets = _start(warmup)
    world.clock.advance(3)
    starts = budgets.get(SERVICE)
    assert starts.held
    assert starts.is_sole() is (warmup is not None)
    jobs.leave()
    assert not starts.is_sole()
