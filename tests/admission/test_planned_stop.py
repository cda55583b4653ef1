"""Requests that wait in the queue while their entry is stopped."""

from tests.admission.fleet import SERVICE, SLOTS, Caller, Fleet
from tests.admission.test_fair_failures import _saturate

_NOT_RUN = 503
_UNKNOWN = 504


def _fill(fleet: Fleet) -> Caller:
    """Occupy all slots; return a caller that waits for one at an entry."""
    _saturate(fleet)
    for _ in range(SLOTS):
        fleet.send('a', fleet.names[0])
    fleet.clock.advance(0.01)
    caller = fleet.send('b', fleet.names[1])
    fleet.clock.advance(0.005)
    assert fleet.admissions[fleet.owner]._owner.waiting == 1
    return caller


def test_a_request_that_is_granted_too_late_is_not_sent() -> None:
    """It was sent when a slot became free, and cut at the end of the grace."""
    fleet = Fleet(upstreams=1)
    caller = _fill(fleet)
    caller.entry_ends_at = caller.arrived_at + 0.3
    fleet.clock.advance(0.5)
    assert caller.status == _NOT_RUN
    assert fleet.ran.total() == SLOTS
    owner = fleet.admissions[fleet.owner]._owner
    assert owner._services[SERVICE].queue.running == 0


def test_a_request_that_still_waits_when_the_grace_ends_is_refused() -> None:
    """Its caller got no answer, although it had run nowhere."""
    fleet = Fleet(upstreams=1)
    caller = _fill(fleet)
    caller.interrupt()
    fleet.clock.advance(0.01)
    assert caller.status == _NOT_RUN
    fleet.clock.advance(0.5)
    assert fleet.ran.total() == SLOTS


def test_a_request_that_still_runs_when_the_grace_ends_is_answered() -> None:
    """Its caller got no answer, and is told that it may have run."""
    fleet = Fleet(upstreams=1)
    caller = fleet.send('a', fleet.names[0])
    fleet.clock.advance(0.01)
    caller.interrupt()
    fleet.clock.advance(0.01)
    assert caller.status == _UNKNOWN
    assert fleet.ran.total() == 1
