"""Interface of jobs to the services that rate texts."""

import enum
from typing import Protocol

import msgspec

from guavagate.models import ANYWHERE, Regions, ServiceId


class RewardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to rate an item's text; it may be repeated."""

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
    """The result of an attempt; `failures` counts upstreams' 500 answers.

    `lost` means that it may have run, but no upstream gave a whole answer.
    """

    kind: RewardKind
    signature: str = ''
    failures: int = 0
    lost: bool = False
    reason: str = ''


class RewardRoute(msgspec.Struct, frozen=True, kw_only=True):
    """The route of a reward request in the current configuration.

    `max_failures` is the number of 500 answers that the route allows, and
    `regions` are those to which it binds its requests.
    """

    service: ServiceId
    max_failures: int
    regions: Regions = ANYWHERE


class RewardClient(Protocol):
    """Sends reward requests through the forwarding of callers' requests."""

    def find_route(self, reward: RewardRequest) -> RewardRoute | None:
        """Return the current route of a request, or `None`."""

    def count_available(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> int:
        """Return how many more requests the service's upstreams accept."""

    def send(
        self, reward: RewardRequest, regions: Regions = ANYWHERE
    ) -> RewardOutcome:
        """Send a request and wait; killing the task cancels the request.

        Parameters
        ----------
        regions
            Those to which the job is bound.
        """
