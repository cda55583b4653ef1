"""Shares the processor among connections that need much of it.

Load pattern: many callers send bodies in chunks of a few bytes, each of which
costs as much to parse as a large one, or dribble single bytes. Together they
would keep every other task waiting for seconds.

A connection works on a small batch by itself. Before the next one it waits for
a turn, and one turn is given in each iteration of the event loop, so an
ordinary request waits for one batch at most, however many callers there are.
"""

from collections import deque
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock

# About a millisecond of work.
EVENTS_PER_TURN: Final = 64
READS_PER_TURN: Final = 16


class Turns:
    """Gives one connection at a time the right to go on.

    Unlike with gevent's locks, a task that asks again goes to the end of the
    queue, also if the others have not run since they were woken.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_taken = False
        self._queue: deque[Event] = deque()

    def wait(self) -> None:
        """Wait until it is the task's turn, in order of the calls."""
        if self._is_taken:
            self._wait_in_queue()
        self._is_taken = True
        try:
            self._clock.sleep(0)
        finally:
            self._pass_on()

    def _wait_in_queue(self) -> None:
        turn = Event()
        self._queue.append(turn)
        try:
            turn.wait()
        except BaseException:
            # The task was ended, perhaps when its turn had just come.
            if turn.is_set():
                self._pass_on()
            else:
                self._queue.remove(turn)
            raise

    def _pass_on(self) -> None:
        self._is_taken = bool(self._queue)
        if self._queue:
            self._queue.popleft().set()


class TurnCounter:
    """Counts the work of one connection, and waits for a turn at times.

    Parameters
    ----------
    batch
        How much work is done in one turn.
    """

    def __init__(self, turns: Turns, batch: int) -> None:
        self._turns = turns
        self._batch = batch
        self._count = 0

    def reset(self) -> None:
        """Begin a new request, which has a batch of its own."""
        self._count = 0

    def count(self) -> None:
        """Count a piece of work; wait for a turn after each batch."""
        self._count += 1
        if self._count >= self._batch:
            self._count = 0
            self._turns.wait()
