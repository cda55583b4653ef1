"""Decisions of a queue owner: who is refused, and who returns when."""

import random

from guavagate.admission import Ask, GrantQueue, Verdict
from guavagate.models import TeamId, UpstreamId


class _Bench:
    """A queue of a service with two slots, where each request takes 0.1 s."""

    def __init__(self) -> None:
        self.queue = GrantQueue(random.Random(1))
        self.queue.slots = {UpstreamId('u'): 2}
        self.verdicts: list[Verdict] = []

    def ask(self, team: str, left: float, priority: int = 0) -> None:
        """Ask for a request, by its deadline in so many seconds."""
        ask = Ask(
            id=f'{team}{self.queue.waiting}/{len(self.verdicts)}',
            team=TeamId(team),
            priority=priority,
            deadline=100 + left,
            objective=0.2,
        )
        self.verdicts += self.queue.offer(ask, 100)

    def list_refused(self, team: str) -> list[float]:
        """Return after how many seconds a team's refused callers return."""
        return [
            each.retry_after
            for each in self.verdicts
            if not each.granted and each.id.startswith(team)
        ]


def test_what_can_not_start_in_time_is_refused_at_once() -> None:
    """Its caller would learn late that it has waited in vain.

    Another team's request, with little more time, has a share of its own. When
    its time is over it is refused in the queue.
    """
    bench = _Bench()
    for _ in range(10):
        bench.ask('a', 1)
    bench.ask('a', 0.2)
    bench.ask('b', 0.3)
    assert len(bench.list_refused('a')) == 1
    assert not bench.list_refused('b')
    bench.verdicts += bench.queue.advance(100.25)
    assert len(bench.list_refused('b')) == 1


def test_callers_return_in_the_order_in_which_they_can_be_served() -> None:
    """The highest priority first, and a small team before a large one."""
    bench = _Bench()
    for _ in range(2):
        bench.ask('running', 9)
    for _ in range(40):
        bench.ask('large', 0.1)
    bench.ask('small', 0.1)
    bench.ask('low', 0.1, priority=1)
    large = bench.list_refused('large')
    assert len(large) == 40
    assert large == sorted(large)
    assert bench.list_refused('small')[0] < large[10]
    assert bench.list_refused('low')[0] > large[20]
