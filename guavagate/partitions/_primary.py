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
from guavagate.partitions._state_machine import AppliedCommand, StateMachine

_LOGGER: Final = logging.getLogger(__name__)

# Between the starts of two writes of a partition. A command alone waits for
# nothing; a keyed request has two, and waits for this between them: 10 ms.
WRITE_INTERVAL_SECONDS: Final = 0.01
# Entries of one write; a larger share of them waits for the next.
MAX_BATCH_BYTES: Final = 400_000
# A write that has had no answer for so long shows that the store is away;
# new commands are refused at once then, as nobody can say how long it lasts.
STORE_STALL_SECONDS: Final = 1.0

# A command from further off would spoil what states keep by time, such as the
# ledger's window.
MAX_CLOCK_SKEW_SECONDS: Final = 60.0


class _PendingCommand(msgspec.Struct):
    """A command that has not been answered; `taken` once it is in a write."""

    entry: Entry
    done: Event
    reply: SubmitReply | None = None
    in_write: bool = False


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
        writer: RecordWriter,
        machine: StateMachine,
        safeguards: Safeguards,
        on_lost: Callable[[], None],
    ) -> None:
        self.writer = writer
        self.machine = machine
        self.closed = False
        self.frozen = False
        self.holder = InstanceId('')
        self._clock = clock
        self._safeguards = safeguards
        self._on_lost = on_lost
        self._queue: list[_PendingCommand] = []
        self._wake = Event()
        self._idle = Event()
        self._idle.set()
        self._writing_since: float | None = None
        self._task: Task = clock.spawn(self._run)

    @property
    def epoch(self) -> Epoch:
        """Return the epoch in which this instance holds the record."""
        return self.writer.record.epoch

    def submit(
        self, entry: Entry, wait: float, *, repeated: bool
    ) -> SubmitReply:
        """Have a command applied and held by the store."""
        refusal = self._find_refusal(entry, repeated=repeated)
        if refusal is not None:
            return refusal
        pending = _PendingCommand(entry, Event())
        self._queue.append(pending)
        self._idle.clear()
        self._wake.set()
        wait_for(self._clock, pending.done, wait)
        if pending.reply is not None:
            return pending.reply
        if pending.in_write:
            return SubmitReply(verdict=Verdict.UNKNOWN)
        self._queue.remove(pending)
        return SubmitReply(verdict=Verdict.MOVED)

    def freeze(self, limit: float) -> bool:
        """Take no new commands; return whether all were answered in time."""
        self.frozen = True
        return wait_for(self._clock, self._idle, limit)

    def close(self) -> None:
        """Answer nothing from now on."""
        self._close(SubmitReply(verdict=Verdict.UNKNOWN))
        self._task.kill(block=False)

    def _find_refusal(
        self, entry: Entry, *, repeated: bool
    ) -> SubmitReply | None:
        if self.closed or self.frozen:
            return SubmitReply(verdict=Verdict.MOVED, holder=self.holder)
        if not self.machine.is_registered(entry.kind):
            problem = f'no state takes {entry.kind}'
            return SubmitReply(verdict=Verdict.INVALID, problem=problem)
        if abs(self._clock.wall() - entry.at) > MAX_CLOCK_SKEW_SECONDS:
            problem = f'its clock is {MAX_CLOCK_SKEW_SECONDS:.0f}s off'
            return SubmitReply(verdict=Verdict.INVALID, problem=problem)
        if self._is_store_stalled():
            problem = 'the store gives no answer'
            return SubmitReply(verdict=Verdict.REFUSED, problem=problem)
        known = self._find_applied(entry)
        if known is not None or not repeated:
            return None
        if self.machine.may_have_forgotten(entry.at):
            return SubmitReply(verdict=Verdict.FORGOTTEN)
        return None

    def _is_store_stalled(self) -> bool:
        since = self._writing_since
        return (
            since is not None
            and self._clock.now() - since > STORE_STALL_SECONDS
        )

    def _find_applied(self, entry: Entry) -> AppliedCommand | None:
        if not self._safeguards.deduplicate:
            return None
        return self.machine.find_applied(entry.command_id)

    def _run(self) -> None:
        while not self.closed:
            self._wake.wait()
            self._wake.clear()
            while self._queue and not self.closed:
                started = self._clock.now()
                self._write_batch(self._take_batch())
                left = started + WRITE_INTERVAL_SECONDS - self._clock.now()
                self._clock.sleep(max(left, 0))
            if not self._queue:
                self._idle.set()

    def _take_batch(self) -> list[_PendingCommand]:
        batch: list[_PendingCommand] = []
        size = 0
        while self._queue and (not batch or size < MAX_BATCH_BYTES):
            pending = self._queue.pop(0)
            pending.in_write = True
            size += len(pending.entry.payload)
            batch.append(pending)
        return batch

    def _write_batch(self, batch: list[_PendingCommand]) -> None:
        """Apply commands, have the store hold them, then answer."""
        outcomes: list[bytes] = []
        new_entries: list[Entry] = []
        for pending in batch:
            outcome = self._try_apply(pending, new_entries)
            if outcome is None:
                self._step_down(
                    batch, Verdict.MOVED, 'a command could not be applied'
                )
                return
            outcomes.append(outcome)
        if not self._safeguards.durable_first:
            _answer_all(batch, outcomes)
        if not new_entries or self._add_entries(batch, new_entries):
            _answer_all(batch, outcomes)

    def _try_apply(
        self, pending: _PendingCommand, new_entries: list[Entry]
    ) -> bytes | None:
        """Apply a command; one that fails is answered and spoils the state.

        Without this it would end the task that writes, and the partition
        would answer nothing any more. Nothing of its group is in the record;
        what was applied here is forgotten and read again.
        """
        try:
            return self._apply(pending.entry, new_entries)
        except Exception as error:
            _LOGGER.exception('a command failed unexpectedly')
            problem = f'{pending.entry.kind} failed: {error!r}'
            _set_reply(
                pending, SubmitReply(verdict=Verdict.INVALID, problem=problem)
            )
            return None

    def _apply(self, entry: Entry, new_entries: list[Entry]) -> bytes:
        """Return what a command gives; one that needs writing is noted."""
        known = self._find_applied(entry)
        if known is not None:
            return known.outcome
        previewed = self.machine.preview(entry)
        if previewed is not None:
            return previewed
        new_entries.append(entry)
        return self.machine.apply(entry).outcome

    def _add_entries(
        self, batch: list[_PendingCommand], new_entries: list[Entry]
    ) -> bool:
        """Have the store hold entries; say whether it does."""
        self._writing_since = self._clock.now()
        try:
            self.writer.add(new_entries, self.machine)
        except SupersededError as error:
            self.holder = error.holder
            # Whoever holds the record now may have read it with these
            # entries in it; it tells by their ids when they are asked again.
            verdict = Verdict.UNKNOWN if error.unsure else Verdict.MOVED
            self._step_down(batch, verdict, f'{error.holder} holds the record')
        except StoreError as error:
            verdict = Verdict.UNKNOWN
            if not self._safeguards.settle:
                verdict = Verdict.REFUSED
            self._step_down(batch, verdict, str(error))
        finally:
            self._writing_since = None
        return not self.closed

    def _step_down(
        self, batch: list[_PendingCommand], verdict: Verdict, problem: str
    ) -> None:
        """End, as the state here is ahead of the record and of no use."""
        write(
            _LOGGER,
            events.SUPERSEDED,
            epoch=self.epoch,
            holder=self.holder,
            problem=problem,
            unanswered=len(batch),
        )
        reply = SubmitReply(verdict=verdict, holder=self.holder)
        for pending in batch:
            _set_reply(pending, reply)
        self._close(SubmitReply(verdict=Verdict.MOVED, holder=self.holder))
        self._on_lost()

    def _close(self, reply: SubmitReply) -> None:
        """Answer what waits and take nothing more."""
        self.closed = True
        pending, self._queue = self._queue, []
        for each in pending:
            _set_reply(each, reply)
        self._idle.set()


def _answer_all(batch: list[_PendingCommand], outcomes: list[bytes]) -> None:
    for pending, outcome in zip(batch, outcomes, strict=True):
        reply = SubmitReply(verdict=Verdict.DONE, outcome=outcome)
        _set_reply(pending, reply)


def _set_reply(pending: _PendingCommand, reply: SubmitReply) -> None:
    if pending.reply is None:
        pending.reply = reply
        pending.done.set()
