"""Orders of events that random runs seldom hold, one for each safeguard.

Each returns whether a promise was broken: an answered addition is missing,
doubled, or was given the total of another.
"""

from collections.abc import Callable
from typing import Any, Final

from guavagate.clock import Task
from guavagate.exceptions import GuavagateError
from guavagate.measure.outcomes._counts import Add, Counters, Total
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.models import InstanceId
from guavagate.partitions.replicated import Safeguards

_KEY: Final = 'k'
_WARM_UP: Final = 10.0
_STEP: Final = 0.05


class Counting:
    """A fleet with one counter, and every addition asked of it."""

    def __init__(self, names: str, guards: Safeguards) -> None:
        self.fleet = Fleet(
            names, 0, lambda _: {Add: Counters()}, safeguards=guards
        )
        self.clock = self.fleet.clock
        self.world = self.fleet.world
        self._tasks: list[Task] = []
        self.clock.advance(_WARM_UP)

    def holders(self) -> list[str]:
        """Return the members of the view, the primary first."""
        views = self.fleet.partitions[self.fleet.primaries()[0]].views()
        return [str(member.instance) for member in views[0].members]

    def add(self, name: str, amount: int = 1) -> Task:
        """Ask for an addition at an instance."""
        command = Add(at=self.clock.wall(), key=_KEY, amount=amount)
        task = self.fleet.runtimes[name].clock.spawn(
            self._submit, name, command
        )
        if amount:
            self._tasks.append(task)
        return task

    def _submit(self, name: str, command: Add) -> Total | GuavagateError:
        """Submit; return an error rather than raise it."""
        try:
            return self.fleet.partitions[name].submit(_KEY, command, Total, 6)
        except GuavagateError as error:
            return error

    def block(self, one: str, other: str) -> None:
        """Let nothing pass between two instances."""
        pair = InstanceId(one), InstanceId(other)
        back = pair[1], pair[0]
        self.world.network.blocked.update((pair, back))

    def misjudge(self, who: str, whom: str, *, alive: bool = False) -> None:
        """Let one instance take another for dead, or for alive again."""
        instance = InstanceId(whom)
        members = self.world.members[InstanceId(who)]
        members.update(self.world.peers[instance], alive=alive)

    def is_broken(self, name: str) -> bool:
        """Heal all; say whether an answer was not kept."""
        self.world.network.blocked.clear()
        self.world.store.outage = False
        self.world.store.lose_answers = 0
        self.world.store.slow = 0
        for who in self.fleet.running():
            for whom in self.fleet.running():
                self.misjudge(who, whom, alive=True)
        self.clock.advance(_WARM_UP)
        last = self.add(name, 0)
        self.clock.run_until(last.ready, _WARM_UP)
        if not isinstance(last.value, Total):
            raise last.value
        totals = [
            task.value.total
            for task in self._tasks
            if isinstance(task.value, Total)
        ]
        kept = last.value.total
        if kept < len(totals) or kept > len(self._tasks):
            return True
        return len(set(totals)) < len(totals)


def wake_sealed_primary(guards: Safeguards) -> bool:
    """Show what `fence` prevents.

    Others take a living primary for dead and seal its backups. Before the
    new view is written it gets one backup's acknowledgement for an addition
    that the other backup, which becomes the primary, does not hold.
    """
    return any(_answer_while_sealed(guards, place) for place in (1, 2))


def take_over_alone(guards: Safeguards) -> bool:
    """Show what `enough_sealed` prevents.

    A backup that reaches nobody takes over by sealing itself. The others go
    on; when it reaches them again, its copy replaces theirs.
    """
    run = Counting('abc', guards)
    primary, lonely, other = run.holders()
    run.block(lonely, primary)
    run.block(lonely, other)
    run.misjudge(lonely, primary)
    run.misjudge(lonely, other)
    run.clock.advance(1)
    for _ in range(3):
        run.add(primary)
        run.clock.advance(0.5)
    return run.is_broken(lonely)


def go_on_by_old_view(guards: Safeguards) -> bool:
    """Show what `joint` and `read_back` prevent.

    A primary without backups takes two in. The view is in force but the
    store's answer is lost, and the store goes down. If the primary goes on
    by the old view, it answers alone; then it dies and the two take over.
    """
    run = Counting('abc', guards)
    primary, one, other = run.holders()
    for name in (one, other):
        run.world.kill(name)
        run.clock.advance(_WARM_UP)
    run.world.store.lose_answers = 1
    for name in (one, other):
        run.fleet.restart(name)
    while _read_view(run).count(b'boot') < 3:
        run.clock.advance(0.001)
    run.world.store.outage = True
    run.block(primary, one)
    run.block(primary, other)
    run.clock.advance(4)
    run.add(primary)
    run.clock.advance(2)
    run.world.kill(primary)
    return run.is_broken(one)


def restart_sealed_member(guards: Safeguards) -> bool:
    """Show what `boot_ids` prevents.

    A primary is paused and taken over. A member of both views is started
    again, without its memory and its promise. The old primary wakes, brings
    it up as its backup and makes up the majority that it lacks.
    """
    run = Counting('abc', guards)
    primary, first, second = run.holders()
    run.world.pause(primary)
    run.block(primary, first)
    run.block(primary, second)
    run.clock.advance(2.6)
    taken = run.fleet.primaries()[0]
    lost = second if taken == first else first
    run.add(taken)
    run.clock.advance(0.1)
    run.world.store.outage = True
    run.world.kill(lost)
    run.clock.advance(0.1)
    run.fleet.restart(lost)
    run.world.network.blocked.clear()
    run.block(taken, lost)
    run.block(taken, primary)
    run.world.resume(primary)
    run.add(primary)
    run.clock.advance(1)
    return run.is_broken(taken)


def write_views_at_once(guards: Safeguards) -> bool:
    """Show what `conditional` prevents.

    Two members lose each other. Each writes a view of itself alone, from the
    same view before it; by both views additions are answered.
    """
    run = Counting('ab', guards)
    primary, backup = run.holders()
    run.world.store.slow = 2
    run.block(primary, backup)
    run.misjudge(primary, backup)
    run.misjudge(backup, primary)
    run.clock.advance(_WARM_UP)
    for name in (primary, backup):
        run.add(name)
    run.clock.advance(_WARM_UP)
    return run.is_broken(primary)


def _answer_while_sealed(guards: Safeguards, place: int) -> bool:
    """Let a primary reach one backup while both are sealed."""
    run = Counting('abc', guards)
    holders = run.holders()
    primary = holders[0]
    run.world.store.slow = 1
    run.misjudge(holders[1], primary)
    run.clock.advance(1.5)
    run.block(primary, holders[place])
    task = run.add(primary)
    run.clock.advance(0.4)
    run.world.pause(primary)
    run.clock.advance(5)
    run.world.resume(primary)
    run.clock.run_until(task.ready, 5)
    return run.is_broken(holders[1])


def _read_view(run: Counting) -> bytes:
    """Return the view in the store."""
    return run.world.store.objects['views/0'].value


Scenario = Callable[[Any], bool]

SCENARIOS: Final[dict[str, Scenario]] = {
    'fence': wake_sealed_primary,
    'enough_sealed': take_over_alone,
    'joint': go_on_by_old_view,
    'read_back': go_on_by_old_view,
    'conditional': write_views_at_once,
    'boot_ids': restart_sealed_member,
}
