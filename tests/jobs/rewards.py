"""Fakes a scoring service in memory, with failures and lost responses."""

from collections import Counter

from guavagate.clock import Clock
from guavagate.models import ANYWHERE, Regions, ServiceId
from guavagate.ports.rewards import (
    RewardKind,
    RewardOutcome,
    RewardRequest,
    RewardRoute,
)

RATING = ServiceId('rating')


def make_reward(name: str) -> RewardRequest:
    """Return an item's reward request."""
    return RewardRequest(
        id=f'reward-{name}', host='a.example', path='/r/1', body=b'\x00rate'
    )


class FakeRewardClient:
    """Implements `ports.rewards.RewardClient`.

    `sent` lists each request with its time. `failures` and `lost` count, by
    request, how many responses have status 500 or get lost at first.
    """

    def __init__(self, clock: Clock, capacity: int = 6) -> None:
        self.clock = clock
        self.capacity = capacity
        self.seconds = 0.2
        self.max_failures = 3
        self.has_route = True
        self.in_flight = 0
        self.sent: list[tuple[float, str]] = []
        self.cancelled: list[str] = []
        self.failures: Counter[str] = Counter()
        self.lost: Counter[str] = Counter()
        self.regions: list[Regions] = []
        self.route_regions: Regions = ANYWHERE
        self.asked: set[Regions] = set()

    def find_route(self, reward: RewardRequest) -> RewardRoute | None:
        """Return the route, or None without one."""
        if not self.has_route:
            return None
        return RewardRoute(
            service=RATING,
            max_failures=self.max_failures,
            regions=self.route_regions,
        )

    def count_available(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> int:
        """Return the free capacity."""
        self.asked.add(regions)
        return self.capacity - self.in_flight

    def send(
        self, reward: RewardRequest, regions: Regions = ANYWHERE
    ) -> RewardOutcome:
        """Respond after `seconds`."""
        self.regions.append(regions)
        self.sent.append((self.clock.now(), reward.id))
        self.in_flight += 1
        try:
            self.clock.sleep(self.seconds)
        except BaseException:
            self.cancelled.append(reward.id)
            raise
        finally:
            self.in_flight -= 1
        if self.failures[reward.id]:
            self.failures[reward.id] -= 1
            return RewardOutcome(kind=RewardKind.FAILED, failures=1)
        if self.lost[reward.id]:
            self.lost[reward.id] -= 1
            return RewardOutcome(
                kind=RewardKind.FAILED, lost=True, reason='lost'
            )
        return RewardOutcome(
            kind=RewardKind.SUCCEEDED, signature=f'signature of {reward.id}'
        )
