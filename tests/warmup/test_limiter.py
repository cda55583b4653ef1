"""The limits of each role, and the sliding log."""

import pytest

from guavagate.models import UpstreamId
from guavagate.ports.configuration import Warmup
from guavagate.warmup import (
    WINDOW_SECONDS,
    HolderRole,
    StartLimits,
    WarmupBound,
    WarmupLimiter,
)
from tests.warmup.common import LIMITS, MAX_PER_SECOND, find_most

_X = UpstreamId('x')
_SOLE, _SHARED, _EQUAL = HolderRole.SOLE, HolderRole.SHARED, HolderRole.EQUAL


@pytest.mark.parametrize('cold', [(True, True), (True, False), (False, False)])
@pytest.mark.parametrize(
    'roles', [(_SOLE, _SHARED), (_SHARED, _SHARED), (_EQUAL, _EQUAL)]
)
def test_two_holders_stay_below_the_bound(
    roles: tuple[HolderRole, HolderRole], cold: tuple[bool, bool]
) -> None:
    """The owner is cut off, and its successor can't know that it goes on.

    One of them may have heard that the upstream is cold, the other one not.
    """
    for first, second in (cold, (cold[1], cold[0])):
        total = LIMITS.find(roles[0], WINDOW_SECONDS, cold=first)
        total += LIMITS.find(roles[1], WINDOW_SECONDS, cold=second)
        assert total <= MAX_PER_SECOND


def test_a_cold_upstream_gets_its_rate_and_a_warm_one_more() -> None:
    """A limit as low as the cold rate would leave slots empty at all times."""
    assert LIMITS.find(_SOLE, WINDOW_SECONDS, cold=True) == 8
    assert LIMITS.find(_SOLE, WINDOW_SECONDS, cold=False) == 13


@pytest.mark.parametrize('role', list(HolderRole))
def test_a_new_holder_counts_the_second_before_as_spent(
    role: HolderRole,
) -> None:
    """The former holder may have used its whole budget just before it ended."""
    assert LIMITS.find(role, 0.5, cold=True) == 0
    former = LIMITS.find(_SOLE, 9, cold=False)
    assert LIMITS.find(role, 0.5, cold=False) + former <= MAX_PER_SECOND


def test_a_tiny_rate_still_permits_something() -> None:
    """A limit rounded to zero would end a service for ever."""
    limits = StartLimits.compute(
        Warmup(per_second=0.4, start_seconds=3), WarmupBound()
    )
    for role in HolderRole:
        assert limits.find(role, 9, cold=True) == 1


def test_the_window_slides() -> None:
    """With a counter that is reset each second, twice the limit fits in one."""
    limiter = WarmupLimiter(lambda _, now: 8)
    times = [step / 100 for step in range(500)]
    taken = [time for time in times if limiter.take(_X, time)]
    assert find_most(taken, 1.1) == 8
    assert len(taken) == 8 * 5


def test_the_wait_ends_when_a_start_is_permitted() -> None:
    """A caller that returned too early would be refused again."""
    limits = [8]
    limiter = WarmupLimiter(lambda _, now: limits[0])
    for step in range(8):
        assert limiter.take(_X, step / 10)
    wait = limiter.find_wait([_X], 0.8)
    assert not limiter.count_allowed(_X, 0.79 + wait)
    assert limiter.count_allowed(_X, 0.81 + wait) == 1
    limits[0] = 6
    assert limiter.find_wait([_X], 0.8) == pytest.approx(wait + 0.2)


def test_logs_of_upstreams_that_are_gone_are_removed() -> None:
    """Upstreams get new ids when they are replaced, for weeks."""
    limiter = WarmupLimiter(lambda _, now: 8)
    for number in range(2000):
        limiter.take(UpstreamId(f'u{number}'), float(number))
    assert len(limiter._logs) < 300
