"""Watches the partitions of one instance and starts what they need."""

import logging
from collections.abc import Callable
from typing import Any, Final

from guavagate.events import partitions as log
from guavagate.events import write
from guavagate.exceptions import GuavagateError, StoreError
from guavagate.models import PartitionId
from guavagate.partitions._hosting import PAUSE_LIMIT, Hosting
from guavagate.partitions._plan import Plan, plan_change
from guavagate.partitions._primary import Primary
from guavagate.partitions._regroup import change_view
from guavagate.partitions._takeover import Takeover
from guavagate.partitions._view import View, choose_instances, rank

_LOGGER = logging.getLogger(__name__)
_TICK: Final = 1.0
# One candidate after the other, so that they don't all seal and write; the
# first one is normally done before the second one's turn.
_TURN: Final = 0.4
_CANDIDATES: Final = 5
_RETRY_MIN: Final = 0.3
_RETRY_MAX: Final = 5.0
_REPAIR_SPREAD: Final = 2.0
_REFRESH_ALL: Final = 300.0
_REPLICA_KEPT: Final = 60.0

# Moves that only balance are bounded at each instance, so that a fleet that
# is being replaced spends the store's writes on repairs.
MOVES_PER_MINUTE: Final = 10
_REPAIRS_AT_ONCE: Final = 4


