"""Fake instance whose tasks can be paused, resumed or killed."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import Event

from guavagate.clock import ClockTimeout, PausedClock, Task
from guavagate.models import InstanceId


class Host:
    """Process of one instance; defers callbacks while it is paused."""

    def __init__(self, instance: InstanceId, clock: PausedClock) -> None:
        self.instance = instance
        self.paused = False
        self.dead = False
        self.clock = HostClock(clock, self)
        self._deferred: list[Callable[[], None]] = []
        self._tasks: dict[Task, None] = {}

    def deliver(self, run: Callable[[], None]) -> None:
        """Run a callback now, after `resume` if paused, or never if dead."""
        if self.dead:
            return
        if self.paused:
            self._deferred.append(run)
            return
        run()

    def track(self, task: Task) -> None:
        """Track a task so that `kill` ends it."""
        self._tasks[task] = None
        task.link(lambda done: self._tasks.pop(done, None))

    def pause(self) -> None:
        """Pause the process, as SIGSTOP does."""
        self.paused = True

    def wait_until_running(self) -> None:
        """Block this task while the instance is paused; end it if dead."""
        if self.dead:
            raise gevent.GreenletExit
        if self.paused:
            self.clock.sleep(0)

    def resume(self) -> None:
        """Resume the process and run the deferred callbacks."""
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for run in deferred:
            self.deliver(run)

    def kill(self) -> None:
        """End the process at once, as SIGKILL does."""
        self.dead = True
        self._deferred.clear()
        for task in list(self._tasks):
            if task is not gevent.getcurrent():
                task.kill(block=False)


class HostClock:
    """View of the paused clock for one instance; implements `Clock`."""

    def __init__(self, base: PausedClock, host: Host) -> None:
        self._base = base
        self._host = host

    def now(self) -> float:
        """Return the virtual time."""
        return self._base.now()

    def wall(self) -> float:
        """Return the virtual wall-clock time."""
        return self._base.wall()

    def sleep(self, seconds: float) -> None:
        """Block this task; it wakes only while its instance runs."""
        woken = Event()
        self._call_at(seconds, woken.set)
        woken.wait()

    @contextlib.contextmanager
    def timeout(
        self,
        seconds: float,
        error: Callable[[], Exception],
    ) -> Iterator[None]:
        """Limit a block to a number of virtual seconds."""
        owner = gevent.getcurrent()
        mark = ClockTimeout()
        active = [True]

        def throw() -> None:
            if active[0] and not owner.dead:
                owner.throw(mark)

        def expire() -> None:
            if active[0] and not owner.dead:
                gevent.get_hub().loop.run_callback(throw)

        self._call_at(seconds, expire)
        try:
            yield
        except ClockTimeout as caught:
            if caught is not mark:
                raise
            raise error() from None
        finally:
            active[0] = False

    def spawn(self, run: Callable[..., Any], *args: Any) -> Task:
        """Start a task that ends when its instance is killed."""
        task = gevent.spawn(run, *args)
        self._host.track(task)
        if self._host.dead:
            task.kill(block=False)
        return task

    def _call_at(self, seconds: float, run: Callable[[], Any]) -> None:
        """Call back in the instance after some seconds."""
        self._base.call_at(
            self._base.now() + max(seconds, 0),
            lambda: self._host.deliver(run),
        )
