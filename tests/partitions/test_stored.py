"""Partitions of a small fleet under failures, as seen by submitters."""

import pytest

from guavagate.exceptions import NotAppliedError, OutcomeUnknownError
from guavagate.measure.outcomes import Add, Counters, Total
from guavagate.partitions import Command, Outcome
from tests import common
from tests.common import Fleet


def _ready(names: str = 'abc', seed: int = 0) -> Fleet:
    """Return a fleet whose partition has a primary."""
    fleet = Fleet(names, seed)
    fleet.clock.advance(5)
    return fleet


def test_commands_are_applied_once_from_every_instance() -> None:
    """Each instance routes commands to the same primary."""
    fleet = _ready()
    assert fleet.total('a') == 0
    for name in 'abc':
        fleet.clock.run_until(fleet.add(name).ready)
    assert fleet.total('b') == 3
    assert len(fleet.list_primaries()) == 1


def test_answered_commands_survive_the_death_of_the_primary() -> None:
    """A pending command gets its reply from the next primary.

    The primary dies, and members detect it after two seconds. The next primary
    reads the record, and no answered command is missing.
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
    assert fleet.clock.now() - start < 4
    assert fleet.primary() not in {'', primary}


def test_all_instances_lose_power_and_nothing_answered_is_gone() -> None:
    """Every instance is killed at once, right after a reply.

    No instance has a disk. After a restart with empty memory they still know
    the answered command, because the store had it before the reply.
    """
    fleet = _ready()
    task = fleet.add('a')
    fleet.clock.run_until(task.ready)
    assert task.get(block=False).total == 1
    for name in 'abc':
        fleet.world.kill(name)
    fleet.clock.advance(1)
    for name in 'abc':
        fleet.restart(name)
    fleet.clock.advance(5)
    assert fleet.total('b') == 1


def test_a_resumed_primary_does_not_apply_commands() -> None:
    """A command to a primary that was paused is applied once, by another.

    Another instance has taken over the partition meanwhile. The resumed one
    still acts as primary, but the store refuses its write because the record
    has changed.
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


def test_an_outage_refuses_at_once_and_reconciles_pending_writes() -> None:
    """The store goes down under load and comes back after ten seconds.

    A command whose write got no response ends as unknown, as the write may
    still succeed. Later commands are refused at once and not applied. After
    the outage the first one is applied exactly once and the others are not.
    """
    fleet = _ready()
    primary = fleet.primary()
    fleet.world.store.outage = True
    first = fleet.add(primary, timeout=3)
    fleet.clock.run_until(first.ready)
    assert isinstance(first.exception, OutcomeUnknownError)
    sent_at = fleet.clock.now()
    second = fleet.add(primary, timeout=3)
    fleet.clock.run_until(second.ready)
    assert isinstance(second.exception, NotAppliedError)
    assert fleet.clock.now() - sent_at < 0.1
    fleet.clock.advance(7)
    fleet.world.store.outage = False
    fleet.clock.advance(3)
    assert fleet.total(primary) == 1


def test_a_dead_primary_during_an_outage_refuses_until_it_ends() -> None:
    """Refused commands are not applied; earlier ones survive the outage."""
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
    """Commands sent throughout the hand-over are answered quickly."""
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


def test_two_isolated_instances_answer_nothing_twice() -> None:
    """Each instance considers the other dead and takes over the partition.

    They take it from each other in turn. Additions sent to both are answered
    by the current holder of the record, and each reply has a distinct total.
    """
    fleet = _ready('ab')
    members = fleet.world.members
    for one, other in ('ab', 'ba'):
        peer = fleet.world.peers[other]  # type: ignore[index]
        members[one].update(peer, alive=False)  # type: ignore[index]
    tasks = []
    for _ in range(10):
        tasks += [fleet.add('a'), fleet.add('b')]
        fleet.clock.advance(0.7)
    fleet.clock.advance(10)
    totals = [
        task.value.total for task in tasks if isinstance(task.value, Total)
    ]
    assert len(totals) > 10
    assert len(set(totals)) == len(totals)


def test_a_delayed_write_counts_once() -> None:
    """The store does not respond, and applies the write seconds later.

    The primary has meanwhile retried it under the same condition, so the
    delayed write conflicts with a newer record and changes nothing.
    """
    fleet = _ready()
    fleet.world.store.late_write_share = 1
    task = fleet.add('a', timeout=10)
    fleet.clock.advance(0.15)
    fleet.world.store.late_write_share = 0
    fleet.clock.run_until(task.ready)
    fleet.clock.advance(6)
    assert task.get(block=False).total == 1
    assert fleet.total('a') == 1


def test_a_burst_shares_writes() -> None:
    """A partition gets a hundred commands at once.

    Each write adds cost and takes some milliseconds. Commands that arrive
    during a write share the next one, so the last command does not wait for a
    hundred writes.
    """
    fleet = _ready()
    before = len(fleet.world.store.writes)
    start = fleet.clock.now()
    tasks = [fleet.add('a') for _ in range(100)]
    fleet.clock.run_until(lambda: all(task.ready() for task in tasks))
    assert fleet.clock.now() - start < 0.2
    assert len(fleet.world.store.writes) - before <= 10
    assert fleet.total('a') == 100


class _Fragile(Counters):
    """Counters that fail on a negative addition, after changing state."""

    def apply(self, command: Command) -> Outcome:
        """Add, then fail if the amount is negative."""
        outcome = super().apply(command)
        if isinstance(command, Add) and command.amount < 0:
            raise ValueError('negative')
        return outcome


def test_a_failing_command_does_not_corrupt_the_partition(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A bug makes a command fail in the middle of a change.

    Its submitter learns that it was not applied. The partition discards the
    partial change, reads its record again and serves other commands.
    """
    monkeypatch.setattr(common, 'Counters', _Fragile)
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    broken = fleet.add('a', amount=-5)
    fleet.clock.run_until(broken.ready)
    assert isinstance(broken.exception, NotAppliedError)
    assert fleet.total('b') == 1


def test_a_deleted_record_is_created_again() -> None:
    """An operator deletes the record of a partition that is in use.

    The store refuses the primary's next write. The primary must not wait for
    a record that never comes back.
    """
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    fleet.world.store.change('partitions/0', None)
    task = fleet.add('a', timeout=10)
    fleet.clock.run_until(task.ready)
    assert task.get(block=False).total == 1


def test_a_superseded_primary_confirms_nothing() -> None:
    """A resumed primary tries to give a sampler an order at once.

    It confirms with a write that it is still the primary. Another instance has
    taken over, so the command is refused here and not forwarded to the current
    primary, which would confirm an order of the old one.
    """
    fleet = _ready()
    primary = fleet.primary()
    other = next(name for name in 'abc' if name != primary)
    partitions = fleet.partitions[primary]
    epoch = partitions.list_owned()[0].epoch
    fleet.world.pause(primary)
    fleet.clock.advance(6)
    assert fleet.total(other, timeout=8) == 0
    fleet.world.resume(primary)
    command = Add(at=fleet.clock.wall(), key='k')
    clock = fleet.runtimes[primary].clock
    task = clock.spawn(partitions.submit_here, 'k', epoch, command, Total)
    fleet.clock.run_until(task.ready)
    assert isinstance(task.exception, NotAppliedError)
    assert fleet.total(other, timeout=8) == 0
