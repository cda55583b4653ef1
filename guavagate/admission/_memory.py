"""The memory budget of an instance, and who may still draw on it.

Load pattern: callers send bodies of up to 32 MB, five at once to an instance of
200 MB, or read their answers slowly. Without a budget the process is killed,
and with it every request that it was running.

Answers and buffers of streams belong to requests that were admitted and are
counted without asking. Only new bodies are refused, large ones first, so that
there is room for what the admitted requests still need.
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
# Memory of a running request without body and answer: its task, its connection
# with the data read ahead, and its headers.
REQUEST_BYTES: Final = 65_536


class MemoryBudget:
    """Bytes that requests hold, of a limit in bytes."""

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self.held = 0

    def may_grow(self, size: int, growth: int) -> bool:
        """Return whether a body may take more memory.

        Parameters
        ----------
        size
            The body's size, as far as it is known.
        growth
            The bytes that it takes beyond those it has reserved.
        """
        share = SMALL_SHARE if size <= SMALL_BODY_BYTES else LARGE_SHARE
        return self.held + growth <= self.limit * share

    def change(self, growth: int) -> None:
        """Count bytes that are taken, or released if negative."""
        self.held += growth


class RequestAccount:
    """What one request holds; implements `http1.MemoryAccount`."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._body = 0
        self._answer = 0
        budget.change(REQUEST_BYTES)

    def admit_body(self, size: int) -> bool:
        """Reserve memory for a body; return whether it may be read."""
        needed = math.ceil(size * READING_SHARE)
        if not self._budget.may_grow(size, needed - self._body):
            return False
        self._set_body(needed)
        return True

    def hold_body(self, size: int) -> None:
        """Record what a complete body and its copies need from now on."""
        self._set_body(size)

    def hold_answer(self, size: int) -> None:
        """Record how much of the answer waits for the caller."""
        self._budget.change(size - self._answer)
        self._answer = size

    def close(self) -> None:
        """Release all memory of the request."""
        self._set_body(0)
        self.hold_answer(0)
        self._budget.change(-REQUEST_BYTES)

    def _set_body(self, size: int) -> None:
        self._budget.change(size - self._body)
        self._body = size
