"""Sends this instance's usage counts to the reporter and its successor."""

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
from guavagate.ports.duties import TeamCounts

_LOGGER: Final = logging.getLogger(__name__)

# Counts that an instance has not sent are lost with it.
PUBLISH_INTERVAL_SECONDS: Final = 0.25
# A message is sent this often even without new counts, to compare clocks.
CLOCK_INTERVAL_SECONDS: Final = 8.0
TIMEOUT_SECONDS: Final = 0.6
# The reporter, and the instance that replaces it if it is lost.
PEER_COUNT: Final = 2


class UsagePublisher:
    """Counts the requests of this instance's callers and sends the totals.

    Parameters
    ----------
    rank
        Returns the possible reporters, the current one first.
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
        self._sent_at: dict[InstanceId, float] = {}

    def start(self) -> None:
        """Start sending totals."""
        self._clock.spawn(self._run)

    def record(self, team: TeamId, seconds_ago: float) -> None:
        """Count a request that an upstream started `seconds_ago`."""
        if team:
            self._counter.record(team, self._cluster_clock.now() - seconds_ago)

    def _run(self) -> None:
        while True:
            self._clock.sleep(PUBLISH_INTERVAL_SECONDS)
            self.publish()

    def publish(self) -> None:
        """Send each peer the totals that it has not confirmed."""
        peers = self._rank()[:PEER_COUNT]
        self._counter.retain(set(peers))
        for peer in peers:
            windows = self._counter.list_unconfirmed(peer)
            sent_at = self._sent_at.get(peer, float('-inf'))
            if windows or self._clock.now() - sent_at >= CLOCK_INTERVAL_SECONDS:
                self._clock.spawn(self._send, peer, windows)

    def _send(self, peer: InstanceId, windows: dict[int, TeamCounts]) -> None:
        message = TellUsage(
            source=self._source, wall=self._clock.wall(), windows=windows
        )
        self._sent_at[peer] = self._clock.now()
        try:
            reply = self._bus.request(
                peer, message, UsageTaken, TIMEOUT_SECONDS
            )
        except LinkError as error:
            _LOGGER.debug('%s did not confirm usage: %s', peer, error)
            return
        self._counter.confirm(peer, windows)
        if reply.now is not None:
            self._cluster_clock.follow(reply.now)
