"""What every component of one instance is given."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from guavagate.clock import Clock
from guavagate.links import Bus
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, TeamId
from guavagate.partitions import Partitions
from guavagate.ports.store import ObjectStore
from guavagate.settings import (
    InstanceSettings,
    PeerSettings,
    TeamSettings,
)


class Members(Protocol):
    """Who is alive, as this instance sees it."""

    def alive(self) -> list[PeerSettings]:
        """Return all usable instances, this one included, by id."""

    def get(self, instance: InstanceId) -> PeerSettings | None:
        """Return a usable instance, or nothing."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back, without blocking, after each change."""


class Teams(Protocol):
    """The teams' settings in force on this instance."""

    def get(self, team: TeamId) -> TeamSettings | None:
        """Return the settings in force for a team."""

    def all(self) -> list[TeamSettings]:
        """Return every team's settings in force."""

    def subscribe(self, changed: Callable[[TeamId], None]) -> None:
        """Call back, without blocking, after each change."""


class DecisionLog(Protocol):
    """Keeps each decision with its reason, for the log and for explain."""

    def record(
        self,
        subject: str,
        kind: str,
        choice: str,
        reason: str,
        turned_down: dict[str, str] | None = None,
    ) -> None:
        """Record a decision about a request, sample, revision or view."""


@dataclasses.dataclass
class Runtime:
    """The parts of one running instance, wired by the daemon or a test."""

    settings: InstanceSettings
    clock: Clock
    bus: Bus
    store: ObjectStore
    members: Members
    teams: Teams
    partitions: Partitions
    decisions: DecisionLog
    metrics: Metrics = dataclasses.field(default_factory=Metrics)
