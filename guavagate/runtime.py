"""The dependencies shared by all components of one instance."""

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
    """The live instances, as this instance sees them."""

    def alive(self) -> list[PeerSettings]:
        """Return all usable instances, including this one, ordered by id."""

    def get(self, instance: InstanceId) -> PeerSettings | None:
        """Return an instance, or None if it isn't usable."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for each change; it must not block."""


class Teams(Protocol):
    """The teams' settings in force on this instance."""

    def get(self, team: TeamId) -> TeamSettings | None:
        """Return the settings in force for a team."""

    def all(self) -> list[TeamSettings]:
        """Return every team's settings in force."""

    def subscribe(self, changed: Callable[[TeamId], None]) -> None:
        """Register a callback for each change; it must not block."""


class DecisionLog(Protocol):
    """Records each decision with its reason, for the log and for explain."""

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
    """The parts of one instance, assembled by the daemon or a test."""

    settings: InstanceSettings
    clock: Clock
    bus: Bus
    store: ObjectStore
    members: Members
    teams: Teams
    partitions: Partitions
    decisions: DecisionLog
    metrics: Metrics = dataclasses.field(default_factory=Metrics)
