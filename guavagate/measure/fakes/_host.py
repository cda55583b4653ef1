"""One fake instance: its tasks can be paused, resumed or killed."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.event import Event

from guavagate.clock import ClockTimeout, PausedClock, Task
from guavagate.models import InstanceId


class Host:
    """Holds back whatever would wake a task of a paused instance."""

    def __init__(self, instance: InstanceId, clock: PausedClock) -> None:
        self.instance = instance
        self.paused = False
        self.dead = False
        self.clock = HostClock(clock, self)
        self._deferred: list[Callable[[], None]] = []
        self._tasks: dict[Task, None] = {}

    def deliver(self, run: Callable[[], None]) -> None:
        """Run now; when paused, after the resume; when dead, never."""
        if self.dead:
            return
        if self.paused:
            self._deferred.append(run)
            return
        run()

    def track(self, task: Task) -> None:
        """Remember a task, to kill it with its instance."""
        self._tasks[task] = None
        task.link(lambda done: self._tasks.pop(done, None))

    def pause(self) -> None:
        """Stop the process, as SIGSTOP does."""
        self.paused = True

    def wait_until_running(self) -> None:
        """Let a task that has been paused or killed meanwhile not go on."""
        if self.dead:
            raise gevent.GreenletExit
        if self.paused:
            self.clock.sleep(0)

    def resume(self) -> None:
        """Let the process go on with all that has waited for it."""
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
    """The paused clock as one instance sees it; see `Clock`."""

    def __init__(self, base: PausedClock, host: Host) -> None:
        self._base = base
        self._host = host

    def now(self) -> float:
        """Return the virtual time."""
        return self._base.now()

    def wall(self) -> float:
        """Return the virtual time as a date."""
        return self._base.wall()

    def sleep(self, seconds: float) -> None:
        """Block this task; it wakes no earlier than its instance."""
        woken = Event()
        self._call_at(seconds, woken.set)
        woken.wait()

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
        """Start a task that dies with its instance."""
        task = gevent.spawn(run, *args)
        self._host.track(task)
        if self._host.dead:
            task.kill(block=False)
        return task

    def _call_at(self, seconds: float, run: Callable[[], Any]) -> None:
        """Run in the instance after some time."""
        self._base.call_at(
            self._base.now() + max(seconds, 0),
            lambda: self._host.deliver(run),
        )
