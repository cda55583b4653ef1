"""Takes a partition over from a primary that is gone.

Enough members of the old view are sealed first, so that it can answer
nothing any more; the one that holds the most becomes the primary.
"""

from typing import Final

from gevent.queue import Queue

from guavagate.exceptions import StoreError
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.partitions import _messages as msg
from guavagate.partitions._hosting import Hosting
from guavagate.partitions._view import (
    Member,
    Position,
    View,
    seal_quorum,
)

_SEAL_LIMIT: Final = 0.5
_WRITE_LIMIT: Final = 3.0
_ANNOUNCE_LIMIT: Final = 0.5

# Copies that don't answer may be of paused processes. For so long the
# partition is refused rather than begun anew without what they hold.
LOST_AFTER: Final = 15.0
_FLEET_KEPT: Final = 120.0

_Replies = dict[Member, msg.ReplicaReply]


class Takeover:
    """Takes partitions over; remembers since when copies are missing."""

    def __init__(self, hosting: Hosting) -> None:
        self._hosting = hosting
        self._around = hosting.around
        self._short_since: dict[tuple[PartitionId, Epoch], float] = {}
        self._fleet: dict[InstanceId, float] = {}

    def note_fleet(self) -> None:
        """Remember who has been alive of late."""
        now = self._around.clock.now()
        for peer in self._around.alive():
            self._fleet[peer.id] = now
        self._fleet = {
            instance: seen
            for instance, seen in self._fleet.items()
            if now - seen < _FLEET_KEPT
        }

    def bootstrap(self, partition: PartitionId) -> None:
        """Create the first view of a partition, held here alone."""
        view, version = self._hosting.store.read(partition)
        if view is None:
            view = self._hosting.store.replace(
                View(
                    partition=partition,
                    epoch=Epoch(1),
                    members=(self._around.me,),
                    change=self._around.make_id(),
                ),
                version,
                _WRITE_LIMIT,
            )
        if view is not None:
            self._hosting.learn(view)

    def run(self, partition: PartitionId) -> str:
        """Try once; return what came of it, for the log."""
        try:
            view, version = self._hosting.store.read(partition)
        except StoreError:
            return 'the object API is down, so no view can be agreed'
        if view is None:
            return 'there is no view'
        self._hosting.learn(view)
        if not self.is_needed(view):
            return 'another took it over'
        replies = self._seal(view)
        new = self._choose(view, replies)
        if new is None:
            return 'too few copies answer'
        agreed = self._hosting.store.replace(new, version, _WRITE_LIMIT)
        if agreed is None:
            return 'the object API did not answer'
        self._hosting.learn(agreed)
        if agreed.change != new.change:
            return 'another took it over'
        announce(self._hosting, agreed, view)
        return 'taken over'

    def is_needed(self, view: View) -> bool:
        """Say whether a view's primary is gone, or this one can't serve."""
        if view.primary.instance == self._around.me.instance:
            return view.partition not in self._hosting.primaries
        return not self._around.is_alive(view.primary.instance)

    def _seal(self, view: View) -> _Replies:
        """Seal the members; try once more above a promise they gave."""
        epoch = Epoch(view.epoch + 1)
        replies = self._ask_all(view, epoch)
        highest = max(
            (one.promised for one in replies.values()), default=Epoch(0)
        )
        if all(one.accepted or not one.held for one in replies.values()):
            return replies
        return self._ask_all(view, Epoch(max(highest, epoch) + 1))

    def _ask_all(self, view: View, epoch: Epoch) -> _Replies:
        """Ask all members at once; wait for those that seem alive."""
        replies: _Replies = {}
        queue: Queue[tuple[Member, msg.ReplicaReply | None]] = Queue()

        def ask(member: Member) -> None:
            request = msg.Seal(
                partition=view.partition, epoch=epoch, boot=member.boot
            )
            if member == self._around.me:
                queue.put((member, self._hosting.seal(request)))
                return
            reply = self._around.ask_replica(
                member.instance, request, _SEAL_LIMIT
            )
            queue.put((member, reply))

        for member in view.members:
            self._around.clock.spawn(ask, member)
        waiting = {
            member
            for member in view.members
            if self._around.is_alive(member.instance)
        }
        for _ in view.members:
            if not waiting and self._are_enough(view, replies):
                break
            member, reply = queue.get()
            waiting.discard(member)
            if reply is not None:
                replies[member] = reply
        return replies

    def _are_enough(self, view: View, replies: _Replies) -> bool:
        """Say whether every majority of the view has been met."""
        sealed = [one for one in replies.values() if one.accepted and one.held]
        if not self._around.safeguards.enough_sealed:
            return bool(sealed)
        return len(sealed) >= seal_quorum(len(view.members))

    def _choose(self, view: View, replies: _Replies) -> View | None:
        """Make the next view from what the sealed members hold."""
        sealed = {
            member: reply
            for member, reply in replies.items()
            if reply.accepted and reply.held
        }
        if not self._are_enough(view, replies):
            return self._give_up_copies(view, replies, sealed)
        best = self._find_best(sealed)
        # Of two members one sealed suffices and holds all that was ever
        # answered; of three the others stay until they have been replaced,
        # since the second sealed one may lack what the best one holds.
        others: list[Member] = []
        if len(view.members) > 2:
            others = [one for one in view.members if one != best]
        return self._make(view, (best, *others), sealed[best], view.lost_at)

    def _give_up_copies(
        self, view: View, replies: _Replies, sealed: _Replies
    ) -> View | None:
        """Begin anew when the missing copies stay away."""
        now = self._around.clock.now()
        # By epoch: copies of a new view have their own time to come back,
        # however long those of an older one were missed.
        place = view.partition, view.epoch
        since = self._short_since.setdefault(place, now)
        missing = [
            member
            for member in view.members
            if member not in sealed and not self._is_gone(member, replies)
        ]
        if missing or now - since < LOST_AFTER or not self._sees_most():
            return None
        lost_at = None
        if self._around.safeguards.mark_lost:
            lost_at = self._around.clock.wall()
        if sealed:
            best = self._find_best(sealed)
            return self._make(view, (best,), sealed[best], lost_at)
        self._hosting.drop(view.partition)
        return self._make(view, (self._around.me,), None, lost_at)

    def _sees_most(self) -> bool:
        """Say whether this instance is on the larger side of a split.

        The missing copies may be alive on the other side and answer there.
        Of two equal sides the one with the first instance goes on.
        """
        alive = {peer.id for peer in self._around.alive()}
        share = 2 * len(alive) - len(self._fleet)
        return share > 0 or (share == 0 and min(self._fleet) in alive)

    def _is_gone(self, member: Member, replies: _Replies) -> bool:
        """Say whether a copy is gone, as far as one can tell."""
        reply = replies.get(member)
        if reply is not None:
            return not reply.held or reply.boot != member.boot
        return not self._around.is_alive(member.instance)

    def _find_best(self, sealed: _Replies) -> Member:
        """Return the member that holds the most."""
        order = sorted(sealed, key=lambda member: sealed[member].position)
        return order[-1 if self._around.safeguards.most_complete else 0]

    def _make(
        self,
        view: View,
        members: tuple[Member, ...],
        best: msg.ReplicaReply | None,
        lost_at: float | None,
    ) -> View:
        """Make the next view."""
        epoch = Epoch(view.epoch + 1)
        if best is not None:
            epoch = max(epoch, best.promised)
        return View(
            partition=view.partition,
            epoch=epoch,
            members=members,
            change=self._around.make_id(),
            base=Position() if best is None else best.position,
            lost_at=lost_at,
        )


def announce(hosting: Hosting, view: View, before: View) -> None:
    """Tell those concerned of a view; others learn it when they ask."""
    around = hosting.around
    told = {
        member.instance: None for member in (*view.members, *before.members)
    }
    told.pop(around.me.instance, None)
    for instance in told:
        around.bus.send(instance, msg.Announce(view=view))
