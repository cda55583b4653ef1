"""When an instance has to catch up before it sends requests."""

from guavagate.evacuation._suspension import (
    MAX_HOLD_SECONDS,
    RECENT_SECONDS,
    SUSPENDED_SECONDS,
    SuspensionGuard,
)

_OLD = RECENT_SECONDS + 1


def _make_resumed() -> SuspensionGuard:
    """Return the guard of an instance that was suspended until 9."""
    guard = SuspensionGuard(0)
    assert guard.must_hold(9, _OLD)
    return guard


def test_requests_wait_until_the_state_is_recent() -> None:
    """Only the first request after a suspension would wait."""
    guard = _make_resumed()
    assert guard.must_hold(9.1, _OLD)
    assert not guard.must_hold(9.2, 0.3)
    assert not guard.must_hold(9.3, _OLD)


def test_an_instance_that_is_cut_off_goes_on_with_the_last_state() -> None:
    """It would refuse everything for as long as it reaches no relay."""
    guard = _make_resumed()
    held = [guard.must_hold(9 + n * 0.25, _OLD) for n in range(20)]
    assert held.index(False) == MAX_HOLD_SECONDS / 0.25 + 1
    assert not any(held[held.index(False) :])


def test_old_data_alone_hold_nothing() -> None:
    """An outage of the store lasts for minutes."""
    guard = SuspensionGuard(0)
    step = SUSPENDED_SECONDS / 2
    assert not any(guard.must_hold(n * step, n * step) for n in range(60))
