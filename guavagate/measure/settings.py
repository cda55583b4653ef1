"""Measures how settings propagate through a fleet in virtual time."""

import functools
import random
from typing import Final

import msgspec

from guavagate.exceptions import GuavagateError
from guavagate.measure.fakes import FakeDecisionLog, World
from guavagate.models import InstanceId, Revision, TeamId
from guavagate.settings import (
    ChangeRequest,
    SettingsRecord,
    TeamSettingsManager,
    settings_path,
)

TEAM: Final = TeamId('authority')
_SETTLE_SECONDS: Final = 5.0
_LIMIT_SECONDS: Final = 19.0


class PropagationResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a series of changes; times in seconds.

    Parameters
    ----------
    reverts
        Number of times that an instance's revision decreased.
    late
        Changes that were not in force on every instance within the limit.
    """

    instances: int
    changes: int
    median: float
    p99: float
    longest: float
    late: int
    reverts: int
    digest_bytes: float
    tell_bytes: float
    watches: float


class SettingsFleet:
    """Instances that run `TeamSettingsManager` and nothing else.

    Attributes
    ----------
    effective_at
        When each revision came into force on each instance.
    reverts
        Number of times that an instance's revision decreased.
    """

    def __init__(self, names: list[str], seed: int = 0) -> None:
        self.world = World(seed)
        self.teams: dict[str, TeamSettingsManager] = {}
        self.decisions: dict[str, FakeDecisionLog] = {}
        self.effective_at: dict[tuple[str, Revision], float] = {}
        self.reverts = 0
        self._newest: dict[str, Revision] = {}
        for name in names:
            self.world.add(name)
        for name in names:
            self.start(name)

    def start(self, name: str) -> TeamSettingsManager:
        """Start the component on an instance that has been added."""
        decisions = FakeDecisionLog()
        teams = TeamSettingsManager(
            self.world.settings_of(name),
            self.world.hosts[InstanceId(name)].clock,
            self.world.bus(name),
            self.world.store_of(name),
            self.world.members[InstanceId(name)],
            decisions,
        )
        self.teams[name] = teams
        self.decisions[name] = decisions
        teams.subscribe(lambda team: self._record_change(name, team))
        teams.start()
        return teams

    def restart(self, name: str) -> TeamSettingsManager:
        """Kill an instance and start it again under the same id."""
        zone = self.world.peers[InstanceId(name)].availability_zone
        self.world.kill(name)
        self.world.add(name, zone)
        return self.start(name)

    def change(
        self,
        name: str,
        base: int,
        weight: float,
        **details: str,
    ) -> SettingsRecord | GuavagateError:
        """Have an operator change the team's weight through an instance."""
        task = self.world.clock.spawn(self._change, name, base, weight, details)
        self.world.clock.run_until(task.ready, limit=60)
        outcome: SettingsRecord | GuavagateError = task.get(block=False)
        return outcome

    def revision(self, name: str) -> int:
        """Return the revision in force on an instance, 0 if there is none."""
        teams = self.teams[name]
        if teams.get(TEAM) is None:
            return 0
        return teams.table.revision(TEAM)

    def revisions(self, *names: str) -> set[int]:
        """Return the revisions in force on the given instances, or on all."""
        return {self.revision(name) for name in names or self.teams}

    def stored(self) -> bytes:
        """Return the team's object in the store."""
        return self.world.store.objects[settings_path(TEAM)].value

    def _change(
        self, name: str, base: int, weight: float, details: dict[str, str]
    ) -> SettingsRecord | GuavagateError:
        try:
            return self.teams[name].change(
                ChangeRequest(
                    team=TEAM,
                    toml=f'team = "{TEAM}"\nweight = {weight}\n',
                    base=Revision(base),
                    who=details.get('who', 'amina'),
                    why=details.get('why', 'more room'),
                    change_id=details.get('change_id', ''),
                )
            )
        except GuavagateError as error:
            return error

    def _record_change(self, name: str, team: TeamId) -> None:
        revision = self.teams[name].table.revision(team)
        self.reverts += revision < self._newest.get(name, 0)
        self._newest[name] = revision
        now = self.world.clock.now()
        self.effective_at.setdefault((name, revision), now)


def measure_propagation(
    instances: int = 9, changes: int = 200, seed: int = 0
) -> PropagationResult:
    """Measure changes while one instance is killed and one is paused.

    Both return a tenth of the run later. The time of a change runs from the
    operator's request until every running instance has it in force. A
    restarted or resumed instance counts from the next change on, because it
    missed earlier ones.
    """
    names = [f'i{number:03}' for number in range(instances)]
    fleet = SettingsFleet(names, seed)
    world = fleet.world
    world.clock.advance(_SETTLE_SECONDS)
    rng = random.Random(seed)
    times: list[float] = []
    late = 0
    started_at = world.clock.now()
    for number in range(changes):
        _inject_faults(fleet, names, number, changes)
        running = [name for name in names if _is_running(fleet, name)] or names
        submitted_at = world.clock.now()
        outcome = fleet.change(rng.choice(running), number, 1 + number % 7)
        if not isinstance(outcome, SettingsRecord):
            raise outcome
        target = outcome.revision
        reached = world.clock.run_until(
            functools.partial(_is_in_force, fleet, running, target),
            _LIMIT_SECONDS,
        )
        late += not reached
        times.append(world.clock.now() - submitted_at)
        world.clock.advance(rng.uniform(0, 1))
    times.sort()
    seconds = world.clock.now() - started_at
    return PropagationResult(
        instances=instances,
        changes=changes,
        median=times[len(times) // 2],
        p99=times[int(len(times) * 0.99) - 1],
        longest=times[-1],
        late=late,
        reverts=fleet.reverts,
        digest_bytes=_count_sent_bytes(fleet, 'SettingsDigest')
        / seconds
        / instances,
        tell_bytes=_count_sent_bytes(fleet, 'SettingsTell')
        / changes
        / instances,
        watches=world.store.calls['watch'] / seconds,
    )


def _inject_faults(
    fleet: SettingsFleet, names: list[str], number: int, changes: int
) -> None:
    """Kill and pause an instance, and undo both a tenth of the run later."""
    killed, paused = names[len(names) // 3], names[-1]
    tenth = changes // 10
    if number == 2 * tenth:
        fleet.world.kill(killed)
    elif number == 3 * tenth:
        zone = fleet.world.peers[InstanceId(killed)].availability_zone
        fleet.world.add(killed, zone)
        fleet.start(killed)
    elif number == 4 * tenth:
        fleet.world.pause(paused)
    elif number == 5 * tenth:
        fleet.world.resume(paused)


def _is_running(fleet: SettingsFleet, name: str) -> bool:
    host = fleet.world.hosts[InstanceId(name)]
    return not host.dead and not host.paused and fleet.revision(name) > 0


def _is_in_force(
    fleet: SettingsFleet, names: list[str], revision: Revision
) -> bool:
    return all(fleet.revision(name) >= revision for name in names)


def _count_sent_bytes(fleet: SettingsFleet, kind: str) -> int:
    return fleet.world.network.sent_bytes[kind]
