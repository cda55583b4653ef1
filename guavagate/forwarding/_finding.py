"""What a forwarder asks about a service whose requests get no answer."""

import enum
from typing import Protocol

from guavagate.models import ServiceId


class Finding(enum.Enum):
    """What a check of a service found; `UNKNOWN` if it could not probe."""

    UNRESPONSIVE = 'no upstream answers'
    ANSWERS = 'an upstream answers'
    UNKNOWN = 'unknown'


class OutageChecker(Protocol):
    """What a forwarder asks about a service."""

    def refuses(self, service: ServiceId, objective: float) -> bool:
        """Return whether requests are to be refused; may wait for a probe."""

    def check(self, service: ServiceId, objective: float) -> Finding:
        """Probe a service's upstreams and wait for what that finds."""

    def record_answer(self) -> None:
        """Record that a request was answered."""


class NoOutages:
    """An `OutageChecker` for instances that send no probes."""

    def refuses(self, service: ServiceId, objective: float) -> bool:
        """Refuse nothing."""
        return False

    def check(self, service: ServiceId, objective: float) -> Finding:
        """Find nothing."""
        return Finding.UNKNOWN

    def record_answer(self) -> None:
        """Do nothing."""
