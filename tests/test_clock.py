"""Tests of the clock that tests pause and advance."""

import gevent
import pytest
from gevent.queue import Queue

from guavagate.clock import PausedClock


def _produce(clock: PausedClock, queue: 'Queue[int]', every: int) -> None:
    """Put ten numbers at a fixed pace."""
    for number in range(10):
        clock.sleep(0.01 * every)
        queue.put(number * every)


def _trace() -> list[tuple[float, int]]:
    """Run three producers and a consumer in virtual time."""
    clock = PausedClock()
    queue: Queue[int] = Queue()
    seen: list[tuple[float, int]] = []

    def consume() -> None:
        while True:
            seen.append((clock.now(), queue.get()))

    consumer = clock.spawn(consume)
    for every in (1, 2, 3):
        clock.spawn(_produce, clock, queue, every)
    clock.advance(1)
    consumer.kill()
    return seen


def test_the_paused_clock_replays_exactly() -> None:
    """The same program gives the same trace."""
    assert _trace() == _trace()
    assert len(_trace()) == 30


def test_a_timeout_ends_a_wait_in_virtual_time() -> None:
    """A wait for nothing ends with the given error when time is moved on."""
    clock = PausedClock()

    def wait() -> None:
        with clock.timeout(5, lambda: ValueError('too late')):
            gevent.event.Event().wait()

    task = clock.spawn(wait)
    clock.advance(4.9)
    assert not task.ready()
    clock.advance(0.2)
    with pytest.raises(ValueError, match='too late'):
        task.get(block=False)
