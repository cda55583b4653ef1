"""What jobs ask of the services that rate texts."""

import enum
from typing import Protocol

import msgspec

from guavagate.models import ServiceId


class RewardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that rates an item's text; it may be repeated."""

    id: str
    host: str
    path: str
    body: bytes


class RewardKind(enum.Enum):
    """How a reward request ended."""

    SUCCEEDED = 'given'
    FAILED = 'failed'
    NO_ROUTE = 'no route'


class RewardOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The end of one try; `failures` counts the upstreams that answered 500."""

    kind: RewardKind
    signature: str = ''
    failures: int = 0
    reason: str = ''


class RewardRoute(msgspec.Struct, frozen=True, kw_only=True):
    """Where a reward request goes by the configuration in force.

    `max_failures` is how many answers of 500 the route allows.
    """

    service: ServiceId
    max_failures: int


class RewardClient(Protocol):
    """Sends reward requests, one mechanism with callers' requests."""

    def find_route(self, reward: RewardRequest) -> RewardRoute | None:
        """Return where a request would go now, or nothing."""

    def count_available(self, service: ServiceId) -> int:
        """Return how many more requests the service's upstreams may get."""

    def send(self, reward: RewardRequest) -> RewardOutcome:
        """Send a request and wait for its end; cut when its task is killed."""
