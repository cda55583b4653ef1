"""What one instance holds of all partitions, and how it answers peers."""

from collections.abc import Callable
from typing import Any, Final

import msgspec
from gevent.event import Event

from guavagate.exceptions import (
    LinkError,
    LinkRefusedError,
    StoreError,
)
from guavagate.links import Message
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.partitions import _messages as msg
from guavagate.partitions._link import Surroundings
from guavagate.partitions._primary import Primary
from guavagate.partitions._replica import Applied, Replica, States
from guavagate.partitions._state import CopiesLost
from guavagate.partitions._view import Position, View
from guavagate.partitions._views import Views
from guavagate.settings import PeerSettings

StatesFactory = Callable[[PartitionId], States]

# A paused process that wakes up answers nothing by its old views until it
# has read them again: if all copies of a partition were paused together, the
# others may have taken them for lost and have begun anew.
PAUSE_LIMIT: Final = 5.0
_CLOCK_SKEW: Final = 60.0
_REFRESH_PAUSE: Final = 0.5
_LEAVING_KEPT: Final = 60.0


class Hosting:
    """The views known, the copies held, the partitions decided here.

    Attributes
    ----------
    changed
        Set when the keeper should look again.
    """

    def __init__(
        self,
        around: Surroundings,
        store: Views,
        make_states: StatesFactory,
    ) -> None:
        self.around = around
        self.store = store
        self.views: dict[PartitionId, View] = {}
        self.replicas: dict[PartitionId, Replica] = {}
        self.primaries: dict[PartitionId, Primary] = {}
        self.changed = Event()
        self.beat = around.clock.now()
        self._leaving: dict[InstanceId, float] = {}
        self._make_states = make_states
        self._refreshed: dict[PartitionId, float] = {}

    def register(self) -> None:
        """Answer peers' messages from now on."""
        bus = self.around.bus
        bus.register(msg.Submit, self._on_submit)
        bus.register(msg.Append, self._on_entries)
        bus.register(msg.Install, self._on_entries)
        bus.register(msg.Seal, self._on_seal)
        bus.register(msg.Announce, self._on_announce)
        bus.register(msg.AskView, self._on_ask_view)
        bus.register(msg.Leave, self._on_leave)

    def candidates(self) -> list[PeerSettings]:
        """Return the instances that may be given partitions."""
        now = self.around.clock.now()
        self._leaving = {
            instance: at
            for instance, at in self._leaving.items()
            if now - at < _LEAVING_KEPT
        }
        alive = self.around.alive()
        return [peer for peer in alive if peer.id not in self._leaving]

    def leave(self) -> None:
        """Tell everyone that this instance is being stopped."""
        me = self.around.me.instance
        self._leaving[me] = self.around.clock.now()
        for peer in self.around.alive():
            if peer.id != me:
                self.around.bus.send(peer.id, msg.Leave())

    def learn(self, view: View) -> None:
        """Take in a view that is in force; an older one changes nothing."""
        known = self.views.get(view.partition)
        if known is None or known.epoch < view.epoch:
            self.views[view.partition] = view
            self._retire(view)
        self.activate(view.partition)
        self.changed.set()

    def activate(self, partition: PartitionId) -> None:
        """Begin to decide, if the view says so and the copy allows it."""
        view = self.views[partition]
        if view.primary != self.around.me or partition in self.primaries:
            return
        replica = self.replicas.get(partition)
        if replica is None and view.base == Position():
            replica = self.hold(partition)
        if replica is None or replica.promised > view.epoch:
            return
        if replica.position < view.base:
            return
        self._begin(replica, view)

    def hold(self, partition: PartitionId) -> Replica:
        """Return this instance's copy; an empty one if it has none."""
        replica = self.replicas.get(partition)
        if replica is None:
            replica = Replica(
                partition,
                self.around.me,
                self._make_states(partition),
                self.around.safeguards,
            )
            self.replicas[partition] = replica
        replica.touched = self.around.clock.now()
        return replica

    def drop(self, partition: PartitionId) -> None:
        """Forget this instance's copy."""
        self.replicas.pop(partition, None)

    def step_down(self, partition: PartitionId) -> None:
        """Decide no more for a partition."""
        primary = self.primaries.pop(partition, None)
        if primary is not None:
            primary.close()
        self.changed.set()

    def refresh(self, partition: PartitionId) -> None:
        """Read a view again, from the store or else from peers."""
        now = self.around.clock.now()
        if now - self._refreshed.get(partition, 0) < _REFRESH_PAUSE:
            return
        self._refreshed[partition] = now
        try:
            view, _ = self.store.read(partition)
        except StoreError:
            self._ask_peers(partition)
            return
        if view is not None:
            self.learn(view)

    def seal(self, request: msg.Seal) -> msg.ReplicaReply:
        """Promise, if this very process is the member that is asked."""
        replica = self.replicas.get(request.partition)
        if not self.around.safeguards.boot_ids:
            replica = self.hold(request.partition)
        if replica is None or not self._is_me(request.boot):
            return msg.ReplicaReply(
                accepted=False,
                boot=self.around.me.boot,
                promised=Epoch(0),
                held=False,
            )
        reply = replica.seal(request.epoch)
        self._yield_to(request.partition, replica.promised)
        return reply

    def submit(self, request: msg.Submit) -> msg.SubmitReply:
        """Carry out a command here, or say who does."""
        known = self.views.get(request.partition)
        if known is None or known.epoch < request.epoch:
            self.refresh(request.partition)
        if self._has_slept():
            return msg.SubmitReply(verdict=msg.Verdict.MOVED)
        end = self.around.clock.now() + request.wait
        primary = self.primaries.get(request.partition)
        if primary is not None:
            primary.wait_thawed(request.wait)
        if primary is None or primary.closed or primary.frozen:
            return self._point_on(request.partition)
        problem = self._find_problem(primary, request)
        if problem is not None:
            return problem
        applied = primary.take(request.entry)
        return self._await(primary, applied, end - self.around.clock.now())

    def _begin(self, replica: Replica, view: View) -> None:
        """Start to decide for a partition."""
        partition = view.partition
        primary = Primary(
            replica,
            view,
            self.around,
            lambda: self.step_down(partition),
        )
        self.primaries[partition] = primary
        primary.start()
        if view.lost_at is not None:
            lost = CopiesLost(at=view.lost_at)
            primary.take(
                msg.Entry(
                    f'lost-{partition}-{view.lost_at}',
                    CopiesLost.__name__,
                    msgspec.msgpack.encode(lost),
                    view.lost_at,
                )
            )

    def _retire(self, view: View) -> None:
        """Stop deciding by an older view than this."""
        primary = self.primaries.get(view.partition)
        if primary is None or primary.view.epoch >= view.epoch:
            return
        pending = primary.pending
        mine = pending is not None and pending.change == view.change
        # The view this primary is writing has come round by a peer before
        # the store's answer: it goes on in it when the answer is settled.
        if mine and view.primary == self.around.me:
            return
        self.step_down(view.partition)

    def _yield_to(self, partition: PartitionId, epoch: Epoch) -> None:
        """Stop deciding when this copy has promised a higher epoch."""
        primary = self.primaries.get(partition)
        if primary is None or not self.around.safeguards.fence:
            return
        if primary.view.epoch < epoch:
            self.step_down(partition)

    def _find_problem(
        self, primary: Primary, request: msg.Submit
    ) -> msg.SubmitReply | None:
        """Say why a command must not be applied, if so."""
        entry, replica = request.entry, primary.replica
        if not replica.understands(entry.kind):
            return _invalid(f'no state takes {entry.kind}')
        if abs(self.around.clock.wall() - entry.at) > _CLOCK_SKEW:
            return _invalid(f'its clock is {_CLOCK_SKEW:.0f}s off')
        if not request.repeated or replica.find(entry.command) is not None:
            return None
        if replica.may_have_forgotten(entry.at):
            return msg.SubmitReply(verdict=msg.Verdict.FORGOTTEN)
        return None

    def _await(
        self, primary: Primary, applied: Applied, wait: float
    ) -> msg.SubmitReply:
        """Answer once enough replicas hold the command."""
        if primary.wait(applied.seq, wait):
            return msg.SubmitReply(
                verdict=msg.Verdict.DONE, outcome=applied.outcome
            )
        return msg.SubmitReply(
            verdict=msg.Verdict.UNKNOWN,
            view=self.views.get(primary.view.partition),
        )

    def _point_on(self, partition: PartitionId) -> msg.SubmitReply:
        """Say which view this instance knows."""
        return msg.SubmitReply(
            verdict=msg.Verdict.MOVED, view=self.views.get(partition)
        )

    def _on_submit(self, source: InstanceId, request: Any) -> Message:
        """Answer a `Submit`."""
        return self.submit(request)

    def _on_entries(self, source: InstanceId, request: Any) -> Message:
        """Answer an `Append` or `Install`."""
        if self._has_slept():
            raise LinkRefusedError(
                'this instance was paused', 'ask again in a second'
            )
        if not self._is_me(request.boot):
            return msg.ReplicaReply(
                accepted=False,
                boot=self.around.me.boot,
                promised=Epoch(0),
                held=False,
            )
        replica = self.hold(request.partition)
        if isinstance(request, msg.Append):
            reply = replica.append(request)
        else:
            reply = replica.install(request)
        self._yield_to(request.partition, replica.promised)
        if request.view is not None:
            self.learn(request.view)
        return reply

    def _on_seal(self, source: InstanceId, request: Any) -> Message:
        """Answer a `Seal`."""
        return self.seal(request)

    def _on_announce(self, source: InstanceId, request: Any) -> Message:
        """Take in an announced view."""
        self.learn(request.view)
        return msg.ViewReply(view=self.views[request.view.partition])

    def _on_ask_view(self, source: InstanceId, request: Any) -> Message:
        """Answer an `AskView`."""
        return msg.ViewReply(
            view=self.views.get(request.partition),
            fresh=not self._has_slept(),
        )

    def _on_leave(self, source: InstanceId, request: Any) -> None:
        """Give a peer nothing more."""
        self._leaving[source] = self.around.clock.now()
        self.changed.set()

    def _ask_peers(self, partition: PartitionId) -> None:
        """Learn a view from a few peers while the store is down."""
        peers = [one.id for one in self.around.alive()]
        if self.around.me.instance in peers:
            peers.remove(self.around.me.instance)
        self.around.rng.shuffle(peers)
        for peer in peers[:2]:
            request = msg.AskView(partition=partition)
            try:
                reply = self.around.bus.request(
                    peer, request, msg.ViewReply, _REFRESH_PAUSE
                )
            except LinkError:
                continue
            if reply.view is not None:
                self.learn(reply.view)

    def _is_me(self, boot: str) -> bool:
        """Say whether a message is meant for this very process."""
        if not self.around.safeguards.boot_ids:
            return True
        return boot in {'', self.around.me.boot}

    def _has_slept(self) -> bool:
        """Say whether this process was paused and has not caught up."""
        return self.around.clock.now() - self.beat > PAUSE_LIMIT


def _invalid(problem: str) -> msg.SubmitReply:
    """Refuse a command for good."""
    return msg.SubmitReply(verdict=msg.Verdict.INVALID, problem=problem)
