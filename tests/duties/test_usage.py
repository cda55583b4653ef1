"""Usage accounting, assembled as in an instance's process."""

from guavagate.duties import UsageAccounting
from guavagate.jobs import Ownership
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, TeamId
from guavagate.ports.duties import (
    DutyAnswer,
    LeaseHolder,
    ScaleOrder,
    TeamCounts,
)
from guavagate.rollouts import Renewals

_BLUE = TeamId('blue')
_WINDOW_SECONDS = 5.0


class _Platform:
    """Accepts all reports."""

    def __init__(self) -> None:
        self.windows: dict[int, TeamCounts] = {}

    def report_usage(
        self, holder: LeaseHolder, window: int, counts: TeamCounts
    ) -> DutyAnswer:
        """Record a report."""
        self.windows[window] = counts
        return DutyAnswer.ACCEPTED

    def order(self, holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        """Accept no orders."""
        raise NotImplementedError


def _start(
    world: World, name: str, platform: _Platform, *, enabled: bool = True
) -> UsageAccounting:
    me = InstanceId(name)
    members = world.members[me]
    ownership = Ownership(members, me)
    ownership.ready = True
    usage = UsageAccounting(
        me,
        world.hosts[me].clock,
        world.bus(name),
        world.store_of(name),
        platform,
        members,
        ownership,
        Renewals(world.bus(name), world.clock.now),
        _WINDOW_SECONDS,
        3.0,
        enabled=enabled,
        serves_callers=True,
        boot_clock=world.clock.now,
    )
    usage.start()
    return usage


def _make(
    *, enabled: bool = True
) -> tuple[World, _Platform, list[UsageAccounting]]:
    world, platform = World(), _Platform()
    for name in 'abc':
        world.add(name)
    world.clock.advance(1)
    parts = [_start(world, name, platform, enabled=enabled) for name in 'abc']
    return world, platform, parts


def test_one_instance_reports_the_counts_of_all() -> None:
    """Each instance counts the requests of its own callers."""
    world, platform, parts = _make()
    world.clock.advance(2 * _WINDOW_SECONDS)
    for usage in parts:
        usage.record(_BLUE, 0)
    world.clock.advance(2 * _WINDOW_SECONDS)
    total = sum(counts.get(_BLUE, 0) for counts in platform.windows.values())
    assert total == 3


def test_disabled_usage_accounting_counts_and_sends_nothing() -> None:
    """Deployments without usage reports must not pay for store calls."""
    world, platform, parts = _make(enabled=False)
    world.store.calls.clear()
    for usage in parts:
        usage.record(_BLUE, 0)
    world.clock.advance(4 * _WINDOW_SECONDS)
    assert not platform.windows
    assert not world.store.calls


def test_clocks_of_lost_instances_are_ignored() -> None:
    """Two of three instances have wrong clocks and are permanently lost."""
    world, _, parts = _make()
    clock = parts[0]._reporter._cluster_clock
    wrong = world.clock.wall() + 50
    for name in 'bc':
        clock.record(InstanceId(name), wrong)
    assert abs(clock.now() - wrong) < 1
    for name in 'bc':
        world.kill(name)
    world.clock.advance(4)
    assert abs(clock.now() - world.hosts[InstanceId('a')].clock.wall()) < 1
