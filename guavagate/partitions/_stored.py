"""Routes commands to the primaries of partitions in the store."""

import random
from typing import Final

import msgspec

from guavagate.const import DEFAULT_PARTITIONS
from guavagate.exceptions import (
    LinkError,
    LinkRefusedError,
    NotAppliedError,
    OutcomeUnknownError,
)
from guavagate.helpers.decoding import decode_msgpack
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.partitions._hosting import (
    HostContext,
    PartitionHost,
    StatesFactory,
    make_id,
)
from guavagate.partitions._messages import Entry, Submit, SubmitReply, Verdict
from guavagate.partitions._record import find_partition
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state import Command, PartitionState, Result
from guavagate.runtime import Runtime

# Maximum duration of one attempt. A short limit lets a command to a dead
# primary reach the next one soon; command ids prevent a second application.
_ATTEMPT_SECONDS: Final = 0.4
_RETRY_SECONDS: Final = 0.05
# Instances with different member lists may redirect to each other in a loop,
# so each attempt after this many is delayed.
_MAX_IMMEDIATE_REDIRECTS: Final = 2
_STOP_LIMIT_SECONDS: Final = 10.0
_FINAL_VERDICTS: Final = frozenset(
    (Verdict.DONE, Verdict.INVALID, Verdict.FORGOTTEN, Verdict.REFUSED)
)


class OwnedPartition(msgspec.Struct, frozen=True):
    """A partition that an instance leads, as reported to operators."""

    partition: PartitionId
    epoch: Epoch


