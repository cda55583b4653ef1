"""Applies the memory budget to the requests of an entry."""

import logging
import math
import random
from typing import Final

from guavagate.admission._memory import MemoryBudget, RequestAccount
from guavagate.events import admission as events
from guavagate.events import write
from guavagate.metrics import Metrics, names
from guavagate.util.resident import (
    read_resident_bytes,
    return_large_blocks,
)

_LOGGER: Final = logging.getLogger(__name__)

# The smaller of the two units that "MB" may mean.
_MEGABYTE: Final = 1_000_000
# Resident memory that a process takes on beside its requests: cached jobs and
# replies to other instances, 8 MB each at most.
PROCESS_BYTES: Final = 16_000_000
# Share of the limit that the allocator holds in pieces that fit no request.
ALLOCATOR_SHARE: Final = 0.1
# Small requests go on even in an instance whose limit leaves no room.
MIN_BUDGET_BYTES: Final = 8_000_000
# A large body is read and run within about a second. Callers that return at
# the same moment would be refused again.
RETRY_RANGE_SECONDS: Final = (0.3, 1.3)


class EntryMemory:
    """Counts the memory of an entry's requests and refuses large bodies.

    Parameters
    ----------
    megabytes
        Limit of the whole process, 0 for none.
    """

    def __init__(
        self,
        metrics: Metrics,
        megabytes: float = 0,
        rng: random.Random | None = None,
    ) -> None:
        self.budget = MemoryBudget(compute_budget(megabytes))
        self._metrics = metrics
        self._random = rng or random.Random()
        if megabytes:
            return_large_blocks()
        metrics.add_refresher(self._refresh)

    def open_account(self) -> RequestAccount:
        """Return the account of a new request."""
        return RequestAccount(self.budget)

    def refuse_body(self, request_id: str) -> float:
        """Record that a body is refused; return when to retry, in seconds."""
        seconds = self._random.uniform(*RETRY_RANGE_SECONDS)
        self._metrics.count(names.BODIES_REFUSED)
        write(
            _LOGGER,
            events.BODY_REFUSED,
            request=request_id,
            held=self.budget.held,
            budget=round(self.budget.limit),
            retry_after=round(seconds, 3),
        )
        return round(seconds, 3)

    def record_slow_caller(self, request_id: str) -> None:
        """Record that a caller was cut off as it took nothing."""
        self._metrics.count(names.SLOW_CALLERS)
        write(_LOGGER, events.SLOW_CALLER, request=request_id)

    def _refresh(self) -> None:
        self._metrics.set_gauge(names.HELD_BYTES, self.budget.held)


def compute_budget(megabytes: float) -> float:
    """Return the bytes for requests in a process with a memory limit."""
    if not megabytes:
        return math.inf
    limit = megabytes * _MEGABYTE * (1 - ALLOCATOR_SHARE)
    process = read_resident_bytes() + PROCESS_BYTES
    return max(limit - process, MIN_BUDGET_BYTES)
