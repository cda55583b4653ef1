"""Reports usage windows with unique content, whichever instance reports."""

import logging
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock, Task
from guavagate.duties._cluster_clock import ClusterClock
from guavagate.duties._messages import TellUsage, UsageTaken
from guavagate.duties._totals import UsageTotals
from guavagate.events import duties as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.store_writes import (
    MaybeWrittenError,
    NotWrittenError,
    create,
)
from guavagate.helpers.unreadable import UnreadableObjects
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.ports.duties import (
    DutyAnswer,
    DutyClient,
    LeaseHolder,
    TeamCounts,
)
from guavagate.ports.store import ObjectStore, StoredObject
from guavagate.rollouts import Lease, LeaseHeldError, acquire_for_orders

_LOGGER: Final = logging.getLogger(__name__)
_UNREADABLE: Final = UnreadableObjects()

WINDOWS_FOLDER: Final = 'usage-windows'
LEASE_PATH: Final = 'duty-leases/usage'
CHECK_INTERVAL_SECONDS: Final = 0.25
# A request is counted in the window in which it began, but only when it ends,
# and its count arrives a moment later.
CLOSE_DELAY_SECONDS: Final = 2.0
CREATE_TIMEOUT_SECONDS: Final = 1.5
# A new reporter checks this many past windows for missing reports of its
# predecessor.
CATCH_UP_WINDOWS: Final = 3
# No instance reports a window that is older than this.
RETAINED_WINDOWS: Final = 40
# Attempts to send a report, one per check; they take at least half a minute.
MAX_ATTEMPTS: Final = 120


class _Window(msgspec.Struct):
    """The stored content of a window."""

    counts: TeamCounts


class UsageReporter:
    """Collects the counts of all instances; reports them while selected.

    The content of a report is first created in the store under the window's
    number. A reporter that finds another content there sends that one, so that
    all reports of a window are equal, whichever instance sends them and
    whichever counts arrive later.

    Parameters
    ----------
    length
        The length of a window in seconds.
    is_reporter
        Returns whether this instance is the one that reports.
    """

    def __init__(
        self,
        me: InstanceId,
        clock: Clock,
        bus: Bus,
        store: ObjectStore,
        lease: Lease,
        client: DutyClient,
        cluster_clock: ClusterClock,
        length: float,
        is_reporter: Callable[[], bool],
    ) -> None:
        self._me = me
        self._clock = clock
        self._store = store
        self._lease = lease
        self._client = client
        self._cluster_clock = cluster_clock
        self._length = length
        self._is_reporter = is_reporter
        self._totals = UsageTotals()
        self._next_window: int | None = None
        self._first_window = 0
        self._unreported: dict[int, TeamCounts] = {}
        self._attempts: dict[int, int] = {}
        self._task: Task | None = None
        bus.register(TellUsage, self._on_usage)

    def start(self) -> None:
        """Start checking for windows to report."""
        self._first_window = int(self._cluster_clock.now() // self._length)
        self._task = self._clock.spawn(self._run)

    def _on_usage(self, sender: InstanceId, message: Message) -> UsageTaken:
        usage = expect(message, TellUsage)
        if sender != self._me:  # The own clock is in the median anyway.
            self._cluster_clock.record(sender, usage.wall)
        self._totals.update(usage.source, usage.windows)
        now = self._cluster_clock.now() if self._is_reporter() else None
        return UsageTaken(now=now)

    def _run(self) -> None:
        while True:
            self._clock.sleep(CHECK_INTERVAL_SECONDS)
            if not self._is_reporter():
                self._step_down()
                continue
            self._cluster_clock.stop_following()
            try:
                self._check()
            except (StoreError, NotWrittenError, MaybeWrittenError) as error:
                _LOGGER.debug('cannot report usage: %s', error)
            except LeaseHeldError:
                _LOGGER.debug('another instance reports usage')

    def _step_down(self) -> None:
        if self._next_window is not None:
            self._next_window = None
            self._unreported.clear()
            self._lease.release()

    def _check(self) -> None:
        closed_until = self._cluster_clock.now() - CLOSE_DELAY_SECONDS
        end = int(closed_until // self._length)
        if self._next_window is None:
            self._next_window = end - CATCH_UP_WINDOWS
            write(
                _LOGGER,
                events.REPORTER_STARTED,
                reporter=self._me,
                first=self._next_window,
            )
        while self._next_window < end:
            self._close_window(self._next_window)
            self._delete_window(self._next_window - RETAINED_WINDOWS)
            self._next_window += 1
        self._totals.discard_before(end - RETAINED_WINDOWS)
        for window in sorted(self._unreported):
            self._report(window)

    def _close_window(self, window: int) -> None:
        """Store the content of a window, or load it if it is stored already."""
        path = f'{WINDOWS_FOLDER}/{window}'
        if window < self._first_window and not self._totals.has_window(window):
            # The window began before this instance could receive counts. Only
            # content that a previous reporter stored may be sent.
            stored = self._store.get(path)
            if stored is None:
                self._log_unknown(window)
                return
            counts = _decode(stored)
            if counts is None:
                self._log_unknown(window)
                return
            self._unreported[window] = counts
            return
        own = self._totals.sum_window(window)
        value = msgspec.json.encode(_Window(own))
        existing = create(
            self._store, self._clock, path, value, CREATE_TIMEOUT_SECONDS
        )
        counts = own if existing is None else _decode(existing)
        if counts is None:
            # Another instance may have reported other counts for it.
            self._log_unknown(window)
            return
        self._unreported[window] = counts
        write(
            _LOGGER,
            events.USAGE_CLOSED,
            window=window,
            requests=sum(counts.values()),
            teams=len(counts),
            found=existing is not None,
        )

    def _delete_window(self, window: int) -> None:
        """Delete a window's record, which no instance needs any more."""
        if window >= self._first_window:
            self._store.delete(f'{WINDOWS_FOLDER}/{window}', None)

    def _log_unknown(self, window: int) -> None:
        """Log a window without counts if the window before it was reported."""
        previous = self._store.get(f'{WINDOWS_FOLDER}/{window - 1}')
        if previous is not None:
            write(_LOGGER, events.USAGE_UNKNOWN, window=window)

    def _report(self, window: int) -> None:
        if not self._lease.may_order():
            acquire_for_orders(self._lease, self._clock)
        if not self._lease.may_order():
            return
        holder = LeaseHolder(self._me, self._lease.generation)
        counts = self._unreported[window]
        answer = self._client.report_usage(holder, window, counts)
        attempts = self._attempts.get(window, 0) + 1
        self._attempts[window] = attempts
        self._record_answer(window, answer, attempts)

    def _record_answer(
        self, window: int, answer: DutyAnswer, attempts: int
    ) -> None:
        retry = answer is DutyAnswer.UNKNOWN and attempts < MAX_ATTEMPTS
        if retry and attempts > 1:
            return
        event = events.USAGE_REFUSED
        if answer is DutyAnswer.ACCEPTED:
            event = events.USAGE_REPORTED
        elif retry:
            event = events.USAGE_DELAYED
        late = self._cluster_clock.now() - (window + 1) * self._length
        write(
            _LOGGER,
            event,
            window=window,
            generation=self._lease.generation,
            after=round(late, 2),
            answer=answer.value,
        )
        if not retry:
            self._unreported.pop(window)
            self._attempts.pop(window)


def _decode(stored: StoredObject) -> TeamCounts | None:
    """Return a window's counts, `None` if they can't be read."""
    try:
        return decode_json(stored.value, _Window).counts
    except msgspec.MsgspecError as error:
        _UNREADABLE.report(stored.path, str(error))
        return None
