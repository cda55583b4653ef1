"""Reports usage: each window once, with one content, whoever reports."""

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
from guavagate.helpers.store_writes import (
    MaybeWrittenError,
    NotWrittenError,
    create,
)
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.ports.duties import Counts, DutyAnswer, DutyClient, Holder
from guavagate.ports.store import ObjectStore
from guavagate.rollouts import Lease, LeaseHeldError, acquire_for_orders

_LOGGER: Final = logging.getLogger(__name__)

USAGE: Final = 'usage-windows'
LEASE_PATH: Final = 'duty-leases/usage'
LOOK_SECONDS: Final = 0.25
# A request that began in a window is counted when it ends, and told a moment
# later.
CLOSE_SECONDS: Final = 2.0
CREATE_SECONDS: Final = 1.5
# Of windows that are over; a new holder looks at these for what the former one
# did not report.
LOOK_BACK: Final = 3
# In windows; by then nobody reports them any more.
KEPT: Final = 40
# Tries that a report gets, one in each look; half a minute at least.
MOST_TRIES: Final = 120


class _Window(msgspec.Struct):
    """The content of a window, from the store."""

    counts: Counts


class UsageReporter:
    """Hears what all have counted; reports it while it is the first in rank.

    What is sent is first created in the store under the window's number. Who
    finds another content there sends that one, so that all reports of a window
    are equal, whoever sent them and whoever has heard of more meanwhile.

    Parameters
    ----------
    length
        Of a window, in seconds.
    is_first
        Returns whether this instance is the one to report.
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
        is_first: Callable[[], bool],
    ) -> None:
        self._me = me
        self._clock = clock
        self._store = store
        self._lease = lease
        self._client = client
        self._cluster_clock = cluster_clock
        self._length = length
        self._is_first = is_first
        self._totals = UsageTotals()
        self._next: int | None = None
        self._born = 0
        self._open: dict[int, Counts] = {}
        self._tries: dict[int, int] = {}
        self._task: Task | None = None
        bus.register(TellUsage, self._on_told)

    def start(self) -> None:
        """Begin to look whether there is something to report."""
        self._born = int(self._cluster_clock.now() // self._length)
        self._task = self._clock.spawn(self._run)

    def _on_told(self, sender: InstanceId, message: Message) -> UsageTaken:
        told = expect(message, TellUsage)
        if sender != self._me:  # Its own clock has a vote already.
            self._cluster_clock.record(sender, told.wall)
        self._totals.update(told.source, told.windows)
        now = self._cluster_clock.now() if self._is_first() else None
        return UsageTaken(now=now)

    def _run(self) -> None:
        while True:
            self._clock.sleep(LOOK_SECONDS)
            if not self._is_first():
                self._step_down()
                continue
            self._cluster_clock.stop_following()
            try:
                self._look()
            except (StoreError, NotWrittenError, MaybeWrittenError) as error:
                _LOGGER.debug('usage waits for the store: %s', error)
            except LeaseHeldError:
                _LOGGER.debug('another instance reports usage')

    def _step_down(self) -> None:
        if self._next is not None:
            self._next = None
            self._open.clear()
            self._lease.release()

    def _look(self) -> None:
        closed = self._cluster_clock.now() - CLOSE_SECONDS
        over = int(closed // self._length)
        if self._next is None:
            self._next = over - LOOK_BACK
            write(_LOGGER, events.REPORTER, reporter=self._me, first=self._next)
        while self._next < over:
            self._settle(self._next)
            self._forget(self._next - KEPT)
            self._next += 1
        self._totals.discard_before(over - KEPT)
        for window in sorted(self._open):
            self._report(window)

    def _settle(self, window: int) -> None:
        """Fix the content of a window, or take the one that is fixed."""
        path = f'{USAGE}/{window}'
        if window < self._born and not self._totals.has_window(window):
            # Before this instance was there to hear of counts; what the
            # former holder has fixed is sent again, and nothing made up.
            stored = self._store.get(path)
            if stored is None:
                self._tell_unknown(window)
                return
            self._open[window] = _decode(stored.value)
            return
        counts = self._totals.sum_window(window)
        value = msgspec.json.encode(_Window(counts))
        other = create(self._store, self._clock, path, value, CREATE_SECONDS)
        if other is not None:
            counts = _decode(other.value)
        self._open[window] = counts
        write(
            _LOGGER,
            events.USAGE_CLOSED,
            window=window,
            requests=sum(counts.values()),
            teams=len(counts),
            found=other is not None,
        )

    def _forget(self, window: int) -> None:
        """Remove a window's record; nobody reports it any more."""
        if window >= self._born:
            self._store.delete(f'{USAGE}/{window}', None)

    def _tell_unknown(self, window: int) -> None:
        """Note a window that nobody counted, once some were reported at all."""
        before = self._store.get(f'{USAGE}/{window - 1}')
        if before is not None:
            write(_LOGGER, events.USAGE_UNKNOWN, window=window)

    def _report(self, window: int) -> None:
        if not self._lease.may_order():
            acquire_for_orders(self._lease, self._clock)
        if not self._lease.may_order():
            return
        holder = Holder(self._me, self._lease.generation)
        counts = self._open[window]
        answer = self._client.report_usage(holder, window, counts)
        tries = self._tries.get(window, 0) + 1
        self._tries[window] = tries
        self._note(window, answer, tries)

    def _note(self, window: int, answer: DutyAnswer, tries: int) -> None:
        again = answer is DutyAnswer.UNKNOWN and tries < MOST_TRIES
        if again and tries > 1:
            return
        event = events.USAGE_REFUSED
        if answer is DutyAnswer.TAKEN:
            event = events.USAGE_REPORTED
        elif again:
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
        if not again:
            self._open.pop(window)
            self._tries.pop(window)


def _decode(value: bytes) -> Counts:
    return msgspec.json.decode(value, type=_Window).counts
