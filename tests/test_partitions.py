"""Tests of replicated partitions under failures."""

import pytest

from guavagate.exceptions import NotAppliedError, StoreError
from guavagate.models import InstanceId, PartitionId
from guavagate.partitions._views import Views
from guavagate.partitions.replicated import Safeguards
from tests.common import Fleet


def _ready(names: str = 'abc', seed: int = 0) -> Fleet:
    """Return a fleet whose partition has all its copies."""
    fleet = Fleet(names, seed)
    fleet.clock.advance(10)
    return fleet


def test_commands_are_applied_once_wherever_they_are_sent() -> None:
    """Each instance routes to the same primary."""
    fleet = _ready()
    assert fleet.total('a') == 0
    for name in 'abc':
        task = fleet.add(name)
        fleet.clock.run_until(task.ready)
    assert fleet.total('b') == 3
    assert len(fleet.partitions['a'].views()[0].members) == 3


def test_a_killed_primary_is_taken_over_with_all_that_was_answered() -> None:
    """The caller's command waits, then gets its answer from a backup.

    The primary dies; members notice after two seconds; two are sealed; the
    one that holds the most goes on, and no answered command is missing.
    """
    fleet = _ready()
    for _ in range(5):
        fleet.clock.run_until(fleet.add('a').ready)
    primary = fleet.primary()
    other = next(name for name in 'abc' if name != primary)
    fleet.world.kill(primary)
    start = fleet.clock.now()
    task = fleet.add(other, timeout=10)
    fleet.clock.run_until(task.ready)
    assert task.get(block=False).total == 6
    assert fleet.clock.now() - start < 5
    assert fleet.primary() not in {'', primary}


def test_a_paused_primary_grants_nothing_when_it_wakes() -> None:
    """A command that reaches it after its pause is refused by its epoch.

    It was sealed out while paused. It still believes in its view; whatever
    it is asked then is done once, by the new primary.
    """
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    primary = fleet.primary()
    other = next(name for name in 'abc' if name != primary)
    fleet.world.pause(primary)
    fleet.clock.advance(6)
    assert fleet.total(other, timeout=8) == 1
    late = fleet.add(primary, timeout=8)
    fleet.world.resume(primary)
    fleet.clock.run_until(late.ready)
    assert late.get(block=False).total == 2
    assert fleet.total(other, timeout=8) == 2


def test_a_dead_backup_during_an_outage_stops_nothing() -> None:
    """The majority of the old view goes on without the store."""
    fleet = _ready()
    primary = fleet.primary()
    backup = next(name for name in 'abc' if name != primary)
    fleet.world.store.outage = True
    fleet.world.kill(backup)
    fleet.clock.advance(10)
    assert fleet.total(primary) == 0
    fleet.clock.run_until(fleet.add(primary).ready)
    assert fleet.total(primary) == 1


def test_a_dead_primary_during_an_outage_refuses_until_it_ends() -> None:
    """The refusal is certain: nothing was applied; afterwards all is there."""
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    primary = fleet.primary()
    other = next(name for name in 'abc' if name != primary)
    fleet.world.store.outage = True
    fleet.world.kill(primary)
    fleet.clock.advance(5)
    task = fleet.add(other, timeout=3)
    fleet.clock.run_until(task.ready)
    assert isinstance(task.exception, NotAppliedError)
    fleet.world.store.outage = False
    fleet.clock.advance(8)
    assert fleet.total(other) == 1


def test_a_planned_stop_leaves_no_gap() -> None:
    """Commands sent all through the hand-over are answered quickly."""
    fleet = _ready('abcd')
    primary = fleet.primary()
    other = next(name for name in 'abcd' if name != primary)
    tasks = []
    stop = fleet.runtimes[primary].clock.spawn(fleet.partitions[primary].stop)
    for _ in range(20):
        tasks.append(fleet.add(other))
        fleet.clock.advance(0.01)
    fleet.clock.run_until(stop.ready)
    assert stop.get(block=False)
    fleet.clock.advance(0.5)
    assert all(task.ready() and task.successful() for task in tasks)
    assert fleet.primary() != primary
    assert fleet.total(other) == 20


def test_a_woken_primary_whose_takeover_came_to_nothing_goes_on() -> None:
    """The partition is served again once two of three copies are back.

    The primary is cut off and one backup dies, so the other backup seals
    itself but meets no majority; the view still names the primary. When it is
    back, the sealed backup refuses it. It must take over from itself instead
    of beginning again in its old epoch for ever.
    """
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    primary = InstanceId(fleet.primary())
    left, dead = [InstanceId(name) for name in 'abc' if name != primary]
    fleet.world.network.blocked = {(left, primary), (primary, left)}
    fleet.world.tell(primary, alive=False, after=0)
    fleet.world.kill(dead)
    fleet.clock.advance(4)
    fleet.world.network.blocked = set()
    fleet.world.tell(primary, alive=True, after=0)
    fleet.clock.advance(8)
    task = fleet.add(left, timeout=8)
    fleet.clock.run_until(task.ready)
    assert task.get(block=False).total == 2


def test_an_object_that_is_no_view_hides_no_other_view() -> None:
    """Someone writes over one view; an instance that starts reads them all.

    It learns the others, and an error with a remedy for this one, rather
    than end the task that looks after all partitions.
    """
    fleet = Fleet('abc', partitions=2)
    fleet.clock.advance(10)
    fleet.world.store.change('views/0', b'not a view')
    views = Views(fleet.world.store_of('a'), fleet.clock, Safeguards())
    found = fleet.clock.spawn(views.read_all)
    broken = fleet.clock.spawn(views.read, PartitionId(0))
    fleet.clock.advance(1)
    assert [view.partition for view in found.get(block=False)] == [1]
    with pytest.raises(StoreError, match='write back its earlier value'):
        broken.get(block=False)
