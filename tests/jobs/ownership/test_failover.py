"""The decision to work on jobs in the place of their owner."""

import pytest

from guavagate.jobs.ownership._failover import (
    HEARTBEAT_INTERVAL_SECONDS,
    TAKEOVER_AFTER_SECONDS,
    Action,
    Failover,
)

_TICK = 0.1


class _Bench:
    """A successor's decisions at its usual interval, with scripted probes."""

    def __init__(self) -> None:
        self.now = float(100)
        self.failover = Failover(self.now)
        self.reached = False
        self.reached_others = True
        self.actions: list[Action] = []

    def hear(self, seconds: float) -> None:
        """Let the owner send heartbeats for some seconds."""
        until = self.now + seconds
        while self.now < until:
            self.failover.record_heartbeat(self.now)
            self.wait(HEARTBEAT_INTERVAL_SECONDS)

    def wait(self, seconds: float) -> Action:
        """Decide for some seconds; return the first action but a probe."""
        for _ in range(round(seconds / _TICK)):
            self.now += _TICK
            action = self.failover.decide(self.now)
            self.actions.append(action)
            if action is Action.PROBE:
                self.failover.record_probe(
                    self.now,
                    reached=self.reached,
                    reached_others=self.reached_others,
                )
            elif action is not Action.WAIT:
                return action
        return Action.WAIT


@pytest.fixture
def bench() -> _Bench:
    """Return a successor that has received heartbeats for a second."""
    bench = _Bench()
    bench.hear(1)
    return bench


def test_lost_owner_is_replaced_before_the_membership_notices(
    bench: _Bench,
) -> None:
    """The membership takes 2 s, in which no item of a killed owner runs."""
    last_at = bench.now - HEARTBEAT_INTERVAL_SECONDS
    assert bench.wait(2) is Action.TAKE_OVER
    assert bench.now - last_at < TAKEOVER_AFTER_SECONDS + 2 * _TICK


@pytest.mark.parametrize(
    ('reached', 'reached_others'), [(True, True), (False, False)]
)
def test_owner_that_probably_works_is_not_replaced(
    bench: _Bench, *, reached: bool, reached_others: bool
) -> None:
    """Some instance reaches it, or the successor is itself cut off."""
    bench.reached = reached
    bench.reached_others = reached_others
    assert bench.wait(10) is Action.WAIT
    assert bench.actions.count(Action.PROBE) < 25


def test_successor_that_was_frozen_waits_for_the_unread_heartbeats(
    bench: _Bench,
) -> None:
    """By its clock the owner was silent for as long as it was frozen itself.

    The outcome of a probe that ran meanwhile says nothing either.
    """
    bench.wait(0.4)
    assert Action.PROBE in bench.actions
    bench.now += 5
    assert bench.wait(TAKEOVER_AFTER_SECONDS - _TICK) is Action.WAIT
    bench.hear(2)
    assert Action.TAKE_OVER not in bench.actions


def test_heartbeat_during_a_probe_cancels_the_takeover(bench: _Bench) -> None:
    """The owner was paused for a moment and its heartbeat crosses the probe."""
    while Action.PROBE not in bench.actions:
        bench.now += _TICK
        bench.actions.append(bench.failover.decide(bench.now))
    started_at = bench.now
    bench.failover.record_heartbeat(bench.now + 0.05)
    bench.failover.record_probe(started_at, reached=False, reached_others=True)
    bench.reached = True
    assert bench.wait(2) is Action.WAIT


def test_owner_that_never_sent_a_heartbeat_is_left_to_the_membership() -> None:
    """It starts, or its release sends none."""
    bench = _Bench()
    assert bench.wait(10) is Action.WAIT
    assert Action.PROBE not in bench.actions


def test_single_late_heartbeat_does_not_return_the_jobs(
    bench: _Bench,
) -> None:
    """It was in transit when the owner was lost."""
    bench.wait(2)
    bench.failover.record_heartbeat(bench.now)
    bench.wait(2)
    assert bench.failover.working


def test_owner_that_works_again_gets_its_jobs_back(bench: _Bench) -> None:
    """Its machine hangs time and again; the membership keeps it as owner."""
    for _ in range(3):
        assert bench.wait(2) is Action.TAKE_OVER
        assert bench.failover.working
        bench.hear(1)
        assert Action.RETURN in bench.actions
        assert not bench.failover.working
