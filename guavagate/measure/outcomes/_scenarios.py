"""Sequences of events that random runs seldom contain, one per safeguard.

Each scenario returns whether a promise was broken: an answered addition is
missing, was applied twice, or has the same total as another.
"""

from collections.abc import Callable
from typing import Any, Final

from guavagate.clock import Task
from guavagate.exceptions import GuavagateError, NotAppliedError
from guavagate.measure.outcomes._counters import Add, Counters, Total
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.models import InstanceId
from guavagate.partitions.stored import Safeguards

_KEY: Final = 'k'
_WARM_UP_SECONDS: Final = 10.0


class CounterFleet:
    """Fleet with one counter that tracks every addition sent to it."""

    def __init__(self, names: str, safeguards: Safeguards) -> None:
        self.fleet = Fleet(
            names, 0, lambda _: {Add: Counters()}, safeguards=safeguards
        )
        self.clock = self.fleet.clock
        self.world = self.fleet.world
        self._tasks: list[Task] = []
        self.clock.advance(_WARM_UP_SECONDS)

    def primary(self) -> str:
        """Return the instance that owns the partition."""
        return self.fleet.list_primaries()[0]

    def add(self, name: str, amount: int = 1) -> Task:
        """Send an addition to an instance."""
        command = Add(at=self.clock.wall(), key=_KEY, amount=amount)
        task = self.fleet.runtimes[name].clock.spawn(
            self._submit, name, command
        )
        if amount:
            self._tasks.append(task)
        return task

    def _submit(self, name: str, command: Add) -> Total | GuavagateError:
        """Submit an addition; return an error rather than raise it."""
        try:
            return self.fleet.partitions[name].submit(_KEY, command, Total, 6)
        except GuavagateError as error:
            return error

    def block(self, one: str, other: str) -> None:
        """Drop all messages between two instances."""
        pair = InstanceId(one), InstanceId(other)
        back = pair[1], pair[0]
        self.world.network.blocked.update((pair, back))

    def set_alive(
        self, observer: str, subject: str, *, alive: bool = False
    ) -> None:
        """Report an instance to an observer as dead or alive."""
        instance = InstanceId(subject)
        members = self.world.members[InstanceId(observer)]
        members.update(self.world.peers[instance], alive=alive)

    def breaks_promise(self, name: str) -> bool:
        """End all faults; return whether an answer or a refusal was wrong."""
        self.world.network.blocked.clear()
        self.world.network.on_send = None
        self.world.store.outage = False
        self.world.store.lose_next = 0
        self.world.store.added_delay = 0
        for observer in self.fleet.list_running():
            for subject in self.fleet.list_running():
                self.set_alive(observer, subject, alive=True)
        self.clock.advance(_WARM_UP_SECONDS)
        last = self.add(name, 0)
        self.clock.run_until(last.ready, _WARM_UP_SECONDS)
        if not isinstance(last.value, Total):
            raise last.value
        totals = [
            task.value.total
            for task in self._tasks
            if isinstance(task.value, Total)
        ]
        refused = sum(
            isinstance(task.value, NotAppliedError) for task in self._tasks
        )
        total = last.value.total
        if not len(totals) <= total <= len(self._tasks) - refused:
            return True
        return len(set(totals)) < len(totals)


def write_records_concurrently(safeguards: Safeguards) -> bool:
    """Show what `conditional` prevents.

    Two instances lose their connection. Each takes over the partition and
    answers additions. Without conditional writes, each overwrites the
    other's.
    """
    fleet = CounterFleet('ab', safeguards)
    fleet.block('a', 'b')
    fleet.set_alive('a', 'b')
    fleet.set_alive('b', 'a')
    fleet.clock.advance(_WARM_UP_SECONDS)
    for _ in range(3):
        for name in ('a', 'b'):
            fleet.add(name)
        fleet.clock.advance(3)
    return fleet.breaks_promise('a')


def kill_primary_before_store_answers(safeguards: Safeguards) -> bool:
    """Show what `durable_first` prevents.

    The store is slow. The primary answers an addition that the store has not
    written yet, and is killed.
    """
    fleet = CounterFleet('abc', safeguards)
    primary = fleet.primary()
    fleet.world.store.added_delay = 1
    fleet.add(primary)
    fleet.clock.advance(0.1)
    fleet.world.kill(primary)
    fleet.clock.advance(3)
    return fleet.breaks_promise(next(name for name in 'abc' if name != primary))


def report_lost_answer_as_refusal(safeguards: Safeguards) -> bool:
    """Show what `settle` prevents.

    The store writes an addition and its answer is lost. The caller gets the
    error that the addition was not applied.
    """
    fleet = CounterFleet('abc', safeguards)
    fleet.world.store.lose_next = 1
    fleet.add(fleet.primary())
    fleet.clock.advance(5)
    return fleet.breaks_promise(fleet.primary())


def keep_unwritten_state(safeguards: Safeguards) -> bool:
    """Show what `discard` prevents.

    A primary is paused after it applied an addition that the store has not
    written. Another instance takes over. The primary resumes, its write is
    rejected, and it takes over the partition again. If it keeps its state,
    the addition counts although its caller was refused.
    """
    fleet = CounterFleet('abc', safeguards)
    primary = fleet.primary()
    other = next(name for name in 'abc' if name != primary)
    fleet.add(primary)
    fleet.clock.advance(1)
    fleet.world.store.added_delay = 0.2
    fleet.add(primary)
    fleet.clock.advance(0.05)
    fleet.world.pause(primary)
    fleet.world.store.added_delay = 0
    fleet.clock.advance(5)
    fleet.add(other)
    fleet.clock.advance(1)
    fleet.world.resume(primary)
    fleet.clock.advance(_WARM_UP_SECONDS)
    return fleet.breaks_promise(other)


def repeat_after_a_lost_reply(safeguards: Safeguards) -> bool:
    """Show what `deduplicate` prevents.

    The primary applies an addition and its reply is lost. The entry submits
    the addition again.
    """
    fleet = CounterFleet('abc', safeguards)
    primary = fleet.primary()
    other = next(name for name in 'abc' if name != primary)
    pair = InstanceId(primary), InstanceId(other)
    fleet.world.network.blocked.add(pair)
    fleet.add(other)
    fleet.clock.advance(1)
    fleet.world.network.blocked.clear()
    fleet.clock.advance(5)
    return fleet.breaks_promise(other)


Scenario = Callable[[Any], bool]

SCENARIOS: Final[dict[str, Scenario]] = {
    'conditional': write_records_concurrently,
    'durable_first': kill_primary_before_store_answers,
    'settle': report_lost_answer_as_refusal,
    'discard': keep_unwritten_state,
    'deduplicate': repeat_after_a_lost_reply,
}
