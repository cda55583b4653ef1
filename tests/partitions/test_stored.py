"""Partitions of a small fleet under failures, as those who submit see it."""

import pytest

from guavagate.exceptions import NotAppliedError, OutcomeUnknownError
from guavagate.measure.outcomes import Add, Counters, Total
from guavagate.partitions import Command, Outcome
from tests import common
from tests.common import Fleet


def _ready(names: str = 'abc', seed: int = 0) -> Fleet:
    """Return a fleet whose partition is held."""
    fleet = Fleet(names, seed)
    fleet.clock.advance(5)
    return fleet


def test_commands_are_applied_once_wherever_they_are_sent() -> None:
    """Each instance routes to the same primary."""
    fleet = _ready()
    assert fleet.total('a') == 0
    for name in 'abc':
        fleet.clock.run_until(fleet.add(name).ready)
    assert fleet.total('b') == 3
    assert len(fleet.primaries()) == 1


def test_a_killed_primary_is_taken_over_with_all_that_was_answered() -> None:
    """The caller's command waits, then gets its answer from another.

    The primary dies; members notice after two seconds; the next one reads
    the record, and no answered command is missing.
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
    """Every instance is killed at once, right after an answer.

    None of them has a disk. Started again with empty memories, they know
    what was answered, as the store held it before the caller was told.
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


def test_a_paused_primary_answers_nothing_when_it_wakes() -> None:
    """A command that reaches it after its pause is done once, by another.

    Others have gone on with the partition. It still believes that it decides;
    the store refuses its write, as the record is not the one it knows.
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


def test_an_outage_refuses_at_once_and_what_was_under_way_is_settled() -> None:
    """The store goes down under load and comes back after ten seconds.

    A command whose write got no answer is told to be unknown, as the write
    may be made yet. Later ones are refused without waiting, truly not
    applied. After the outage the first is there once and the others are not.
    """
    fleet = _ready()
    primary = fleet.primary()
    fleet.world.store.outage = True
    first = fleet.add(primary, timeout=3)
    fleet.clock.run_until(first.ready)
    assert isinstance(first.exception, OutcomeUnknownError)
    asked = fleet.clock.now()
    second = fleet.add(primary, timeout=3)
    fleet.clock.run_until(second.ready)
    assert isinstance(second.exception, NotAppliedError)
    assert fleet.clock.now() - asked < 0.1
    fleet.clock.advance(7)
    fleet.world.store.outage = False
    fleet.clock.advance(3)
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


def test_two_that_lose_each_other_answer_nothing_twice() -> None:
    """Each takes the other for dead and the partition for its own.

    They take it from each other in turn. Additions asked of both are answered
    by whoever holds the record, and each answer has a total of its own.
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


def test_a_write_made_late_counts_once() -> None:
    """The store gives no answer, and makes the write seconds later.

    The primary has meanwhile tried it again under the same condition, so the
    late one meets a newer record and changes nothing.
    """
    fleet = _ready()
    fleet.world.store.late = 1
    task = fleet.add('a', timeout=10)
    fleet.clock.advance(0.15)
    fleet.world.store.late = 0
    fleet.clock.run_until(task.ready)
    fleet.clock.advance(6)
    assert task.get(block=False).total == 1
    assert fleet.total('a') == 1


def test_a_burst_shares_writes() -> None:
    """A hundred commands at once for one partition.

    Each write has its price and takes some milliseconds; commands that come
    while one is under way share the next, so that the last does not wait for
    a hundred of them.
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
    """Counters that fail at a negative addition, after changing something."""

    def apply(self, command: Command) -> Outcome:
        """Add, or fail half-way."""
        outcome = super().apply(command)
        if isinstance(command, Add) and command.amount < 0:
            raise ValueError('negative')
        return outcome


def test_a_command_that_fails_spoils_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A command runs into a fault of the code, in the middle of a change.

    Its caller is told that it was not applied. The partition forgets what was
    half done, reads its record again, and goes on with what others ask.
    """
    monkeypatch.setattr(common, 'Counters', _Fragile)
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    broken = fleet.add('a', amount=-5)
    fleet.clock.run_until(broken.ready)
    assert isinstance(broken.exception, NotAppliedError)
    assert fleet.total('b') == 1


def test_a_record_that_was_removed_is_begun_anew() -> None:
    """An operator deletes the record of a partition that is in use.

    Its primary is refused at its next write. It must not wait for a record
    that never comes back.
    """
    fleet = _ready()
    fleet.clock.run_until(fleet.add('a').ready)
    fleet.world.store.change('partitions/0', None)
    task = fleet.add('a', timeout=10)
    fleet.clock.run_until(task.ready)
    assert task.get(block=False).total == 1


def test_a_primary_that_was_gone_on_from_confirms_nothing() -> None:
    """A paused primary wakes and wants to order a sampler at once.

    It asks the store to confirm that it still decides. Another has gone on
    from its record, so the command is refused here and is not passed on to
    the one that decides now: an order of the old one would be confirmed then.
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
