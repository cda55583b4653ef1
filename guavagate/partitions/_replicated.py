"""Replicated partitions over the runtime: routes commands to primaries."""

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
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.partitions._hosting import Hosting, StatesFactory
from guavagate.partitions._keeper import Keeper
from guavagate.partitions._link import Surroundings, make_id
from guavagate.partitions._messages import (
    Entry,
    Submit,
    SubmitReply,
    Verdict,
)
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._state import (
    Command,
    ReplicatedState,
    Result,
)
from guavagate.partitions._view import Member, View, find_partition
from guavagate.partitions._views import Views
from guavagate.runtime import Runtime

# A command asked of a primary that has just died is asked again after this,
# so that it meets the next one soon; being applied once is sure all the same.
_ATTEMPT: Final = 0.4
_PAUSE: Final = 0.05
_STOP_LIMIT: Final = 10.0
_FINAL: Final = (Verdict.DONE, Verdict.INVALID, Verdict.FORGOTTEN)


class ReplicatedPartitions:
    """Partitions whose copies are held by several instances; `Partitions`.

    Parameters
    ----------
    runtime
        Its clock, bus, store and members are used.
    make_states
        Makes the states of one partition, by the commands they take; every
        instance must register the same ones in the same order.
    partitions
        Number of partitions; the same at every instance, for ever.
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
        guards = safeguards or Safeguards()
        source = rng or random.Random()
        self._around = Surroundings(
            me=Member(runtime.settings.id, _make_boot(rng, guards)),
            clock=runtime.clock,
            bus=runtime.bus,
            alive=runtime.members.alive,
            find=runtime.members.get,
            safeguards=guards,
            decide=runtime.decisions.record,
            rng=source,
            make_id=make_id if rng is None else lambda: _draw_id(source),
        )
        views = Views(runtime.store, runtime.clock, guards)
        self._members = runtime.members
        self._hosting = Hosting(self._around, views, make_states)
        self._keeper = Keeper(self._hosting, partitions)
        self._partitions = partitions

    def start(self) -> None:
        """Answer peers and look after partitions, from now on."""
        self._hosting.register()
        self._members.subscribe(self._hosting.changed.set)
        self._around.clock.spawn(self._keeper.run)

    def stop(self, limit: float = _STOP_LIMIT) -> bool:
        """Hand over what is decided here; say whether all of it was.

        It goes on answering peers, since callers may still be routed here.
        """
        return self._keeper.hand_all_over(limit)

    def submit(
        self,
        key: str,
        command: Command,
        outcome: type[Result],
        timeout: float,
    ) -> Result:
        """Have the command applied and held by enough replicas."""
        entry = Entry(
            self._around.make_id(),
            type(command).__name__,
            msgspec.msgpack.encode(command),
            command.at,
        )
        partition = find_partition(key, self._partitions)
        end = self._around.clock.now() + timeout
        raw = self._submit(partition, entry, end)
        return msgspec.msgpack.decode(raw, type=outcome)

    def primary_of(self, key: str) -> tuple[InstanceId, Epoch] | None:
        """Return who decides for the key, as far as this instance knows."""
        view = self._hosting.views.get(find_partition(key, self._partitions))
        if view is None:
            return None
        return view.primary.instance, view.epoch

    def views(self) -> list[View]:
        """Return the views this instance knows, for operators."""
        return [view for _, view in sorted(self._hosting.views.items())]

    def decided_here(self) -> list[PartitionId]:
        """Return the partitions whose primary this instance is."""
        return sorted(self._hosting.primaries)

    def states_of(
        self, command: type[Command]
    ) -> list[tuple[Epoch, ReplicatedState]]:
        """Return the states that take a command, where this is the primary.

        They hold what has been applied here, which may not be held by enough
        replicas yet: good for planning work, not for answering anyone.
        """
        return [
            (primary.view.epoch, primary.replica.state_of(command))
            for primary in self._hosting.primaries.values()
        ]

    def _submit(
        self, partition: PartitionId, entry: Entry, end: float
    ) -> bytes:
        """Try until there is an outcome or the time is up."""
        clock = self._around.clock
        sent = False
        tries = 0
        epoch = self._epoch_of(partition)
        while clock.now() < end:
            reply, handled = self._try(partition, entry, sent, end, tries)
            sent = sent or handled
            if reply is not None and reply.verdict in _FINAL:
                return _conclude(reply, sent)
            tries += 1
            if self._epoch_of(partition) != epoch:
                # A new primary is known: ask it first, and without a pause.
                epoch = self._epoch_of(partition)
                tries = 0
                continue
            pause = self._around.jitter(_PAUSE, _PAUSE * min(tries + 1, 5))
            clock.sleep(min(pause, max(end - clock.now(), 0)))
        if sent:
            raise _make_unknown()
        raise NotAppliedError(
            f'partition {partition} has no primary that answers',
            'try again in a few seconds',
        )

    def _epoch_of(self, partition: PartitionId) -> Epoch:
        """Return the epoch of the view that this instance knows."""
        view = self._hosting.views.get(partition)
        return Epoch(0) if view is None else view.epoch

    def _try(
        self,
        partition: PartitionId,
        entry: Entry,
        repeated: bool,
        end: float,
        tries: int,
    ) -> tuple[SubmitReply | None, bool]:
        """Ask once; return the reply, and whether it may be applied."""
        view = self._hosting.views.get(partition)
        if view is None:
            self._hosting.refresh(partition)
            return None, False
        target = self._choose_target(view, tries)
        if target is None:
            self._hosting.refresh(partition)
            return None, False
        wait = min(end - self._around.clock.now(), _ATTEMPT)
        request = Submit(
            partition=partition,
            entry=entry,
            epoch=view.epoch,
            wait=wait,
            repeated=repeated,
        )
        reply, handled = self._ask(target, request)
        if reply is not None and reply.view is not None:
            self._hosting.learn(reply.view)
        if tries and tries % 4 == 0:
            self._hosting.refresh(partition)
        return reply, handled

    def _choose_target(self, view: View, tries: int) -> InstanceId | None:
        """Return the primary, or another member to learn the view from."""
        alive = [
            member.instance
            for member in view.members
            if self._around.is_alive(member.instance)
        ]
        if view.primary.instance in alive and tries % 2 == 0:
            return view.primary.instance
        return alive[tries % len(alive)] if alive else None

    def _ask(
        self, target: InstanceId, request: Submit
    ) -> tuple[SubmitReply | None, bool]:
        """Ask one instance; return whether it may have been applied."""
        try:
            reply = self._request(target, request)
        except LinkRefusedError:
            return None, False
        except LinkError:
            return None, True
        return reply, reply.verdict in {Verdict.DONE, Verdict.UNKNOWN}

    def _request(self, target: InstanceId, request: Submit) -> SubmitReply:
        """Ask this instance or another."""
        if target == self._around.me.instance:
            return self._hosting.submit(request)
        return self._around.bus.request(
            target, request, SubmitReply, request.wait
        )


def _conclude(reply: SubmitReply, sent: bool) -> bytes:
    """Return the outcome of a final reply, or raise what it means."""
    if reply.verdict is Verdict.DONE:
        return reply.outcome
    if reply.verdict is Verdict.FORGOTTEN or sent:
        raise _make_unknown()
    raise NotAppliedError(
        reply.problem, 'check releases and clocks of the instances'
    )


def _make_unknown() -> OutcomeUnknownError:
    """Make the error of a command that may have been applied."""
    return OutcomeUnknownError(
        'the partition gave no outcome in time', 'ask again with the same key'
    )


def _make_boot(rng: random.Random | None, guards: Safeguards) -> str:
    """Return what tells this process from earlier ones of its id."""
    if not guards.boot_ids:
        return 'any'
    return make_id()[:8] if rng is None else _draw_id(rng)[:8]


def _draw_id(rng: random.Random) -> str:
    """Return an id that a seed replays."""
    return f'{rng.getrandbits(128):032x}'
