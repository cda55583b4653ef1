"""The primary of a partition: applies, has the store hold it, answers.

Load pattern: many commands for one partition at once. Each write to the store
takes some milliseconds and has its price, so commands that come while one is
under way share the next; without it a burst of a thousand keyed requests
would be a thousand writes one after the other.
"""

import logging
from collections.abc import Callable
from typing import Final

import msgspec
from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import partitions as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.waits import wait_for
from guavagate.models import Epoch, InstanceId
from guavagate.partitions._messages import Entry, SubmitReply, Verdict
from guavagate.partitions._record_writer import RecordWriter, SupersededError
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state_machine import Applied, StateMachine

_LOGGER: Final = logging.getLogger(__name__)

# Between the starts of two writes of a partition. A command alone waits for
# nothing; a keyed request has two, and waits for this between them: 10 ms.
GROUP_SECONDS: Final = 0.01
# Entries of one write; a larger share of them waits for the next.
GROUP_BYTES: Final = 400_000
# A write that has had no answer for so long shows that the store is away;
# new commands are refused at once then, as nobody can say how long it lasts.
STUCK_SECONDS: Final = 1.0

# A command from further off would spoil what states keep by time, such as the
# ledger's window.
CLOCK_SKEW: Final = 60.0


class _Waiting(msgspec.Struct):
    """A command that has not been answered; `taken` once it is in a write."""

    entry: Entry
    done: Event
    reply: SubmitReply | None = None
    taken: bool = False


