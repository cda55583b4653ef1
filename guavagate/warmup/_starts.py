"""The starts that this instance permits as the holder of a service's budget."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.models import UpstreamId
from guavagate.ports.configuration import Warmup
from guavagate.warmup._cold import ColdUpstreams
from guavagate.warmup._limiter import WarmupLimiter
from guavagate.warmup._limits import (
    WINDOW_SECONDS,
    HolderRole,
    StartLimits,
    WarmupBound,
)
from guavagate.warmup._permits import StartPermits

# A caller that is refused returns at the latest after this time: until then
# upstreams have warmed up, or others have come.
MAX_RETRY_SECONDS: Final = 4.0
MIN_RETRY_SECONDS: Final = 0.1

FindWarmup = Callable[[], Warmup | None]


class ServiceStarts:
    """The start budget of one service, for items and requests alike.

    Parameters
    ----------
    find_warmup
        Returns the warm-up of the service by the configuration in force.
    has_lease
        Returns whether the service has a lease, because it has jobs.

    Attributes
    ----------
    is_sole
        Returns whether this instance has proven to be the only holder.
    """

    def __init__(
        self,
        clock: Clock,
        cold: ColdUpstreams,
        permits: StartPermits,
        find_warmup: FindWarmup,
        has_lease: Callable[[], bool],
        bound: WarmupBound,
    ) -> None:
        self._clock = clock
        self._cold = cold
        self._permits = permits
        self._find_warmup = find_warmup
        self._has_lease = has_lease
        self._bound = bound
        self.is_sole: Callable[[], bool] = _is_not_sole
        self._limiter = WarmupLimiter(self._find_limit)
        self._limits: tuple[Warmup, StartLimits] | None = None
        self._working = False
        self._in_turn = False
        self._held_since = clock.now()
        self._last_return = clock.now()

    def applies(self) -> bool:
        """Return whether the service has a warm-up."""
        return self._find_warmup() is not None

    @property
    def held(self) -> bool:
        """Return whether this instance may permit starts."""
        return self._working or self._in_turn

    def record_work(self, *, working: bool) -> None:
        """Record whether this instance works on the service's jobs."""
        self._update(working=working, in_turn=self._in_turn)

    def record_turn(self, *, in_turn: bool) -> None:
        """Record whether this instance is the first in the service's turn."""
        self._update(working=self._working, in_turn=in_turn)

    def is_cold(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream counts as cold."""
        warmup = self._find_warmup()
        if warmup is None:
            return False
        return now < self._cold.find_end(upstream, warmup.start_seconds)

    def count_allowed(self, upstream: UpstreamId, now: float) -> int:
        """Return how many requests may start at an upstream now."""
        return self._limiter.count_allowed(upstream, now)

    def find_rate(self, upstream: UpstreamId, now: float) -> float:
        """Return the starts per second that an upstream may get."""
        limits = self._get_limits()
        cold = self.is_cold(upstream, now)
        limit = limits.find(self._find_role(), WINDOW_SECONDS, cold=cold)
        return limit / WINDOW_SECONDS

    def start(self, upstream: UpstreamId, now: float) -> bool:
        """Count a start of this instance; return whether it is permitted."""
        if not self.applies():
            return True
        if not self._limiter.take(upstream, now):
            return False
        self._permits.put(upstream, now)
        return True

    def retake(self, upstream: UpstreamId, now: float) -> bool:
        """Count a start whose permit has ended; return whether it is sent."""
        return self._limiter.take(upstream, now)

    def grant(
        self,
        upstreams: Iterable[UpstreamId],
        now: float,
        *,
        warm_only: bool = False,
    ) -> UpstreamId | None:
        """Return the first of some upstreams that may get a request."""
        for upstream in upstreams:
            excluded = warm_only and self.is_cold(upstream, now)
            if not excluded and self._limiter.take(upstream, now):
                return upstream
        return None

    def plan_return(self, upstreams: Sequence[UpstreamId], now: float) -> float:
        """Return when a refused caller should return, in seconds.

        Callers that are refused at the same moment return one after the other,
        as fast as the upstreams may take them.
        """
        rate = sum(self.find_rate(each, now) for each in upstreams)
        wait = self._limiter.find_wait(upstreams, now)
        turn = self._last_return + 1 / rate if rate else now
        latest = now + MAX_RETRY_SECONDS
        self._last_return = min(max(turn, now + wait), latest)
        return round(max(self._last_return - now, MIN_RETRY_SECONDS), 2)

    def _update(self, *, working: bool, in_turn: bool) -> None:
        if not self.held and (working or in_turn):
            self._held_since = self._clock.now()
        self._working = working
        self._in_turn = in_turn

    def _find_limit(self, upstream: UpstreamId, now: float) -> int:
        held = now - self._held_since
        cold = self.is_cold(upstream, now)
        return self._get_limits().find(self._find_role(), held, cold=cold)

    def _find_role(self) -> HolderRole:
        if not self._has_lease():
            return HolderRole.EQUAL
        return HolderRole.SOLE if self.is_sole() else HolderRole.SHARED

    def _get_limits(self) -> StartLimits:
        warmup = self._find_warmup()
        if warmup is None:
            raise ValueError('a service without a warm-up has no limits')
        if self._limits is None or self._limits[0] != warmup:
            limits = StartLimits.compute(warmup, self._bound)
            self._limits = (warmup, limits)
        return self._limits[1]


def _is_not_sole() -> bool:
    """Stand in until the service's lease is known."""
    return False
