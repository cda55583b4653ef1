"""Calls to the platform that one instance makes for all."""

import enum
from typing import Protocol

import msgspec

from guavagate.models import InstanceId, ServiceId, TeamId, ZoneId

TeamCounts = dict[TeamId, int]


class LeaseHolder(msgspec.Struct, frozen=True):
    """Who makes a call, and under which generation of its lease."""

    instance: InstanceId
    generation: int


class DutyAnswer(enum.Enum):
    """What the platform made of a call."""

    ACCEPTED = 'taken'
    UNAVAILABLE = 'not now'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class ScaleOrder(msgspec.Struct, frozen=True, kw_only=True):
    """How many upstreams of one kind a service is to have in a zone."""

    service: ServiceId
    zone: ZoneId
    spot: bool
    amount: int


class DutyClient(Protocol):
    """Makes the calls; none of them raises."""

    def report_usage(
        self, holder: LeaseHolder, window: int, counts: TeamCounts
    ) -> DutyAnswer:
        """Report the requests of each team that began in a window."""

    def order(self, holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        """Order upstreams; `NOT_NOW` says that none are to be had."""
