"""Upstreams that start again under their id."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream


class _Setting:
    """One upstream, and who is told of its restarts."""

    def __init__(self) -> None:
        self.table = UpstreamTable(PausedClock(), ZoneId('z'))
        self.told: list[int] = []
        self.table.subscribe_restarts(self._note)

    def _note(self, upstream: Upstream) -> None:
        self.told.append(upstream.incarnation)

    def put(self, number: int) -> None:
        """Take in a registration."""
        upstream: Upstream = make_upstream('a', 'z')
        self.table.put(msgspec.structs.replace(upstream, incarnation=number))


def test_an_upstream_that_starts_again_is_not_judged_by_before() -> None:
    """It was ejected and full when it crashed; its new start is idle."""
    held = _Setting()
    held.put(100)
    load = held.table.load(UpstreamId('a'))
    load.in_flight = 5
    held.table.record_failure(UpstreamId('a'))
    held.table.record_failure(UpstreamId('a'))
    held.put(200)
    fresh = held.table.load(UpstreamId('a'))
    assert (fresh.in_flight, fresh.failures, fresh.ejected_until) == (0, 0, 0)
    assert held.told == [200]


def test_a_late_registration_of_the_former_start_is_no_restart() -> None:
    """It comes after the new start's; then the new start registers again.

    Taken for restarts, each would cut the runs of the new start.
    """
    held = _Setting()
    for incarnation in (100, 200, 100, 200, 0, 200):
        held.put(incarnation)
    assert held.told == [200]
