"""Calls to the platform that one instance makes for all."""

import enum
from typing import Protocol

import msgspec

from guavagate.models import InstanceId, ServiceId, TeamId, ZoneId

Counts = dict[TeamId, int]


class Holder(msgspec.Struct, frozen=True):
    """Who makes a call, and under which generation of its lease."""

    instance: InstanceId
    generation: int


class DutyAnswer(enum.Enum):
    """What the platform made of a call."""

    TAKEN = 'taken'
    NOT_NOW = 'not now'
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
        self, holder: Holder, window: int, counts: Counts
    ) -> DutyAnswer:
        """Report the requests of each team that began in a window."""

    def order(self, holder: Holder, order: ScaleOrder) -> DutyAnswer:
        """Order upstreams; `NOT_NOW` says that none are to be had."""
