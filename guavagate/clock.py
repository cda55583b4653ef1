"""Clocks: the system clock in the daemon, a manually advanced one in tests.

All code waits through a clock. Code that blocks on gevent primitives limits
the wait with ``clock.timeout``, so that tests can advance a `PausedClock` and
a test with the same seed runs identically.
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


# Not an Exception: a retry loop's ``except Exception`` inside the limited
# block would swallow the timeout and continue past its caller's deadline.
class ClockTimeout(BaseException):  # noqa: WPS418
    """Raised inside a ``clock.timeout`` block; never leaves the block."""


class Clock(Protocol):
    """The interface of all clocks; all values are in seconds."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary start."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch, for timestamps only."""

    def sleep(self, seconds: float) -> None:
        """Suspend the current task."""

    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> contextlib.AbstractContextManager[None]:
        """Limit a block's duration; raise ``error()`` when it is exceeded."""

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""


class SystemClock:
    """The operating system's clock."""

    def now(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Suspend the current task."""
        gevent.sleep(max(seconds, 0))

    @contextlib.contextmanager
    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> Iterator[None]:
        """Limit a block's duration; raise ``error()`` when it is exceeded."""
        timer = gevent.Timeout.start_new(max(seconds, 0))
        try:
            yield
        except gevent.Timeout as caught:
            if caught is not timer:
                raise
            # The traceback refers to this frame, and the frame to the timer.
            # Such a cycle would keep all that the block's frames refer to, such
            # as a large answer, until the garbage collector finds it.
            timer.__traceback__ = None
            raise error() from None
        finally:
            timer.close()

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""
        return gevent.spawn(run, *args)


class PausedClock:
    """A clock that moves only when advanced, for reproducible tests.

    Don't use sockets with it: `settle` runs only tasks that are ready and
    doesn't wait for I/O.
    """

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start
        self._sequence = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        """Return the virtual time."""
        return self._now

    def wall(self) -> float:
        """Return the virtual time as seconds since the Unix epoch."""
        return self._now + 1_700_000_000.0

    def sleep(self, seconds: float) -> None:
        """Suspend the current task until the clock has advanced so far."""
        woken = Event()
        self.call_at(self._now + max(seconds, 0), woken.set)
        woken.wait()

    def call_at(self, when: float, run: Callable[[], None]) -> None:
        """Schedule a non-blocking callable at a virtual time."""
        heapq.heappush(self._timers, (when, next(self._sequence), run))

    @contextlib.contextmanager
    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> Iterator[None]:
        """Limit a block's duration in virtual time."""
        owner = gevent.getcurrent()
        timeout_error = ClockTimeout()
        active = [True]

        def expire() -> None:
            if active[0] and not owner.dead:
                gevent.get_hub().loop.run_callback(
                    _throw, owner, timeout_error, active
                )

        self.call_at(self._now + max(seconds, 0), expire)
        try:
            yield
        except ClockTimeout as caught:
            if caught is not timeout_error:
                raise
            timeout_error.__traceback__ = None
            raise error() from None
        finally:
            active[0] = False

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task."""
        return gevent.spawn(run, *args)

    def settle(self) -> None:
        """Run ready tasks until all tasks wait."""
        gevent.idle()

    def advance(self, seconds: float) -> None:
        """Advance the time and run each timer that is due, in order."""
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
        """Advance timer by timer; return whether ``done()`` is true in time."""
        target = self._now + limit
        self.settle()
        while not done():
            if not self._timers or self._timers[0][0] > target:
                return False
            self.advance(max(self._timers[0][0] - self._now, 0))
        return True


def _throw(owner: Any, timeout_error: ClockTimeout, active: list[bool]) -> None:
    if active[0] and not owner.dead:
        owner.throw(timeout_error)
