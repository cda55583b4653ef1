"""A scoring service in memory: places, pace, outages, spoilt answers."""

from collections import Counter

from guavagate.clock import Clock
from guavagate.models import ServiceId
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


class FakeRewards:
    """Implements `ports.rewards.RewardClient`.

    `sent` has each request with its time; `failures` those answered 500 and
    `lost` those without an answer, the first so many times.
    """

    def __init__(self, clock: Clock, places: int = 6) -> None:
        self.clock = clock
        self.places = places
        self.seconds = 0.2
        self.most_failures = 3
        self.has_route = True
        self.held = 0
        self.sent: list[tuple[float, str]] = []
        self.cut: list[str] = []
        self.failures: Counter[str] = Counter()
        self.lost: Counter[str] = Counter()

    def find_route(self, reward: RewardRequest) -> RewardRoute | None:
        """Return the route, while there is one."""
        if not self.has_route:
            return None
        return RewardRoute(service=RATING, most_failures=self.most_failures)

    def count_room(self, service: ServiceId) -> int:
        """Return the free places."""
        return self.places - self.held

    def send(self, reward: RewardRequest) -> RewardOutcome:
        """Answer after a while."""
        self.sent.append((self.clock.now(), reward.id))
        self.held += 1
        try:
            self.clock.sleep(self.seconds)
        except BaseException:
            self.cut.append(reward.id)
            raise
        finally:
            self.held -= 1
        if self.failures[reward.id]:
            self.failures[reward.id] -= 1
            return RewardOutcome(kind=RewardKind.FAILED, failures=1)
        if self.lost[reward.id]:
            self.lost[reward.id] -= 1
            return RewardOutcome(kind=RewardKind.FAILED, reason='lost')
        return RewardOutcome(
            kind=RewardKind.GIVEN, signature=f'signature of {reward.id}'
        )
