"""Decisions of a queue owner: who may send, who waits, who returns when."""

import random

from guavagate.admission import Ask, GrantQueue, Verdict
from guavagate.models import TeamId, UpstreamId


class _Bench:
    """A queue of a service with two slots, where each request takes 0.1 s."""

    def __init__(self) -> None:
        self.queue = GrantQueue(random.Random(1))
        self.queue.slots = {UpstreamId('u'): 2}
        self.now: float = 100
        self.granted: list[str] = []
        self.refused: list[Verdict] = []
        self._count = 0

    def ask(
        self, team: str, *, priority: int = 0, left: float = 1, id_: str = ''
    ) -> str:
        """Ask for a request; return its id."""
        self._count += 1
        ask = Ask(
            id=id_ or f'{team}{self._count}',
            team=TeamId(team),
            priority=priority,
            deadline=self.now + left,
            objective=0.2,
        )
        self._record(self.queue.offer(ask, self.now))
        return ask.id

    def release(self, id_: str) -> None:
        """End a request, and advance the queue."""
        self.queue.release(id_, self.now)
        self._record(self.queue.advance(self.now))

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        self._record(self.queue.advance(self.now))

    def _record(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            if verdict.granted:
                self.granted.append(verdict.id)
            else:
                self.refused.append(verdict)


def test_no_more_requests_are_granted_than_there_are_slots() -> None:
    """A third request is granted when one of two ends, and asked twice once."""
    bench = _Bench()
    first, second, third = [bench.ask('a') for _ in range(3)]
    assert bench.granted == [first, second]
    bench.ask('a', id_=third)
    assert bench.queue.waiting == 1
    bench.release(first)
    assert bench.granted == [first, second, third]
    bench.ask('a', id_=third)
    assert bench.granted.count(third) == 2
    assert bench.queue.running == 2


def test_what_can_not_start_in_time_is_refused_at_once() -> None:
    """It would wait, and its caller would learn late that it was in vain."""
    bench = _Bench()
    for _ in range(10):
        bench.ask('a')
    bench.ask('a', left=0.2)
    assert len(bench.refused) == 1
    assert bench.refused[0].retry_after > 0.1
    bench.ask('b', left=0.3)
    assert len(bench.refused) == 1
    bench.wait(0.25)
    assert [each.id[0] for each in bench.refused] == ['a', 'b']


def test_callers_return_in_the_order_in_which_they_can_be_served() -> None:
    """The highest priority first, and a small team before a large one."""
    bench = _Bench()
    for _ in range(2):
        bench.ask('a', left=9)
    for _ in range(40):
        bench.ask('large', left=0.1)
    bench.ask('small', left=0.1)
    bench.ask('low', priority=1, left=0.1)
    times = {
        name: [x.retry_after for x in bench.refused if x.id.startswith(name)]
        for name in ('large', 'small', 'low')
    }
    assert len(times['large']) == 40
    assert times['large'] == sorted(times['large'])
    assert times['small'][0] < times['large'][10]
    assert times['low'][0] > times['large'][20]
