"""What the connections of callers hold, and which of them are closed for it.

Load pattern: clients that don't behave open connections without end, stop just
before the end of a body, read long answers slowly, or send on after a refusal.
Each holds memory and descriptors for as long as it likes, until the process
is killed or can reach neither its store nor its upstreams.

Each connection has one account, from its acceptance until its socket is closed.
When something is asked for that does not fit, connections that only wait for
their callers are closed: for descriptors idle ones first, for memory those that
have waited longest, and none if that would not be enough.

How long a caller has been waited for counts, not when it last moved, so that
one that sends or reads a byte now and then gains nothing.
"""

import enum
import itertools
import logging
import math
from collections.abc import Callable, Iterator
from typing import Final

from guavagate.admission._memory import (
    CONNECTION_BYTES,
    READING_SHARE,
    REQUEST_BYTES,
    SMALL_SHARE,
    MemoryBudget,
)
from guavagate.clock import Clock
from guavagate.events import admission as events
from guavagate.events import write
from guavagate.http1 import Evictable, Phase

_LOGGER: Final = logging.getLogger(__name__)

# A caller within the limits sends a body, or reads an answer, within about this
# time. Others are closed for new bodies only after it, so that one large body
# does not end another that is on its way.
SLOW_SECONDS: Final = 3.0
# Of a running request: an attempt at an upstream and its hedge.
REQUEST_DESCRIPTORS: Final = 2
# Idle connections on which a request has just arrived, or that are new; there
# are few among the oldest, and each costs a system call.
_IDLE_MISSES: Final = 8


# How long the tasks of closed connections may take to release what they hold.
RELEASE_SECONDS: Final = 0.5
RELEASE_CHECK_SECONDS: Final = 0.005

# Whether something fits, by the bytes and the descriptors in use.
Fits = Callable[[int, int], bool]


class _Part(enum.Enum):
    """What an account counts memory for."""

    CONNECTION = 'connection'
    REQUEST = 'request'
    BODY = 'body'
    UNREAD = 'unread'
    ANSWER = 'answer'


