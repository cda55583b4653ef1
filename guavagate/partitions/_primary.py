"""The primary of a partition in one epoch: replicates, counts, answers."""

from collections.abc import Callable, Iterable
from typing import Final

from gevent.event import Event

from guavagate.models import Epoch, InstanceId
from guavagate.partitions._link import Surroundings
from guavagate.partitions._messages import Append, Entry, Install, ReplicaReply
from guavagate.partitions._replica import Applied, Replica
from guavagate.partitions._view import Member, Position, View, quorum

_REPLY_LIMIT: Final = 0.5
_RETRY: Final = 0.1


class Primary:
    """Decides for a partition while its epoch lasts.

    Parameters
    ----------
    superseded
        Called once when a replica has promised a higher epoch.

    Attributes
    ----------
    closed
        It answers nothing any more.
    frozen
        Set while it takes no new commands, because it is handing over.
    outbid
        The highest epoch that a refusing member has promised, if any.
    pending
        The view being written. It counts beside the present one until the
        store has answered, as it may be in force already.
    """

    def __init__(
        self,
        replica: Replica,
        view: View,
        around: Surroundings,
        superseded: Callable[[], None],
    ) -> None:
        self.replica = replica
        self.view = view
        self.closed = False
        self.frozen = False
        self.pending: View | None = None
        self.outbid = Epoch(0)
        self.boots: dict[InstanceId, str] = {}
        self._refusing: dict[Member, None] = {}
        self._around = around
        self._superseded = superseded
        self._held: dict[Member, int] = {}
        self._positions: dict[Member, Position] = {}
        self._pumping: set[Member] = set()
        self._waiters: list[tuple[int, Event]] = []
        self._thawed = Event()

    def start(self) -> None:
        """Enter the epoch and bring the backups up to it."""
        before = self.replica.position
        self.replica.enter(self.view.epoch)
        for member in self.view.members[1:]:
            self._positions[member] = before
        self.replicate()

    def take(self, entry: Entry) -> Applied:
        """Apply a command, or find what its earlier attempt gave."""
        known = self.replica.find(entry.command)
        if known is not None:
            return known
        applied = self.replica.apply(entry)
        self.replicate()
        return applied

    def wait(self, seq: int, timeout: float) -> bool:
        """Wait until enough replicas hold an entry; say whether they do."""
        if self.is_held(seq):
            return not self.closed
        woken = Event()
        self._waiters.append((seq, woken))
        self._bounded(woken, timeout)
        return self.is_held(seq) and not self.closed

    def is_held(self, seq: int) -> bool:
        """Say whether a majority of each view in question holds an entry."""
        if not self._around.safeguards.majority:
            return True
        views = [self.view]
        if self.pending is not None and self._around.safeguards.joint:
            views.append(self.pending)
        return all(self._count(view, seq) for view in views)

    def holds(self, member: Member, seq: int) -> bool:
        """Say whether a replica holds an entry in this epoch."""
        return self._held.get(member, -1) >= seq

    def replicate(self, members: Iterable[Member] | None = None) -> None:
        """Start to bring replicas up, where that is not under way."""
        if members is None:
            members = self._backups()
        for member in members:
            lags = not self.holds(member, self.replica.position.seq)
            if member in self._refusing:
                continue
            if lags and member not in self._pumping and not self.closed:
                self._pumping.add(member)
                self._around.clock.spawn(self._pump, member)

    def prepare(self, instance: InstanceId, limit: float) -> Member | None:
        """Bring up an instance that is no member yet; return it as one."""
        learner = Member(instance, '')
        end = self._around.clock.now() + limit
        while not self.closed and self._around.clock.now() < end:
            self._push(learner)
            boot = self.boots.get(instance, '')
            member = Member(instance, boot)
            if boot and self.holds(member, self.replica.position.seq):
                return member
            self._around.clock.sleep(_RETRY / 10)
        return None

    def wait_thawed(self, timeout: float) -> None:
        """Wait while it is handing over."""
        if self.frozen and not self.closed:
            self._bounded(self._thawed, timeout)

    def find_restarted(self) -> list[InstanceId]:
        """Return the members that have been started again since."""
        return [
            member.instance
            for member in self.view.members
            if self.boots.get(member.instance, member.boot) != member.boot
        ]

    def freeze(self) -> None:
        """Take no new commands."""
        self.frozen = True
        self._thawed.clear()

    def thaw(self) -> None:
        """Take commands again, or tell those waiting that it is over."""
        self.frozen = False
        self._thawed.set()
        self._wake()

    def advance(self, view: View) -> None:
        """Go on in a view that this primary has itself put in force."""
        before = self.replica.position
        self.pending = None
        self.outbid = Epoch(0)
        self._refusing.clear()
        self.view = view
        self.replica.enter(view.epoch)
        self._positions = {
            member: Position(before.synced, min(held, before.seq))
            for member, held in self._held.items()
        }
        self._held.clear()
        self.thaw()
        self.replicate()

    def close(self) -> None:
        """Answer nothing from now on."""
        self.closed = True
        self.thaw()

    def _backups(self) -> list[Member]:
        """Return all replicas that count now."""
        views = (
            [self.view]
            if self.pending is None
            else [
                self.view,
                self.pending,
            ]
        )
        found = {member: None for view in views for member in view.members}
        found.pop(self.replica.me, None)
        return list(found)

    def _count(self, view: View, seq: int) -> bool:
        """Say whether a majority of one view holds an entry."""
        holders = [
            member
            for member in view.members
            if member == self.replica.me or self.holds(member, seq)
        ]
        return len(holders) >= quorum(len(view.members))

    def _pump(self, member: Member) -> None:
        """Send until the replica holds all, or is gone."""
        try:
            while not self.closed and not self.holds(
                member, self.replica.position.seq
            ):
                if not self._push(member) and not self._wait_for(member):
                    return
        finally:
            self._pumping.discard(member)

    def _wait_for(self, member: Member) -> bool:
        """Wait before another try; say whether to try at all."""
        if member in self._refusing:
            return False
        if not self._around.is_alive(member.instance):
            return False
        self._around.clock.sleep(self._around.jitter(_RETRY, 2 * _RETRY))
        return True

    def _push(self, member: Member) -> bool:
        """Send once what the replica lacks; say whether it came on."""
        epoch = self.view.epoch
        first = member not in self._held
        view = self.view if first else None
        held = self._positions.get(member, self.replica.position)
        message: Append | Install | None
        message = self.replica.prepare_append(held, member.boot, view)
        if message is None:
            message = self.replica.prepare_install(member.boot, view)
        reply = self._around.ask_replica(member.instance, message, _REPLY_LIMIT)
        if self.closed or epoch != self.view.epoch:
            return not self.closed
        if reply is None:
            return False
        return self._learn(member, reply)

    def _learn(self, member: Member, reply: ReplicaReply) -> bool:
        """Take in a replica's reply; say whether it came on."""
        self.boots[member.instance] = reply.boot
        if self._around.safeguards.fence and reply.promised > self.view.epoch:
            self._yield_to(member, reply.promised)
            return False
        if member.boot not in {reply.boot, ''}:
            return False
        known = self._positions.get(member)
        place = reply.position if reply.held else Position(Epoch(-1), 0)
        self._positions[member] = place
        if reply.position.synced == self.view.epoch and reply.accepted:
            named = Member(member.instance, reply.boot)
            held = max(self._held.get(named, -1), reply.position.seq)
            self._positions[named] = place
            self._held[named] = held
            self._wake()
            return True
        return place != known

    def _yield_to(self, member: Member, promised: Epoch) -> None:
        """Go on without a member that has been sealed, while one can.

        One member alone may have sealed itself because it hears nobody. When
        no majority is left, others are taking over and this epoch is over.
        """
        self.outbid = max(self.outbid, promised)
        self._refusing[member] = None
        views = [self.view, self.pending or self.view]
        for view in views:
            left = [one for one in view.members if one not in self._refusing]
            if len(left) < quorum(len(view.members)):
                self.replica.promised = max(self.outbid, self.replica.promised)
                self.close()
                self._superseded()
                return

    def _wake(self) -> None:
        """Wake those whose entry is held, or all when it is over."""
        waiting: list[tuple[int, Event]] = []
        for seq, woken in self._waiters:
            if self.closed or self.is_held(seq):
                woken.set()
            else:
                waiting.append((seq, woken))
        self._waiters = waiting

    def _bounded(self, event: Event, timeout: float) -> None:
        """Wait for an event at most so long."""
        try:
            with self._around.clock.timeout(timeout, TimeoutError):
                event.wait()
        except TimeoutError:
            return
