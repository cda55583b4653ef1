"""The memory budget of an instance, and what may still be taken of it.

Load pattern: callers send bodies of up to 32 MB, five at once to an instance of
200 MB, or read their answers slowly. Without a budget the process is killed,
and with it every request that it was running.

New bodies are refused, large ones first, so that there is room for what the
admitted requests still need: their answers and buffers of streams.
"""

import math
from typing import Final

# Larger bodies are admitted only while there is room for answers beside them.
SMALL_BODY_BYTES: Final = 16_384
# Share of the budget that large bodies may fill. The rest is for answers, and
# for small requests, which go on.
LARGE_SHARE: Final = 0.75
# Share up to which small requests go on, into what is set aside for the
# allocator: the answers of two 32 MB bodies, beside these, exceed the budget of
# an instance of 200 MB by a hundredth.
SMALL_SHARE: Final = 1.1
# Memory of a body while it is read, relative to its size: the buffer grows by
# an eighth at a time, and received data waits beside it.
READING_SHARE: Final = 1.2
# Memory of an open connection: its socket, its two tasks and its parser.
CONNECTION_BYTES: Final = 32_768
# What a request takes beside its body and answer, from its first byte on: the
# data read ahead, its headers, and the tasks and connections of its attempts.
REQUEST_BYTES: Final = 65_536


class MemoryBudget:
    """Bytes that requests hold, of a limit in bytes.

    Attributes
    ----------
    leaving
        How many of the held bytes belong to connections that were closed, and
        are about to be released.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0
        self.leaving = 0

    def may_grow(self, size: int, growth: int, held: int) -> bool:
        """Return whether a body may take more memory.

        Parameters
        ----------
        size
            The body's size, as far as it is known.
        growth
            The bytes that it takes beyond those it has reserved.
        held
            What everything holds, itself included.
        """
        share = SMALL_SHARE if size <= SMALL_BODY_BYTES else LARGE_SHARE
        return held + growth <= self.limit * share

    @property
    def limit_alone(self) -> float:
        """Return the most that a body may take beside what others may hold."""
        return self.limit * (SMALL_SHARE + LARGE_SHARE - 1)

    def may_hold_alone(self, size: int, others: int) -> bool:
        """Return whether a body fits that is larger than large bodies may be.

        So a single request is served also by an instance with little memory.

        Parameters
        ----------
        size
            The memory of the body.
        others
            What everything else holds.
        """
        if others > self.limit * (1 - LARGE_SHARE):
            return False
        return others + size <= self.limit * SMALL_SHARE

    def change(self, growth: int) -> None:
        """Count bytes that are taken, or released if negative."""
        self.held += growth
