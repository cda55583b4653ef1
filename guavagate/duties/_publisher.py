"""Tells what is counted here to those that report, or would next."""

import logging
import secrets
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.duties._cluster_clock import ClusterClock
from guavagate.duties._counter import UsageCounter
from guavagate.duties._messages import TellUsage, UsageTaken
from guavagate.exceptions import LinkError
from guavagate.links import Bus
from guavagate.models import InstanceId, TeamId
from guavagate.ports.duties import Counts

_LOGGER: Final = logging.getLogger(__name__)

# What an instance has counted and not told is lost with it.
TELL_SECONDS: Final = 0.25
# Also when there is nothing to tell: clocks are compared.
COMPARE_SECONDS: Final = 8.0
ASK_SECONDS: Final = 0.6
# The instance that reports, and the one that would if it were lost.
PEERS: Final = 2


class UsagePublisher:
    """Counts requests of this instance's callers.

    Parameters
    ----------
    rank
        Returns who may report, the one that does first.
    """

    def __init__(
        self,
        me: InstanceId,
        clock: Clock,
        bus: Bus,
        counter: UsageCounter,
        cluster_clock: ClusterClock,
        rank: Callable[[], list[InstanceId]],
    ) -> None:
        self._source = f'{me}/{secrets.token_hex(4)}'
        self._clock = clock
        self._bus = bus
        self._counter = counter
        self._cluster_clock = cluster_clock
        self._rank = rank
        self._compared: dict[InstanceId, float] = {}

    def start(self) -> None:
        """Begin to tell."""
        self._clock.spawn(self._run)

    def record(self, team: TeamId, seconds_ago: float) -> None:
        """Count a request that an upstream began so many seconds ago."""
        if team:
            self._counter.record(team, self._cluster_clock.now() - seconds_ago)

    def _run(self) -> None:
        while True:
            self._clock.sleep(TELL_SECONDS)
            self.publish()

    def publish(self) -> None:
        """Tell what is new to whoever has not taken it yet."""
        peers = self._rank()[:PEERS]
        self._counter.retain(set(peers))
        for peer in peers:
            news = self._counter.list_unconfirmed(peer)
            compared = self._compared.get(peer, float('-inf'))
            if news or self._clock.now() - compared >= COMPARE_SECONDS:
                self._clock.spawn(self._send, peer, news)

    def _send(self, peer: InstanceId, news: dict[int, Counts]) -> None:
        message = TellUsage(
            source=self._source, wall=self._clock.wall(), windows=news
        )
        self._compared[peer] = self._clock.now()
        try:
            taken = self._bus.request(peer, message, UsageTaken, ASK_SECONDS)
        except LinkError as error:
            _LOGGER.debug('%s did not take the usage: %s', peer, error)
            return
        self._counter.confirm(peer, news)
        if taken.now is not None:
            self._cluster_clock.follow(taken.now)
