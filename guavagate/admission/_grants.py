"""Which requests of a saturated service may be sent, and in which order.

Load pattern: one team sends twenty times its share, or all together send twice
what the upstreams can do. Without an order, the upstreams serve whoever comes
first, mostly the largest team, and refuse or delay all others.

At most as many requests run as the upstreams have slots. The others wait, by
priority first, then in fair shares by team. What can't start early enough to be
answered by its deadline is refused at once.
"""

import math
import random
from collections import Counter
from collections.abc import Iterator
from typing import Final

import msgspec

from guavagate.admission._returns import ReturnSchedule
from guavagate.decisions import Work
from guavagate.decisions.admission import WaitEstimate
from guavagate.decisions.fairness import FairQueue, FlowItem, Path
from guavagate.models import CallerId, RequestId, TeamId, UpstreamId

# Weight of one request in the mean time that a grant is used.
SMOOTHING: Final = 0.1
# Share of the objective that a request is expected to take at first.
FIRST_RUN_SHARE: Final = 0.5
MIN_RUN_SECONDS: Final = 0.001
# Requests that wait for one service; each takes about 2 KB here.
MAX_WAITING: Final = 5_000
# A queue that lasts longer than so many objectives is no burst.
BURST_OBJECTIVES: Final = 2.0
# Runs take longer than their mean at times; in multiples of it.
RUN_MARGIN: Final = 1.5
_WEIGHTS: Final = (1.0,)


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks for permission; `deadline` by the owner's clock."""

    id: str
    team: TeamId
    priority: int
    deadline: float
    objective: float


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to send a request, or when its caller shall return.

    A granted request goes to `upstream` first.
    """

    id: str
    granted: bool
    upstream: UpstreamId | None = None
    retry_after: float = 0
    reason: str = ''


class _Waiting(msgspec.Struct):
    ask: Ask
    item: FlowItem
    arrived_at: float
    expected_wait: float


class _Grant(msgspec.Struct, frozen=True):
    upstream: UpstreamId | None
    started_at: float
    until: float


class GrantQueue:
    """The grants and the waiting requests of one service."""

    def __init__(self, rng: random.Random) -> None:
        # By upstream. Without any there is nothing to protect, and all is
        # granted.
        self.slots: dict[UpstreamId, int] = {}
        self._queues: dict[int, FairQueue] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._grants: dict[str, _Grant] = {}
        self._returns = ReturnSchedule(rng)
        self._waits = WaitEstimate()
        self._run_seconds: float = 0
        # Since when requests wait without a pause.
        self._waiting_since = math.inf

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many grants are in use."""
        return len(self._grants)

    @property
    def is_contended(self) -> bool:
        """Return whether a further request would have to wait."""
        return bool(self._waiting) or 0 < self._total <= self.running

    @property
    def _total(self) -> int:
        return sum(self.slots.values())

    def offer(self, ask: Ask, now: float) -> list[Verdict]:
        """Queue a request; return the verdicts that are due now.

        The verdict on a request that was granted already is repeated.
        """
        grant = self._grants.get(ask.id)
        if grant is not None:
            verdict = Verdict(id=ask.id, granted=True, upstream=grant.upstream)
            return [verdict]
        verdicts = self.advance(now)
        if ask.id in self._waiting:
            return verdicts
        if not self._run_seconds:
            self._run_seconds = max(
                ask.objective * FIRST_RUN_SHARE, MIN_RUN_SECONDS
            )
        wait = self._expect_wait(ask)
        latest_start = self._compute_latest_start(ask, now)
        corrected = self._waits.correct((ask.priority, ask.team), wait)
        if len(self._waiting) >= MAX_WAITING or now + corrected > latest_start:
            refused = self._refuse(
                ask, corrected, now, 'its service is full, with no slot in time'
            )
            return [*verdicts, refused]
        self._push(ask, wait, latest_start, now)
        return [*verdicts, *self.advance(now)]

    def advance(self, now: float) -> list[Verdict]:
        """Grant what has a slot, and refuse what can't start in time."""
        for id_, grant in list(self._grants.items()):
            if grant.until <= now:
                self._grants.pop(id_)
        verdicts = list(self._refuse_overdue(now))
        while self._has_free_slot():
            waiting = self._pop()
            if waiting is None:
                break
            self._learn_wait(waiting, now)
            verdicts.append(self._grant(waiting.ask, now))
        if not self._waiting:
            self._waiting_since = math.inf
        return verdicts

    def release(self, id_: str, now: float, *, refused: bool = False) -> None:
        """End a grant, or withdraw a request that waits.

        Parameters
        ----------
        refused
            Whether the upstreams refused it as full.
        """
        grant = self._grants.pop(id_, None)
        if grant is not None and refused:
            self._block_slots(id_, now)
        elif grant is not None:
            seconds = max(now - grant.started_at, MIN_RUN_SECONDS)
            self._run_seconds += SMOOTHING * (seconds - self._run_seconds)
        waiting = self._waiting.pop(id_, None)
        if waiting is not None:
            self._queues[waiting.ask.priority].remove(waiting.item)

    def _compute_latest_start(self, ask: Ask, now: float) -> float:
        """Return until when a new request may wait.

        A burst may wait until the deadlines. Under lasting overload that would
        make every answer late, so requests then wait as long as the objective
        allows. The same number of them is served.
        """
        latest = ask.deadline - self._run_seconds
        if now - self._waiting_since < BURST_OBJECTIVES * ask.objective:
            return latest
        patience = ask.objective - RUN_MARGIN * self._run_seconds
        return min(latest, now + max(patience, self._run_seconds))

    def _grant(self, ask: Ask, now: float) -> Verdict:
        used = Counter(each.upstream for each in self._grants.values())
        upstream = min(
            self.slots,
            key=lambda each: used[each] / self.slots[each],
            default=None,
        )
        self._grants[ask.id] = _Grant(upstream, now, ask.deadline)
        return Verdict(id=ask.id, granted=True, upstream=upstream)

    def _block_slots(self, id_: str, now: float) -> None:
        """Count the free slots as used by requests without a grant.

        They are free again one by one within the time that a request takes.
        """
        free = max(self._total - self.running, 1)
        for number in range(free):
            until = now + self._run_seconds * (number + 1) / free
            self._grants[f'{id_} {number}'] = _Grant(None, now, until)

    def _push(
        self, ask: Ask, wait: float, latest_start: float, now: float
    ) -> None:
        work = Work(
            id=RequestId(ask.id), team=ask.team, caller=CallerId(ask.team)
        )
        # A request that was refused as full, and asks again, keeps its place.
        item = FlowItem(
            work, key=ask.deadline, cost=1, latest_start=latest_start
        )
        self._waiting[ask.id] = _Waiting(ask, item, now, wait)
        self._waiting_since = min(self._waiting_since, now)
        queue = self._queues.setdefault(ask.priority, FairQueue())
        queue.push(item, _get_path(ask), _WEIGHTS)

    def _has_free_slot(self) -> bool:
        return not self.slots or self.running < self._total

    def _pop(self) -> _Waiting | None:
        for _, queue in sorted(self._queues.items()):
            item = queue.pop()
            if item is not None:
                return self._waiting.pop(item.work.id)
        return None

    def _refuse_overdue(self, now: float) -> Iterator[Verdict]:
        for queue in self._queues.values():
            item = queue.find_overdue(now)
            while item is not None:
                queue.remove(item)
                waiting = self._waiting.pop(item.work.id)
                self._learn_wait(waiting, now)
                wait = self._expect_wait(waiting.ask)
                yield self._refuse(
                    waiting.ask,
                    wait,
                    now,
                    'its service is full, it waited too long',
                )
                item = queue.find_overdue(now)

    def _expect_wait(self, ask: Ask) -> float:
        """Return the seconds that a new request would wait."""
        if self._has_free_slot():
            return 0
        ahead: float = 1
        for priority, queue in self._queues.items():
            if priority < ask.priority:
                ahead += queue.backlog
            elif priority == ask.priority:
                ahead += queue.compute_cost_ahead(_get_path(ask), _WEIGHTS, 1)
        return ahead * self._get_interval()

    def _get_interval(self) -> float:
        """Return the mean seconds until the next slot is free."""
        return self._run_seconds / max(self._total, 1)

    def _learn_wait(self, waiting: _Waiting, now: float) -> None:
        self._waits.learn(
            (waiting.ask.priority, waiting.ask.team),
            waiting.expected_wait,
            now - waiting.arrived_at,
        )

    def _refuse(
        self, ask: Ask, wait: float, now: float, reason: str
    ) -> Verdict:
        seconds = self._returns.assign(
            ask.priority,
            ask.team,
            now,
            wait - (ask.deadline - self._run_seconds - now),
            self._get_interval(),
        )
        return Verdict(
            id=ask.id,
            granted=False,
            retry_after=round(seconds, 3),
            reason=reason,
        )


def _get_path(ask: Ask) -> Path:
    return (ask.team,)