class Keeper:
    """Decides, at each change and each tick, what a partition needs."""

    def __init__(self, hosting: Hosting, partitions: int) -> None:
        self._hosting = hosting
        self._around = hosting.around
        self._takeover = Takeover(hosting)
        self._partitions = partitions
        self._due: dict[PartitionId, float] = {}
        self._tries: dict[PartitionId, int] = {}
        self._busy: set[PartitionId] = set()
        self._moves: list[float] = []
        self._stopping = False
        self._refreshed = float(0)

    def run(self) -> None:
        """Look after the partitions until killed."""
        self._load()
        while True:
            self._catch_up()
            self._takeover.note_fleet()
            self._hosting.changed.clear()
            if not self._stopping:
                self._look_at_all()
            self._wait()

    def hand_all_over(self, limit: float) -> bool:
        """Give all that is held here to others; say whether that is done."""
        self._stopping = True
        self._hosting.leave()
        end = self._around.clock.now() + limit
        while self._is_needed() and self._around.clock.now() < end:
            for partition in list(self._hosting.primaries):
                self._start(partition, self._hand_over, partition)
            self._around.clock.sleep(0.02)
        return not self._hosting.primaries

    def _is_needed(self) -> bool:
        """Say whether some view still names this process."""
        return bool(self._hosting.primaries) or any(
            self._around.me in view.members
            for view in self._hosting.views.values()
        )

    def _wait(self) -> None:
        """Wait for a change, the next thing due or the next tick."""
        now = self._around.clock.now()
        pending = [due - now for due in self._due.values() if due > now]
        wait = min([_TICK, *pending])
        try:
            with self._around.clock.timeout(wait, TimeoutError):
                self._hosting.changed.wait()
        except TimeoutError:
            return

    def _load(self) -> None:
        """Read all views once, or leave it to the first look."""
        try:
            views = self._hosting.store.read_all()
        except StoreError:
            return
        self._refreshed = self._around.clock.now()
        for view in views:
            self._hosting.learn(view)

    def _catch_up(self) -> None:
        """Note that this process runs; read the views after a pause."""
        now = self._around.clock.now()
        if now - self._hosting.beat > PAUSE_LIMIT:
            write(_LOGGER, log.WOKE, pause=now - self._hosting.beat)
            try:
                views = self._hosting.store.read_all()
            except StoreError:
                return
            for view in views:
                self._hosting.learn(view)
        self._hosting.beat = self._around.clock.now()
        spread = self._around.jitter(_REFRESH_ALL / 2, _REFRESH_ALL)
        if now - self._refreshed > spread:
            self._around.clock.spawn(self._load)
            self._refreshed = now

    def _look_at_all(self) -> None:
        """Start what any partition needs."""
        for partition in range(self._partitions):
            self._look_at(PartitionId(partition))

    def _look_at(self, partition: PartitionId) -> None:
        """Start what a partition needs, when it is due."""
        if partition in self._busy:
            return
        view = self._hosting.views.get(partition)
        primary = self._hosting.primaries.get(partition)
        if primary is not None:
            self._look_after(primary)
            return
        if view is None:
            self._when_due(partition, self._turn(partition, None), None)
        elif self._takeover.is_needed(view):
            self._when_due(partition, self._turn(partition, view), view)
        else:
            self._due.pop(partition, None)
            self._tries.pop(partition, None)
            self._sweep(partition, view)

    def _turn(self, partition: PartitionId, view: View | None) -> float | None:
        """Return the seconds before this instance may act, if it may."""
        me = self._around.me.instance
        alive = [peer.id for peer in self._around.alive()]
        if view is None:
            order = rank(partition, alive)
        else:
            if view.primary.instance == me:
                return self._around.jitter(0, _TURN)
            holders = [one.instance for one in view.members]
            order = [one for one in holders if one in alive]
            order.extend(
                one for one in rank(partition, alive) if one not in order
            )
        if me not in order[:_CANDIDATES]:
            return None
        late = _TICK if view is None else 0
        return order.index(me) * _TURN + late

    def _when_due(
        self, partition: PartitionId, turn: float | None, view: View | None
    ) -> None:
        """Take a partition over, or create it, when it is our turn."""
        if turn is None:
            return
        now = self._around.clock.now()
        due = self._due.setdefault(partition, now + turn)
        if now >= due:
            self._start(partition, self._take_over, partition, view)

    def _take_over(self, partition: PartitionId, view: View | None) -> None:
        """Take over or create; before, note when to try again."""
        tries = self._tries.get(partition, 0) + 1
        self._tries[partition] = tries
        pause = min(_RETRY_MIN * 2**tries, _RETRY_MAX)
        self._put_off(partition, pause / 2, pause)
        if view is None:
            self._takeover.bootstrap(partition)
            came = 'created'
        else:
            came = self._takeover.run(partition)
        self._put_off(partition, pause / 2, pause)
        self._around.decide(
            f'partition/{partition}',
            'takeover' if view else 'created',
            came,
            'its primary is gone' if view else 'it had no view',
            None,
        )
        write(
            _LOGGER,
            log.TAKEOVER,
            partition=partition,
            primary=view.primary.instance if view else '',
            result=came,
        )

    def _put_off(self, partition: PartitionId, low: float, high: float) -> None:
        """Look at a partition again no earlier than after some seconds."""
        wait = self._around.jitter(low, high)
        self._due[partition] = self._around.clock.now() + wait

    def _look_after(self, primary: Primary) -> None:
        """Repair or balance a partition that is decided here."""
        view = primary.view
        primary.replicate()
        plan = plan_change(
            view,
            self._hosting.candidates(),
            primary.find_restarted(),
            outbid=bool(primary.outbid),
        )
        if plan is None:
            self._due.pop(view.partition, None)
            return
        if len(self._busy) >= _REPAIRS_AT_ONCE:
            return
        now = self._around.clock.now()
        spread = self._around.jitter(0, _REPAIR_SPREAD)
        if now < self._due.setdefault(view.partition, now + spread):
            return
        if plan.repairs or self._may_move(now):
            self._start(view.partition, self._change, primary, plan)

    def _may_move(self, now: float) -> bool:
        """Count a balancing move, if one is left in this minute."""
        self._moves = [at for at in self._moves if now - at < 60]
        if len(self._moves) >= MOVES_PER_MINUTE:
            return False
        self._moves.append(now)
        return True

    def _change(self, primary: Primary, plan: Plan) -> None:
        """Change a view; write down why."""
        before = [member.instance for member in primary.view.members]
        partition = primary.view.partition
        self._put_off(partition, _RETRY_MIN, _REPAIR_SPREAD)
        done = change_view(self._hosting, primary, list(plan.target))
        self._put_off(partition, _RETRY_MIN, _REPAIR_SPREAD)
        self._around.decide(
            f'partition/{partition}',
            'view changed' if done else 'view not changed',
            ' '.join(plan.target),
            plan.reason,
            {one: 'held it before' for one in before if one not in plan.target},
        )
        write(
            _LOGGER,
            log.REGROUPED,
            partition=partition,
            before=before,
            after=list(plan.target),
            reason=plan.reason,
            done=done,
        )

    def _hand_over(self, partition: PartitionId) -> None:
        """Give one partition to the best of its other holders."""
        primary = self._hosting.primaries.get(partition)
        alive = self._hosting.candidates()
        if primary is None or not alive:
            return
        keep = [one.instance for one in primary.view.members]
        target = choose_instances(partition, alive, keep)
        plan = Plan(
            target=tuple(target), repairs=True, reason='this instance stops'
        )
        self._change(primary, plan)

    def _sweep(self, partition: PartitionId, view: View) -> None:
        """Drop a copy that no view has named for a while."""
        replica = self._hosting.replicas.get(partition)
        if replica is None or self._around.me in view.members:
            return
        if self._around.clock.now() - replica.touched > _REPLICA_KEPT:
            self._hosting.drop(partition)

    def _start(
        self, partition: PartitionId, run: Callable[..., Any], *args: Any
    ) -> None:
        """Run something for a partition, one thing at a time."""
        if partition not in self._busy:
            self._busy.add(partition)
            self._around.clock.spawn(self._run, partition, run, args)

    def _run(
        self,
        partition: PartitionId,
        run: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        """Run it; an error is written down and tried again later."""
        try:
            run(*args)
        except GuavagateError as error:
            write(_LOGGER, log.FAILED, partition=partition, error=str(error))
        finally:
            self._busy.discard(partition)
            self._hosting.changed.set()