class ConnectionAccount:
    """What one connection holds; implements `http1.ConnectionAccount`."""

    def __init__(self, ledger: 'ConnectionLedger') -> None:
        self.connection: Evictable | None = None
        self.waits_since = ledger.now()
        self.phase = Phase.IDLE
        self._ledger = ledger
        self._budget = ledger.budget
        self._held: dict[_Part, int] = {}
        self.descriptors = 0
        self._closed = False
        self._evicted = False
        self._hold(_Part.CONNECTION, CONNECTION_BYTES)
        self._hold_descriptors(1)
        ledger.sort(self)

    @property
    def held(self) -> int:
        """Return the bytes that the connection holds."""
        return sum(self._held.values())

    @property
    def waits_for_caller(self) -> bool:
        """Return whether the caller has to send or read something."""
        if self.phase in {Phase.RECEIVING, Phase.CLOSING}:
            return True
        held = self._held
        return bool(held.get(_Part.UNREAD) or held.get(_Part.ANSWER))

    def bind(self, connection: Evictable) -> None:
        """Set the connection, which may be closed for others from now on."""
        self.connection = connection

    def enter(self, phase: Phase) -> None:
        """Record what the connection waits for from now on."""
        if self._closed or self._evicted:
            return
        self.phase = phase
        is_idle = phase is Phase.IDLE
        self._hold(_Part.REQUEST, 0 if is_idle else REQUEST_BYTES)
        self._ledger.sort(self)

    def admit_request(self) -> bool:
        """Reserve what a running request needs; return whether it may run."""
        if self._closed or self._evicted:
            return False
        if not self._ledger.admit_descriptors(REQUEST_DESCRIPTORS, self):
            return False
        self._hold_descriptors(1 + REQUEST_DESCRIPTORS)
        return True

    def admit_body(self, size: int) -> bool:
        """Reserve memory for a body; return whether it may be read."""
        needed = math.ceil(size * READING_SHARE)
        return self._admit(size, needed)

    def admit_copies(self, size: int) -> bool:
        """Reserve memory for a body and its copies; return whether it fits.

        The copies of a body are a high estimate. One that is larger than the
        budget is admitted alone, so that no instance refuses it for ever.
        """
        most = self._budget.limit_alone
        return self._admit(size, size if size < most else int(most))

    def hold_body(self, size: int) -> None:
        """Record what a complete body needs from now on."""
        self._hold(_Part.BODY, size)

    def hold_unread(self, size: int) -> None:
        """Record how much the kernel may hold that is not read."""
        self._hold(_Part.UNREAD, size)
        self._ledger.sort(self)

    def hold_answer(self, size: int) -> None:
        """Record how much of the answer waits for the caller."""
        before = self._held.get(_Part.ANSWER, 0)
        # The task of a connection that was closed still refers to its answer.
        if size == before or self._evicted:
            return
        grows = size > before
        self._hold(_Part.ANSWER, size)
        self._ledger.sort(self)
        if grows:
            self._ledger.make_room_for_answers(0, keep=self)

    def end_request(self) -> None:
        """Release what the request held; the connection remains open."""
        for part in (_Part.BODY, _Part.ANSWER):
            self._hold(part, 0)
        self._hold_descriptors(1)
        self.enter(Phase.IDLE)

    def evict(self) -> None:
        """Record that all of it is about to be released."""
        self._evicted = True
        self._budget.leaving += self.held
        self._ledger.leaving_descriptors += self.descriptors
        self._ledger.remove(self)

    def close(self) -> None:
        """Release everything."""
        for part in _Part:
            self._hold(part, 0)
        self._hold_descriptors(0)
        self._closed = True
        self._ledger.remove(self)

    def _admit(self, size: int, needed: int) -> bool:
        own = self._held.get(_Part.BODY, 0)

        def fits(held: int, _: int) -> bool:
            return self._budget.may_grow(
                size, needed - own, held
            ) or self._budget.may_hold_alone(needed, held - own)

        if self._closed or self._evicted:
            return False
        if not self._ledger.wait_for_room(fits, self):
            return False
        self._hold(_Part.BODY, needed)
        # It may have been closed for others in the meantime.
        return not self._evicted

    def _hold(self, part: _Part, size: int) -> None:
        if self._closed:
            return
        growth = size - self._held.get(part, 0)
        self._held[part] = size
        self._budget.change(growth)
        if self._evicted:
            self._budget.leaving += growth

    def _hold_descriptors(self, count: int) -> None:
        if self._closed:
            return
        growth = count - self.descriptors
        self.descriptors = count
        self._ledger.descriptors += growth
        if self._evicted:
            self._ledger.leaving_descriptors += growth


