"""Upstreams that restart with the same id."""

import msgspec

from guavagate.clock import PausedClock
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream


class _Setup:
    """A table with one upstream and a record of its restarts."""

    def __init__(self) -> None:
        self.table = UpstreamTable(PausedClock(), ZoneId('z'))
        self.restarts: list[int] = []
        self.table.subscribe_restarts(self._record_restart)

    def _record_restart(self, upstream: Upstream) -> None:
        self.restarts.append(upstream.incarnation)

    def put(self, incarnation: int) -> None:
        """Register the upstream with an incarnation."""
        upstream: Upstream = make_upstream('a', 'z')
        self.table.put(
            msgspec.structs.replace(upstream, incarnation=incarnation)
        )


def test_a_restart_discards_the_previous_load_and_failures() -> None:
    """The upstream was ejected and full when it crashed, and is now idle."""
    setup = _Setup()
    setup.put(100)
    load = setup.table.load(UpstreamId('a'))
    load.in_flight = 5
    setup.table.record_failure(UpstreamId('a'))
    setup.table.record_failure(UpstreamId('a'))
    setup.put(200)
    fresh = setup.table.load(UpstreamId('a'))
    assert (fresh.in_flight, fresh.failures, fresh.ejected_until) == (0, 0, 0)
    assert setup.restarts == [200]


def test_a_late_registration_of_an_old_incarnation_is_no_restart() -> None:
    """It arrives after the new incarnation's, which then registers again.

    Treating each of them as a restart would abort the new incarnation's runs.
    """
    setup = _Setup()
    for incarnation in (100, 200, 100, 200, 0, 200):
        setup.put(incarnation)
    assert setup.restarts == [200]
