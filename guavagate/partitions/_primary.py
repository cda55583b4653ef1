"""The primary of a partition applies commands, stores them and replies.

Load pattern: many concurrent commands for one partition. Each write to the
store takes some milliseconds and adds cost, so commands that arrive during a
write share the next one. Without batching, a burst of a thousand keyed
requests would cause a thousand sequential writes.
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

# Minimum time between the starts of two writes of a partition. A single command
# does not wait; a keyed request has two commands, and the second one waits for
# up to this time.
WRITE_INTERVAL_SECONDS: Final = 0.01
# Once the payload of a write reaches this size, further entries wait for the
# next one.
MAX_BATCH_BYTES: Final = 400_000
# After a write has had no response for this long, the store counts as
# unavailable. New commands are refused at once, as the outage may last.
STORE_STALL_SECONDS: Final = 1.0

# A larger clock difference would break states that expire data by command
# time, such as the ledger's window.
MAX_CLOCK_SKEW_SECONDS: Final = 60.0


class _PendingCommand(msgspec.Struct):
    """A command without a reply; `in_write` once a write includes it."""

    entry: Entry
    done: Event
    reply: SubmitReply | None = None
    in_write: bool = False


class Primary:
    """Leads a partition while this instance holds its record.

    Parameters
    ----------
    on_lost
        Called once when this instance loses the partition.

    Attributes
    ----------
    closed
        It accepts no commands and sends no outcomes any more.
    frozen
        It accepts no new commands because a hand-over is in progress.
    holder
        The instance that has taken over, if known, once closed.
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
        """Return the epoch in which this instance is the holder."""
        return self.writer.record.epoch

    def submit(
        self, entry: Entry, wait: float, *, repeated: bool
    ) -> SubmitReply:
        """Apply a command and store it durably."""
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
        """Accept no new commands; return whether all got a reply in time."""
        self.frozen = True
        return wait_for(self._clock, self._idle, limit)

    def close(self) -> None:
        """Reply `UNKNOWN` to all pending commands and stop."""
        self._close_with(SubmitReply(verdict=Verdict.UNKNOWN))
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
        """Apply commands, store them durably, then reply."""
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
        """Apply a command; reply `INVALID` and return `None` if it fails.

        An unhandled error would end the writing task, and the partition would
        no longer reply. None of the batch is in the record yet, so the
        partially changed state is discarded and the record is read again.
        """
        try:
            return self._apply(pending.entry, new_entries)
        except Exception as error:
            _LOGGER.exception('Command failed unexpectedly')
            problem = f'{pending.entry.kind} failed: {error!r}'
            _set_reply(
                pending, SubmitReply(verdict=Verdict.INVALID, problem=problem)
            )
            return None

    def _apply(self, entry: Entry, new_entries: list[Entry]) -> bytes:
        """Return a command's outcome; collect an entry that must be stored."""
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
        """Store entries durably; return whether that succeeded."""
        self._writing_since = self._clock.now()
        try:
            self.writer.add(new_entries, self.machine)
        except SupersededError as error:
            self.holder = error.holder
            # The new holder may have read a record with these entries; it
            # recognizes repeated commands by their ids.
            verdict = Verdict.UNKNOWN if error.may_be_written else Verdict.MOVED
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
        """Close, because the local state is ahead of the record."""
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
        self._close_with(SubmitReply(verdict=Verdict.MOVED, holder=self.holder))
        self._on_lost()

    def _close_with(self, reply: SubmitReply) -> None:
        """Reply to all pending commands and accept no more."""
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
