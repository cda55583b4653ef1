"""Tests of the paused clock."""

import contextlib
import gc
import weakref

import gevent
import pytest
from gevent.queue import Queue

from guavagate.clock import PausedClock, SystemClock


def _produce(clock: PausedClock, queue: 'Queue[int]', every: int) -> None:
    """Put ten numbers at a fixed interval."""
    for number in range(10):
        clock.sleep(0.01 * every)
        queue.put(number * every)


def _trace() -> list[tuple[float, int]]:
    """Return what a consumer receives from three producers, with times."""
    clock = PausedClock()
    queue: Queue[int] = Queue()
    received: list[tuple[float, int]] = []

    def consume() -> None:
        while True:
            received.append((clock.now(), queue.get()))

    consumer = clock.spawn(consume)
    for every in (1, 2, 3):
        clock.spawn(_produce, clock, queue, every)
    clock.advance(1)
    consumer.kill()
    return received


def test_the_paused_clock_is_deterministic() -> None:
    """The same program produces the same trace."""
    assert _trace() == _trace()
    assert len(_trace()) == 30


def test_a_timeout_ends_a_wait_in_virtual_time() -> None:
    """A wait that never completes raises the given error at its limit."""
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


class _Large:
    """Stands for an answer of megabytes."""


def _wait_with(clock: SystemClock, large: _Large) -> None:
    with clock.timeout(0.01, TimeoutError):
        gevent.sleep(1)
        assert large


def test_a_timeout_keeps_nothing_that_its_block_referred_to() -> None:
    """A caller that reads slowly held its answer long after it was cut off.

    Each write to it was tried within a timeout, whose traceback and frame
    referred to each other, and to the answer.
    """
    gc.disable()
    try:
        large = _Large()
        watched = weakref.ref(large)
        with contextlib.suppress(TimeoutError):
            _wait_with(SystemClock(), large)
        del large
        assert watched() is None
    finally:
        gc.enable()
