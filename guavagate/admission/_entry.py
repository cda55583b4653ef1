"""Applies the limits of the machine to the connections of an entry."""

import logging
import math
import random
from typing import Final

from guavagate.admission._connections import (
    ConnectionAccount,
    ConnectionLedger,
)
from guavagate.admission._memory import MemoryBudget
from guavagate.clock import Clock
from guavagate.events import admission as events
from guavagate.events import write
from guavagate.http1 import MAX_READING_BYTES
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


# Descriptors that the machine sets aside for files.
FILE_DESCRIPTORS: Final = 200
# Share of the other descriptors that connections of callers and their attempts
# may use. The rest is for the store, for other instances, and for idle
# connections to upstreams.
CALLER_DESCRIPTOR_SHARE: Final = 0.5
# Connections of the balancer's probes and of operators, apart from those of
# callers, which can't use them up.
OPERATOR_DESCRIPTORS: Final = 64
# Memory for them beyond the budget of callers.
OPERATOR_BYTES: Final = 4_000_000


# Share of the budget for answers that are being read. Those read at the same
# moment are counted anew, for their callers, only a moment later.
READING_SHARE: Final = 0.25


class EntryMemory:
    """Counts what an entry's connections hold, and refuses what won't fit.

    Parameters
    ----------
    megabytes
        Limit of the whole process, 0 for none.
    descriptors
        Limit of the whole process, 0 for none.

    Attributes
    ----------
    operators
        The account of servers for probes and operators.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        megabytes: float = 0,
        descriptors: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        self.budget = MemoryBudget(compute_budget(megabytes))
        self.connections = ConnectionLedger(
            clock, self.budget, compute_caller_descriptors(descriptors)
        )
        self.operators = OperatorConnections(clock, self.budget)
        self._metrics = metrics
        self._random = rng or random.Random()
        if megabytes:
            return_large_blocks()
        metrics.add_refresher(self._refresh)

    def open_account(self) -> ConnectionAccount | None:
        """Return the account of a new connection, or `None` to refuse it."""
        account = self.connections.open()
        if account is None:
            self._metrics.count(names.CONNECTIONS_REFUSED)
        return account

    def compute_reading_limit(self) -> float:
        """Return how many bytes of answers may be read at once."""
        return min(MAX_READING_BYTES, self.budget.limit * READING_SHARE)

    def compute_retry_after(self) -> float:
        """Return when a caller refused for want of memory should return."""
        return round(self._random.uniform(*RETRY_RANGE_SECONDS), 3)

    def refuse_body(self, request_id: str) -> float:
        """Record that a body is refused; return when to retry, in seconds."""
        seconds = self.compute_retry_after()
        self._metrics.count(names.BODIES_REFUSED)
        write(
            _LOGGER,
            events.BODY_REFUSED,
            request=request_id,
            held=self.budget.held,
            budget=round(self.budget.limit),
            retry_after=seconds,
        )
        return seconds

    def record_slow_caller(self, request_id: str) -> None:
        """Record that a caller was cut off as it took nothing."""
        self._metrics.count(names.SLOW_CALLERS)
        write(_LOGGER, events.SLOW_CALLER, request=request_id)

    def _refresh(self) -> None:
        connections = self.connections
        self._metrics.set_gauge(names.HELD_BYTES, self.budget.held)
        self._metrics.set_gauge(
            names.CALLER_DESCRIPTORS, connections.descriptors
        )
        self._metrics.set_total(names.CONNECTIONS_EVICTED, connections.evicted)


class OperatorConnections:
    """Counts the connections of probes and operators apart from callers.

    A crowd of callers would otherwise use up what a probe of the balancer
    needs, and the instance would leave the rotation.
    """

    def __init__(self, clock: Clock, budget: MemoryBudget) -> None:
        self._connections = ConnectionLedger(
            clock, budget, OPERATOR_DESCRIPTORS, OPERATOR_BYTES
        )

    def open_account(self) -> ConnectionAccount | None:
        """Return the account of a new connection, or `None` to refuse it."""
        return self._connections.open()

    def compute_retry_after(self) -> float:
        """Return when a refused probe should be repeated."""
        return RETRY_RANGE_SECONDS[1]

    def record_slow_caller(self, request_id: str) -> None:
        """Record nothing; probes have no ids."""


def compute_caller_descriptors(descriptors: int) -> float:
    """Return the descriptors for callers in a process with a limit."""
    if not descriptors:
        return math.inf
    usable = max(descriptors - FILE_DESCRIPTORS, 0)
    return max(math.floor(usable * CALLER_DESCRIPTOR_SHARE), 1)


def compute_budget(megabytes: float) -> float:
    """Return the bytes for requests in a process with a memory limit."""
    if not megabytes:
        return math.inf
    limit = megabytes * _MEGABYTE * (1 - ALLOCATOR_SHARE)
    process = read_resident_bytes() + PROCESS_BYTES
    return max(limit - process, MIN_BUDGET_BYTES)
