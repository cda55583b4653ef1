"""Tests of callers' waits beside a burst of background work."""

import heapq
import itertools
from collections import deque

import pytest

from guavagate.decisions.background import (
    SPARE_SLOTS,
    average_caller_slots,
    limit_background,
)

_SLOTS = 6
_WORK_SECONDS = 0.2
_CALL_SECONDS = 0.04
_STEP_SECONDS = 0.005
_ORDER = itertools.count()


class _Upstream:
    """An upstream that admits requests in order of arrival."""

    def __init__(self, slowness: float = 1) -> None:
        self.slowness = slowness
        self.running: list[tuple[float, int, float | None]] = []
        self.waiting: deque[tuple[float, float | None]] = deque()
        self.background = 0
        self.callers = float(0)

    def admit(self, work: float, arrived: float | None) -> None:
        """Queue a request; `arrived` is None for background work."""
        self.waiting.append((work * self.slowness, arrived))

    def advance(self, now: float) -> list[float]:
        """Advance to `now`; return the durations of callers' ended requests."""
        ended = []
        while self.running and self.running[0][0] <= now:
            _, _, arrived = heapq.heappop(self.running)
            if arrived is None:
                self.background -= 1
                busy = len(self.running) + len(self.waiting)
                self.callers = average_caller_slots(
                    self.callers, busy, self.background
                )
            else:
                ended.append(now - arrived)
        while self.waiting and len(self.running) < _SLOTS:
            work, arrived = self.waiting.popleft()
            entry = (now + work, next(_ORDER), arrived)
            heapq.heappush(self.running, entry)
        return ended


def _count_busy(upstream: _Upstream) -> int:
    return len(upstream.running) + len(upstream.waiting)


def _simulate(
    upstreams: list[_Upstream], gap: float, *, bounded: bool
) -> tuple[list[float], float]:
    """Return callers' durations beside a burst of 96, and the burst's end."""
    left = 96
    now = float(0)
    over = float(0)
    next_call = float(0)
    waits: list[float] = []
    while now < 20:
        for upstream in upstreams:
            waits += upstream.advance(now)
            limit = limit_background(_SLOTS, upstream.callers)
            share = 96 // len(upstreams) + 1
            most = limit if bounded else share
            while left and upstream.background < most:
                upstream.admit(_WORK_SECONDS, None)
                upstream.background += 1
                left -= 1
            waits += upstream.advance(now)
        if not over and not left and not any(u.background for u in upstreams):
            over = now
        if next_call <= now < 4:
            chosen = min(upstreams, key=_count_busy)
            chosen.admit(_CALL_SECONDS, now)
            next_call += gap
        now = round(now + _STEP_SECONDS, 6)
    return waits, over


@pytest.mark.parametrize(
    ('slowness', 'gap'),
    [((1, 1, 1), 0.15), ((1, 1, 4), 0.15), ((1,), 0.15), ((1, 1, 1), 0.02)],
)
def test_callers_find_a_free_slot_beside_a_burst(
    slowness: tuple[float, ...], gap: float
) -> None:
    """96 texts end together and request rewards while callers send requests.

    Sent all at once, the burst is queued before every caller. With the limit,
    nine of ten callers get an answer within 150 ms (600 ms if one upstream is
    four times slower), and the burst takes at most twice as long as without
    it. Cases: all upstreams equal, one slow, only one left, and many callers.
    """
    waits, over = _simulate(
        [_Upstream(each) for each in slowness], gap, bounded=True
    )
    late = sum(wait > 0.15 * max(slowness) for wait in waits) / len(waits)
    assert late <= 0.1
    unbounded, alone = _simulate(
        [_Upstream(each) for each in slowness], gap, bounded=False
    )
    worst = max(unbounded)
    assert worst > 0.3
    assert max(waits) < worst
    assert 0 < over <= 2 * alone


def test_limit_follows_the_number_of_callers() -> None:
    """Ten callers use an upstream for a while and then stop."""
    callers = float(0)
    for _ in range(100):
        callers = average_caller_slots(callers, busy=14, background=4)
    assert limit_background(16, callers) == 6
    for _ in range(100):
        callers = average_caller_slots(callers, busy=4, background=4)
    assert limit_background(16, callers) == 16 - SPARE_SLOTS


def test_short_peak_of_callers_does_not_stop_a_burst() -> None:
    """Five callers arrive together once at the only upstream of six slots.

    A step of 48 rewards needs most slots. If the peak were remembered for
    seconds, one slot would be left to the step and it would be late.
    """
    callers = average_caller_slots(0, busy=6, background=1)
    assert limit_background(6, callers) >= 4


def test_background_work_is_never_stopped_completely() -> None:
    """A step still advances on an upstream that callers fill for minutes."""
    callers = float(0)
    for _ in range(100):
        callers = average_caller_slots(callers, busy=40, background=0)
    assert limit_background(6, callers) == 1
    assert limit_background(1, 0) == 1
