"""Calls to the platform that a lease holder makes for all instances."""

import enum
from typing import Protocol

import msgspec

from guavagate.models import InstanceId, ServiceId, TeamId, ZoneId

TeamCounts = dict[TeamId, int]


class LeaseHolder(msgspec.Struct, frozen=True):
    """The instance that makes a call, and its lease generation."""

    instance: InstanceId
    generation: int


class DutyAnswer(enum.Enum):
    """The platform's answer to a call."""

    ACCEPTED = 'taken'
    UNAVAILABLE = 'not now'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class ScaleOrder(msgspec.Struct, frozen=True, kw_only=True):
    """The target number of upstreams of one kind for a service and zone."""

    service: ServiceId
    zone: ZoneId
    spot: bool
    amount: int


class DutyClient(Protocol):
    """Makes the calls; no method raises."""

    def report_usage(
        self, holder: LeaseHolder, window: int, counts: TeamCounts
    ) -> DutyAnswer:
        """Report the number of requests per team that began in a window."""

    def order(self, holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        """Order upstreams; `UNAVAILABLE` if the platform has none now."""