class Primary:
    """Decides for a partition while it holds the record.

    Parameters
    ----------
    lost
        Called once when another instance has gone on from here.

    Attributes
    ----------
    closed
        It answers nothing any more.
    frozen
        It takes no new commands, as it is being handed over.
    holder
        Who is known to have gone on from here, once closed.
    """

    def __init__(
        self,
        clock: Clock,
        keeping: RecordWriter,
        machine: StateMachine,
        safeguards: Safeguards,
        lost: Callable[[], None],
    ) -> None:
        self.keeping = keeping
        self.machine = machine
        self.closed = False
        self.frozen = False
        self.holder = InstanceId('')
        self._clock = clock
        self._safeguards = safeguards
        self._tell_lost = lost
        self._queue: list[_Waiting] = []
        self._wake = Event()
        self._idle = Event()
        self._idle.set()
        self._writing_since: float | None = None
        self._task: Task = clock.spawn(self._run)

    @property
    def epoch(self) -> Epoch:
        """Return the epoch in which this instance holds the record."""
        return self.keeping.record.epoch

    def submit(
        self, entry: Entry, wait: float, *, repeated: bool
    ) -> SubmitReply:
        """Have a command applied and held by the store."""
        refusal = self._find_refusal(entry, repeated=repeated)
        if refusal is not None:
            return refusal
        waiting = _Waiting(entry, Event())
        self._queue.append(waiting)
        self._idle.clear()
        self._wake.set()
        wait_for(self._clock, waiting.done, wait)
        if waiting.reply is not None:
            return waiting.reply
        if waiting.taken:
            return SubmitReply(verdict=Verdict.UNKNOWN)
        self._queue.remove(waiting)
        return SubmitReply(verdict=Verdict.MOVED)

    def freeze(self, limit: float) -> bool:
        """Take no new commands; return whether all were answered in time."""
        self.frozen = True
        return wait_for(self._clock, self._idle, limit)

    def close(self) -> None:
        """Answer nothing from now on."""
        self._end(SubmitReply(verdict=Verdict.UNKNOWN))
        self._task.kill(block=False)

    def _find_refusal(
        self, entry: Entry, *, repeated: bool
    ) -> SubmitReply | None:
        if self.closed or self.frozen:
            return SubmitReply(verdict=Verdict.MOVED, holder=self.holder)
        if not self.machine.understands(entry.kind):
            problem = f'no state takes {entry.kind}'
            return SubmitReply(verdict=Verdict.INVALID, problem=problem)
        if abs(self._clock.wall() - entry.at) > CLOCK_SKEW:
            problem = f'its clock is {CLOCK_SKEW:.0f}s off'
            return SubmitReply(verdict=Verdict.INVALID, problem=problem)
        if self._is_stuck():
            problem = 'the store gives no answer'
            return SubmitReply(verdict=Verdict.REFUSED, problem=problem)
        known = self._find(entry)
        if known is not None or not repeated:
            return None
        if self.machine.may_have_forgotten(entry.at):
            return SubmitReply(verdict=Verdict.FORGOTTEN)
        return None

    def _is_stuck(self) -> bool:
        since = self._writing_since
        return since is not None and self._clock.now() - since > STUCK_SECONDS

    def _find(self, entry: Entry) -> Applied | None:
        if not self._safeguards.deduplicate:
            return None
        return self.machine.find(entry.command)

    def _run(self) -> None:
        while not self.closed:
            self._wake.wait()
            self._wake.clear()
            while self._queue and not self.closed:
                began = self._clock.now()
                self._write_group(self._take_group())
                left = began + GROUP_SECONDS - self._clock.now()
                self._clock.sleep(max(left, 0))
            if not self._queue:
                self._idle.set()

    def _take_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        size = 0
        while self._queue and (not group or size < GROUP_BYTES):
            waiting = self._queue.pop(0)
            waiting.taken = True
            size += len(waiting.entry.payload)
            group.append(waiting)
        return group

    def _write_group(self, group: list[_Waiting]) -> None:
        """Apply commands, have the store hold them, then answer."""
        outcomes: list[bytes] = []
        fresh: list[Entry] = []
        for waiting in group:
            outcome = self._try_apply(waiting, fresh)
            if outcome is None:
                self._lose(
                    group, Verdict.MOVED, 'a command could not be applied'
                )
                return
            outcomes.append(outcome)
        if not self._safeguards.durable_first:
            _answer(group, outcomes)
        if not fresh or self._add(group, fresh):
            _answer(group, outcomes)

    def _try_apply(self, waiting: _Waiting, fresh: list[Entry]) -> bytes | None:
        """Apply a command; one that fails is answered and spoils the state.

        Without this it would end the task that writes, and the partition
        would answer nothing any more. Nothing of its group is in the record;
        what was applied here is forgotten and read again.
        """
        try:
            return self._apply(waiting.entry, fresh)
        except Exception as error:
            _LOGGER.exception('a command failed unexpectedly')
            problem = f'{waiting.entry.kind} failed: {error!r}'
            _conclude(
                waiting, SubmitReply(verdict=Verdict.INVALID, problem=problem)
            )
            return None

    def _apply(self, entry: Entry, fresh: list[Entry]) -> bytes:
        """Return what a command gives; one that needs writing is noted."""
        known = self._find(entry)
        if known is not None:
            return known.outcome
        previewed = self.machine.preview(entry)
        if previewed is not None:
            return previewed
        fresh.append(entry)
        return self.machine.apply(entry).outcome

    def _add(self, group: list[_Waiting], fresh: list[Entry]) -> bool:
        """Have the store hold entries; say whether it does."""
        self._writing_since = self._clock.now()
        try:
            self.keeping.add(fresh, self.machine)
        except SupersededError as error:
            self.holder = error.holder
            # Whoever holds the record now may have read it with these
            # entries in it; it tells by their ids when they are asked again.
            verdict = Verdict.UNKNOWN if error.unsure else Verdict.MOVED
            self._lose(group, verdict, f'{error.holder} holds the record')
        except StoreError as error:
            verdict = Verdict.UNKNOWN
            if not self._safeguards.settle:
                verdict = Verdict.REFUSED
            self._lose(group, verdict, str(error))
        finally:
            self._writing_since = None
        return not self.closed

    def _lose(
        self, group: list[_Waiting], verdict: Verdict, problem: str
    ) -> None:
        """End, as the state here is ahead of the record and of no use."""
        write(
            _LOGGER,
            events.SUPERSEDED,
            epoch=self.epoch,
            holder=self.holder,
            problem=problem,
            unanswered=len(group),
        )
        reply = SubmitReply(verdict=verdict, holder=self.holder)
        for waiting in group:
            _conclude(waiting, reply)
        self._end(SubmitReply(verdict=Verdict.MOVED, holder=self.holder))
        self._tell_lost()

    def _end(self, reply: SubmitReply) -> None:
        """Answer what waits and take nothing more."""
        self.closed = True
        waiting, self._queue = self._queue, []
        for each in waiting:
            _conclude(each, reply)
        self._idle.set()


def _answer(group: list[_Waiting], outcomes: list[bytes]) -> None:
    for waiting, outcome in zip(group, outcomes, strict=True):
        reply = SubmitReply(verdict=Verdict.DONE, outcome=outcome)
        _conclude(waiting, reply)


def _conclude(waiting: _Waiting, reply: SubmitReply) -> None:
    if waiting.reply is None:
        waiting.reply = reply
        waiting.done.set()