class ConnectionLedger:
    """The accounts of all connections of callers.

    Parameters
    ----------
    max_descriptors
        How many descriptors the connections and their requests may use.
    reserve
        Bytes beyond the budget that are for these connections.
    """

    def __init__(
        self,
        clock: Clock,
        budget: MemoryBudget,
        max_descriptors: float = math.inf,
        reserve: int = 0,
    ) -> None:
        self._reserve = reserve
        self.budget = budget
        self.max_descriptors = max_descriptors
        self.descriptors = 0
        # Of connections that were closed and are about to be released.
        self.leaving_descriptors = 0
        self._clock = clock
        self.evicted = 0
        self.now = clock.now
        # Both in the order in which their accounts began to wait.
        self._idle: dict[ConnectionAccount, None] = {}
        self._waiting: dict[ConnectionAccount, None] = {}

    def open(self) -> ConnectionAccount | None:
        """Return the account of a new connection, or `None` without room."""
        most = self.budget.limit * SMALL_SHARE + self._reserve

        def fits(held: int, descriptors: int) -> bool:
            return (
                descriptors < self.max_descriptors
                and held + CONNECTION_BYTES <= most
            )

        has_room = self.make_room(fits, idle_first=True)
        return ConnectionAccount(self) if has_room else None

    def admit_descriptors(self, count: int, asker: ConnectionAccount) -> bool:
        """Return whether a connection may use so many more descriptors."""
        return self.wait_for_room(
            lambda _, used: used + count <= self.max_descriptors,
            asker,
            idle_first=True,
        )

    def make_room_for_answers(
        self, size: int, keep: ConnectionAccount | None = None
    ) -> bool:
        """Close connections for an answer; return whether there is room.

        Answers belong to requests that have run, so the connections that wait
        for their callers make room at once, except the one to `keep`.
        """

        def fits(held: int, _: int) -> bool:
            return held + size <= self.budget.limit

        self.make_room(fits, slow_seconds=0, keep=keep, best_effort=True)
        return fits(self.budget.held, 0)

    def wait_for_room(
        self, fits: Fits, asker: ConnectionAccount, *, idle_first: bool = False
    ) -> bool:
        """Close others until something of a connection fits; return whether.

        Waits until what the closed connections held is released, which takes a
        few iterations of the event loop.
        """
        until = self.now() + RELEASE_SECONDS
        while self.make_room(fits, keep=asker, idle_first=idle_first):
            if fits(self.budget.held, self.descriptors):
                return True
            if self.now() > until:
                break
            self._clock.sleep(RELEASE_CHECK_SECONDS)
        return False

    def make_room(
        self,
        fits: Fits,
        *,
        slow_seconds: float = SLOW_SECONDS,
        keep: ConnectionAccount | None = None,
        idle_first: bool = False,
        best_effort: bool = False,
    ) -> bool:
        """Close connections until something fits; return whether it will.

        It fits once what the closed connections held is released.

        Parameters
        ----------
        slow_seconds
            How long a caller must have been waited for.
        keep
            A connection that is not closed.
        idle_first
            Whether idle connections are closed before others. They hold a
            descriptor each, and hardly any memory.
        best_effort
            Whether connections are closed also if that is not enough.
        """
        held = self.budget.held - self.budget.leaving
        descriptors = self.descriptors - self.leaving_descriptors
        if fits(held, descriptors):
            return True
        kinds = [self._list_waiting(slow_seconds, keep), self._list_idle()]
        if idle_first:
            kinds.reverse()
        chosen: list[ConnectionAccount] = []
        for account in itertools.chain.from_iterable(kinds):
            chosen.append(account)
            held -= account.held
            descriptors -= account.descriptors
            if fits(held, descriptors):
                break
        is_enough = fits(held, descriptors)
        if is_enough or best_effort:
            for account in chosen:
                self._evict(account)
        return is_enough

    def sort(self, account: ConnectionAccount) -> None:
        """Put an account among those that are idle or wait, or neither."""
        target: dict[ConnectionAccount, None] | None = None
        if account.waits_for_caller:
            target = self._waiting
        elif account.phase is Phase.IDLE:
            target = self._idle
        if target is not None and account in target:
            return
        self.remove(account)
        if target is not None:
            account.waits_since = self.now()
            target[account] = None

    def remove(self, account: ConnectionAccount) -> None:
        """Remove an account that is closed, or waits for no caller."""
        self._idle.pop(account, None)
        self._waiting.pop(account, None)

    def _list_idle(self) -> Iterator[ConnectionAccount]:
        """Yield idle connections on which no request has arrived."""
        misses = 0
        for account in self._idle:
            connection = account.connection
            if connection is not None and connection.is_idle():
                yield account
                continue
            misses += 1
            if misses == _IDLE_MISSES:
                return

    def _list_waiting(
        self, slow_seconds: float, keep: ConnectionAccount | None
    ) -> Iterator[ConnectionAccount]:
        """Yield the connections that wait for callers, the longest first."""
        before = self.now() - slow_seconds
        for account in self._waiting:
            if account.waits_since > before:
                return
            if account is not keep:
                yield account

    def _evict(self, account: ConnectionAccount) -> None:
        self.evicted += 1
        write(
            _LOGGER,
            events.CONNECTION_EVICTED,
            phase=account.phase.value,
            held=account.held,
            seconds=round(self.now() - account.waits_since, 3),
            all_held=self.budget.held,
            descriptors=self.descriptors,
        )
        connection = account.connection
        is_idle = not account.waits_for_caller
        account.evict()
        if connection is None:
            return
        if is_idle:
            connection.close_idle()
        else:
            connection.cut_off()
