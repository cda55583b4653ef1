"""Waits limited by the runtime's clock, so that tests can advance them."""

from typing import Any

from gevent.event import Event
from gevent.queue import Queue

from guavagate.clock import Clock


class _WaitExpiredError(Exception):
    """The time limit has passed."""


def wait_for(clock: Clock, event: Event, seconds: float) -> bool:
    """Wait for an event; return whether it was set within the limit."""
    try:
        with clock.timeout(seconds, _WaitExpiredError):
            event.wait()
    except _WaitExpiredError:
        return event.is_set()
    return True


class QueueTimeoutError(Exception):
    """The queue got no entry in time."""


def get_within(clock: Clock, queue: Queue, seconds: float) -> Any:
    """Return the next entry of a queue.

    Raises
    ------
    QueueTimeoutError
        The queue stayed empty for `seconds`.
    """
    with clock.timeout(seconds, QueueTimeoutError):
        return queue.get()
