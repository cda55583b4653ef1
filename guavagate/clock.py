"""The runtime's clock: the system's in the daemon, a paused one in tests.

All waiting goes through a clock. Code that blocks on gevent primitives bounds
the wait with ``clock.timeout``; tests then advance a `PausedClock` and a seed
replays exactly.
"""

import contextlib
import heapq
import itertools
import time
from collections.abc import Callable, Iterator
from typing import Any, Protocol, TypeAlias

import gevent
from gevent.event import Event

Task: TypeAlias = gevent.Greenlet


# Not an Exception: a retry loop's ``except Exception`` inside the bounded
# block would swallow the timeout and wait on, past its caller's deadline.
class ClockTimeout(BaseException):  # noqa: WPS418
    """Raised inside ``clock.timeout`` blocks; never crosses them."""


class Clock(Protocol):
    """What all waiting code asks of time; seconds throughout."""

    def now(self) -> float:
        """Return seconds since an arbitrary start, never going back."""

    def wall(self) -> float:
        """Return seconds since the epoch, for records only."""

    def sleep(self, seconds: float) -> None:
        """Block this task."""

    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> contextlib.AbstractContextManager[None]:
        """Bound a block; raise ``error()`` when it takes longer."""

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""


class SystemClock:
    """The machine's clock."""

    def now(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block this task."""
        gevent.sleep(max(seconds, 0))

    @contextlib.contextmanager
    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> Iterator[None]:
        """Bound a block; raise ``error()`` when it takes longer."""
        timer = gevent.Timeout.start_new(max(seconds, 0))
        try:
            yield
        except gevent.Timeout as caught:
            if caught is not timer:
                raise
            raise error() from None
        finally:
            timer.close()

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""
        return gevent.spawn(run, *args)


class PausedClock:
    """A clock that moves only when told; replays a seed exactly.

    Sockets must not be used under it: settling waits only for tasks that are
    ready to run.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        """Return the virtual time."""
        return self._now

    def wall(self) -> float:
        """Return the virtual time as a date."""
        return self._now + 1_700_000_000.0

    def sleep(self, seconds: float) -> None:
        """Block this task until the clock has been advanced far enough."""
        woken = Event()
        self.call_at(self._now + max(seconds, 0), woken.set)
        woken.wait()

    def call_at(self, when: float, run: Callable[[], None]) -> None:
        """Run a non-blocking callable at a virtual time."""
        heapq.heappush(self._timers, (when, next(self._sequence), run))

    @contextlib.contextmanager
    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> Iterator[None]:
        """Bound a block in virtual time."""
        owner = gevent.getcurrent()
        mark = ClockTimeout()
        active = [True]

        def expire() -> None:
            if active[0] and not owner.dead:
                gevent.get_hub().loop.run_callback(_throw, owner, mark, active)

        self.call_at(self._now + max(seconds, 0), expire)
        try:
            yield
        except ClockTimeout as caught:
            if caught is not mark:
                raise
            raise error() from None
        finally:
            active[0] = False

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""
        return gevent.spawn(run, *args)

    def settle(self) -> None:
        """Let every task that is ready run until all of them wait."""
        gevent.idle()

    def advance(self, seconds: float) -> None:
        """Move time on, running each timer in order."""
        target = self._now + seconds
        self.settle()
        while self._timers and self._timers[0][0] <= target:
            when, _, run = heapq.heappop(self._timers)
            self._now = max(self._now, when)
            run()
            self.settle()
        self._now = target

    def run_until(
        self, done: Callable[[], bool], limit: float = 3600.0
    ) -> bool:
        """Advance timer by timer until ``done()`` or the limit is reached."""
        target = self._now + limit
        self.settle()
        while not done():
            if not self._timers or self._timers[0][0] > target:
                return False
            self.advance(max(self._timers[0][0] - self._now, 0))
        return True


def _throw(owner: Any, mark: ClockTimeout, active: list[bool]) -> None:
    if active[0] and not owner.dead:
        owner.throw(mark)
