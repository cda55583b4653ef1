"""The ledger's state in a partition: one record for each key."""

from collections.abc import Callable
from typing import Any, Final

import msgspec

from guavagate.helpers.decoding import decode_msgpack
from guavagate.ledger._messages import (
    Abort,
    Answer,
    Begin,
    BeginOutcome,
    BeginState,
    Expire,
    Finish,
    LedgerLimits,
    RecordOutcome,
    RecordState,
)
from guavagate.models import InstanceId, PartitionId
from guavagate.partitions import (
    Command,
    Outcome,
    PartitionState,
)

_RECORD_OVERHEAD_BYTES: Final = 200


class LedgerSafeguards(msgspec.Struct, frozen=True, kw_only=True):
    """All are on in the daemon; see the safeguards of `guavagate.partitions`.

    Parameters
    ----------
    compare_digest
        Refuse a different request with a known key.
    keep_unknown
        Never grant a key again whose outcome is unknown.
    keep_answer
        Do not grant an answered key again.
    join
        Do not grant a running key again.
    """

    compare_digest: bool = True
    keep_unknown: bool = True
    keep_answer: bool = True
    join: bool = True


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """The record of one key."""

    state: RecordState
    digest: str
    attempt: str
    entry: InstanceId
    at: float
    answer: Answer | None = None


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of a ledger partition."""

    records: dict[str, _Record]
    now: float


class LedgerState:
    """Records by team, caller and key; implements `PartitionState`."""

    def __init__(
        self,
        limits: LedgerLimits | None = None,
        safeguards: LedgerSafeguards | None = None,
    ) -> None:
        self._limits = limits or LedgerLimits()
        self._safeguards = safeguards or LedgerSafeguards()
        self._records: dict[str, _Record] = {}
        self._bytes = 0
        self._now = float(0)
        self._handlers: dict[type[Command], Callable[[Any], Outcome]] = {
            Begin: self._begin,
            Finish: self._finish,
            Abort: self._abort,
            Expire: self._expire,
        }

    def apply(self, command: Command) -> Outcome:
        """Apply one command."""
        self._advance_time(command.at)
        return self._handlers[type(command)](command)

    def snapshot(self) -> bytes:
        """Return all records."""
        return msgspec.msgpack.encode(_Snapshot(self._records, self._now))

    def restore(self, snapshot: bytes) -> None:
        """Replace all records."""
        state = decode_msgpack(snapshot, _Snapshot)
        self._records = state.records
        self._bytes = sum(
            _count_bytes(scope, record)
            for scope, record in state.records.items()
        )
        self._now = state.now

    def _begin(self, command: Begin) -> Outcome:
        """Grant a run or return the state of the key."""
        record = self._records.get(command.scope)
        if record is None:
            return self._begin_new(command)
        if record.state is RecordState.ABORTED:
            if record.attempt == command.attempt:
                # This `Begin` arrived after its attempt's `Abort`.
                return BeginOutcome(state=BeginState.ABANDONED)
            return self._grant(command)
        differs = record.digest != command.digest
        if differs and self._safeguards.compare_digest:
            return self._refuse_mismatch(record)
        return self._begin_known(command, record)

    def _begin_new(self, command: Begin) -> Outcome:
        """Grant an unknown key unless the partition is full."""
        size = len(command.scope) + len(command.digest) + _RECORD_OVERHEAD_BYTES
        if self._bytes + size > self._limits.partition_bytes:
            return BeginOutcome(state=BeginState.FULL)
        return self._grant(command)

    def _begin_known(self, command: Begin, record: _Record) -> Outcome:
        """Decide on a key that has a record."""
        safeguards = self._safeguards
        if record.state is RecordState.STARTED:
            if record.attempt == command.attempt or not safeguards.join:
                return self._grant(command)
            return BeginOutcome(
                state=BeginState.JOINED,
                attempt=record.attempt,
                entry=record.entry,
            )
        if record.state is RecordState.UNKNOWN:
            if not safeguards.keep_unknown:
                return self._grant(command)
            return BeginOutcome(state=BeginState.UNKNOWN)
        if not safeguards.keep_answer:
            return self._grant(command)
        if record.answer is None:
            return BeginOutcome(state=BeginState.ANSWER_NOT_KEPT)
        return BeginOutcome(state=BeginState.ANSWERED, answer=record.answer)

    def _refuse_mismatch(self, record: _Record) -> Outcome:
        """Refuse a different request with a known key.

        A record created by an `Abort` has no digest; the refusal then says
        that the outcome is unknown.
        """
        if not record.digest:
            return BeginOutcome(state=BeginState.UNKNOWN)
        return BeginOutcome(state=BeginState.CONFLICT)

    def _grant(self, command: Begin) -> Outcome:
        """Record the attempt as started and grant it."""
        self._put(
            command.scope,
            _Record(
                RecordState.STARTED,
                command.digest,
                command.attempt,
                command.entry,
                command.at,
            ),
        )
        return BeginOutcome(state=BeginState.GRANTED, attempt=command.attempt)

    def _finish(self, command: Finish) -> Outcome:
        """Store the answer, even if the outcome was recorded as unknown."""
        record = self._records.get(command.scope)
        if record is not None and record.attempt != command.attempt:
            return RecordOutcome(state=record.state)
        at = command.at if record is None else record.at
        answer = command.answer
        if answer is not None:
            answer = self._fit_answer(answer)
        self._put(
            command.scope,
            _Record(
                RecordState.ANSWERED,
                command.digest,
                command.attempt,
                command.entry,
                at,
                answer,
            ),
        )
        return RecordOutcome(state=RecordState.ANSWERED)

    def _abort(self, command: Abort) -> Outcome:
        """Release the key because its attempt has not run.

        An unknown key also gets a record: the attempt's `Begin` may arrive
        later and must not be granted, as the attempt will not run.
        """
        record = self._records.get(command.scope)
        if record is None:
            record = _Record(
                RecordState.ABORTED,
                '',
                command.attempt,
                InstanceId(''),
                command.at,
            )
        elif (
            record.attempt != command.attempt
            or record.state is RecordState.ANSWERED
        ):
            return RecordOutcome(state=record.state)
        state = RecordState.ABORTED
        self._put(command.scope, msgspec.structs.replace(record, state=state))
        return RecordOutcome(state=state)

    def _expire(self, command: Expire) -> Outcome:
        """Record the outcome of a started attempt as unknown."""
        record = self._records.get(command.scope)
        if record is None:
            return RecordOutcome(state=RecordState.MISSING)
        started = record.state is RecordState.STARTED
        if not started or record.attempt != command.attempt:
            return RecordOutcome(state=record.state)
        unknown = msgspec.structs.replace(record, state=RecordState.UNKNOWN)
        self._put(command.scope, unknown)
        return RecordOutcome(state=RecordState.UNKNOWN)

    def _fit_answer(self, answer: Answer) -> Answer | None:
        """Return the answer if it fits, else `None`."""
        size = len(answer.body)
        free = self._limits.partition_bytes - self._bytes
        if size > self._limits.answer_bytes or size > free:
            return None
        return answer

    def _put(self, scope: str, record: _Record) -> None:
        """Replace a record and update the byte count.

        A record with a new time moves to the end, because `_advance_time`
        expires records from the front.
        """
        old = self._records.get(scope)
        if old is not None:
            self._bytes -= _count_bytes(scope, old)
            if old.at != record.at:
                self._records.pop(scope)
        self._records[scope] = record
        self._bytes += _count_bytes(scope, record)

    def _advance_time(self, at: float) -> None:
        """Advance the time and expire keys, oldest first."""
        self._now = max(self._now, at)
        cutoff = self._now - self._limits.window
        while self._records:
            scope, record = next(iter(self._records.items()))
            if record.at > cutoff:
                return
            self._bytes -= _count_bytes(scope, record)
            self._records.pop(scope)


def make_ledger_states(
    partition: PartitionId,
    limits: LedgerLimits | None = None,
    safeguards: LedgerSafeguards | None = None,
) -> dict[type[Command], PartitionState]:
    """Return the ledger's state of one partition, by command type."""
    state = LedgerState(limits, safeguards)
    return dict.fromkeys((Begin, Finish, Abort, Expire), state)


def _count_bytes(scope: str, record: _Record) -> int:
    """Return the size of a record for the partition limit, in bytes."""
    size = len(scope) + len(record.digest) + _RECORD_OVERHEAD_BYTES
    if record.answer is not None:
        size += len(record.answer.body)
        size += sum(
            len(name) + len(text) for name, text in record.answer.headers
        )
    return size