class StoredPartitions:
    """Partitions whose records are in the store; implements `Partitions`.

    Parameters
    ----------
    runtime
        Provides the clock, bus, store and members.
    make_states
        Returns the states of one partition by command type; every instance
        must register the same states in the same order.
    partitions
        Number of partitions; must be the same at every instance and never
        change.
    rng
        Source of jitter.
    """

    def __init__(
        self,
        runtime: Runtime,
        make_states: StatesFactory,
        *,
        partitions: int = DEFAULT_PARTITIONS,
        safeguards: Safeguards | None = None,
        rng: random.Random | None = None,
    ) -> None:
        source = rng or random.Random()
        self._context = HostContext(
            me=runtime.settings.id,
            clock=runtime.clock,
            bus=runtime.bus,
            store=runtime.store,
            list_alive=runtime.members.alive,
            safeguards=safeguards or Safeguards(),
            record_decision=runtime.decisions.record,
            rng=source,
            make_id=make_id if rng is None else lambda: _draw_id(source),
        )
        self._members = runtime.members
        self._host = PartitionHost(self._context, make_states, partitions)
        self._partitions = partitions
        self._hints: dict[PartitionId, InstanceId] = {}

    def start(self) -> None:
        """Register message handlers and start to manage partitions."""
        self._host.register()
        self._members.subscribe(self._host.refresh_owners)
        self._context.clock.spawn(self._host.run)

    def stop(self, limit: float = _STOP_LIMIT_SECONDS) -> bool:
        """Hand over all partitions; return whether all commands got a reply.

        Message handlers stay active, as callers may still be routed here.
        """
        return self._host.hand_over_all(limit)

    def submit(
        self,
        key: str,
        command: Command,
        outcome: type[Result],
        timeout: float,
    ) -> Result:
        """Apply the command and store it durably."""
        entry = self._make_entry(command)
        partition = find_partition(key, self._partitions)
        end = self._context.clock.now() + timeout
        raw = self._submit(partition, entry, end)
        return decode_msgpack(raw, outcome)

    def submit_here(
        self,
        key: str,
        epoch: Epoch,
        command: Command,
        outcome: type[Result],
    ) -> Result:
        """Apply the command here in this epoch, or not at all."""
        partition = find_partition(key, self._partitions)
        primary = self._host.primaries.get(partition)
        if primary is None or primary.epoch != epoch:
            raise NotAppliedError(
                f'partition {partition} is not held here in epoch {epoch}',
                'ask its present holder',
            )
        entry = self._make_entry(command)
        reply = primary.submit(entry, _ATTEMPT_SECONDS, repeated=False)
        maybe_applied = reply.verdict is Verdict.UNKNOWN
        raw = _get_outcome(reply, maybe_applied)
        return decode_msgpack(raw, outcome)

    def list_owned(self) -> list[OwnedPartition]:
        """Return the partitions that this instance leads."""
        return [
            OwnedPartition(partition, primary.epoch)
            for partition, primary in sorted(self._host.primaries.items())
            if not primary.closed
        ]

    def list_states(
        self, command: type[Command]
    ) -> list[tuple[Epoch, PartitionState]]:
        """Return the states that handle a command in partitions led here.

        They may include changes that are not yet durable. Use them to plan
        work, but not to reply to a requester.
        """
        return [
            (primary.epoch, primary.machine.find_state(command))
            for primary in self._host.primaries.values()
            if not primary.closed
        ]

    def _make_entry(self, command: Command) -> Entry:
        return Entry(
            self._context.make_id(),
            type(command).__name__,
            msgspec.msgpack.encode(command),
            command.at,
        )

    def _submit(
        self, partition: PartitionId, entry: Entry, end: float
    ) -> bytes:
        """Retry until there is a final reply or the time is up."""
        clock = self._context.clock
        maybe_applied = False
        attempts = 0
        while clock.now() < end:
            target = self._choose_target(partition, attempts)
            reply, maybe_handled = self._attempt(
                target, partition, entry, maybe_applied, end
            )
            maybe_applied = maybe_applied or maybe_handled
            if reply is not None and reply.verdict in _FINAL_VERDICTS:
                return _get_outcome(reply, maybe_applied)
            attempts += 1
            if (
                self._follow_redirect(partition, target, reply)
                and attempts <= _MAX_IMMEDIATE_REDIRECTS
            ):
                continue
            low, high = _RETRY_SECONDS, _RETRY_SECONDS * min(attempts + 1, 5)
            pause = self._context.rng.uniform(low, high)
            clock.sleep(min(pause, max(end - clock.now(), 0)))
        if maybe_applied:
            raise _make_unknown_error()
        raise NotAppliedError(
            f'partition {partition} has no primary that answers',
            'try again in a few seconds',
        )

    def _choose_target(
        self, partition: PartitionId, attempts: int
    ) -> InstanceId:
        """Return the reported holder or else the expected owner."""
        hint = self._hints.pop(partition, None)
        if hint and attempts:
            return hint
        return self._host.find_owner(partition) or self._context.me

    def _follow_redirect(
        self,
        partition: PartitionId,
        target: InstanceId,
        reply: SubmitReply | None,
    ) -> bool:
        """Record the reported holder; return whether to retry at once."""
        if reply is None or reply.holder in {'', target}:
            return False
        if self._members.get(reply.holder) is None:
            return False
        self._hints[partition] = reply.holder
        return reply.verdict is Verdict.MOVED

    def _attempt(
        self,
        target: InstanceId,
        partition: PartitionId,
        entry: Entry,
        repeated: bool,
        end: float,
    ) -> tuple[SubmitReply | None, bool]:
        """Try one instance; also return whether it may have applied it."""
        request = Submit(
            partition=partition,
            entry=entry,
            wait=min(end - self._context.clock.now(), _ATTEMPT_SECONDS),
            repeated=repeated,
        )
        try:
            reply = self._request(target, request)
        except LinkRefusedError:
            return None, False
        except LinkError:
            return None, True
        return reply, reply.verdict in {Verdict.DONE, Verdict.UNKNOWN}

    def _request(self, target: InstanceId, request: Submit) -> SubmitReply:
        """Send the request to a peer or handle it here."""
        if target == self._context.me:
            return self._host.submit(request)
        return self._context.bus.request(
            target, request, SubmitReply, request.wait
        )


def _get_outcome(reply: SubmitReply, maybe_applied: bool) -> bytes:
    """Return the outcome of a final reply or raise the matching error."""
    if reply.verdict is Verdict.DONE:
        return reply.outcome
    if reply.verdict is Verdict.FORGOTTEN or maybe_applied:
        raise _make_unknown_error()
    remedy = 'check releases and clocks of the instances'
    if reply.verdict is Verdict.REFUSED:
        remedy = 'try again when the object API answers'
    raise NotAppliedError(reply.problem, remedy)


def _make_unknown_error() -> OutcomeUnknownError:
    """Return the error for a command that may have been applied."""
    return OutcomeUnknownError(
        'the partition gave no outcome in time', 'ask again with the same key'
    )


def _draw_id(rng: random.Random) -> str:
    """Return an id that is reproducible from a seed."""
    return f'{rng.getrandbits(128):032x}'
