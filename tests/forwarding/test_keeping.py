"""Probes that keep idle connections until the next request."""

import pytest

from guavagate.clock import PausedClock
from guavagate.forwarding._keeping import MAX_PROBES, ConnectionKeeper
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream

_IDLE_SECONDS = 9
_NAME = UpstreamId('a')


class _Bench:
    """An instance with one idle connection, also its pool."""

    def __init__(self, slowdown: float | None = 1.0) -> None:
        self.clock = PausedClock()
        self.probes = 0
        self._idle_since = self.clock.now()
        self.table = UpstreamTable(self.clock, ZoneId('z'))
        self.table.put(make_upstream(_NAME))
        self._report = LoadReport(running=0, slowdown=slowdown)
        self.answer()
        keeper = ConnectionKeeper(
            self.clock,
            self,  # type: ignore[arg-type]
            self.table,
            self._probe,
        )
        keeper.start()

    def get_idle_seconds_left(self, address: str) -> float | None:
        """Return how long the connection may still be used."""
        left = self._idle_since + _IDLE_SECONDS - self.clock.now()
        return left if left >= 0 else None

    def _probe(self, upstream: Upstream, seconds: float) -> None:
        self.probes += 1
        self._idle_since = self.clock.now()

    def answer(self) -> None:
        """Answer a request over the connection."""
        self._idle_since = self.clock.now()
        self.table.record_report(_NAME, self._report)
        self.table.record_success(_NAME, 0.03)


def test_a_connection_is_kept_until_the_next_request() -> None:
    """A request comes every twelve seconds; nine is the end of a connection."""
    bench = _Bench()
    for _ in range(10):
        bench.clock.advance(12)
        assert bench.get_idle_seconds_left('') is not None
        bench.answer()
    assert bench.probes == 10


def test_without_requests_a_connection_is_let_go() -> None:
    """Probes are paid for by answered requests."""
    bench = _Bench()
    bench.clock.advance(300)
    assert bench.probes == MAX_PROBES
    assert bench.get_idle_seconds_left('') is None


@pytest.mark.parametrize('leaving', [False, True])
def test_services_without_slowdowns_and_leaving_upstreams_are_not_probed(
    *, leaving: bool
) -> None:
    """The one may not expect probes, the other gets no further request."""
    bench = _Bench(slowdown=1.0 if leaving else None)
    bench.table.put(make_upstream(_NAME, leaving=leaving))
    bench.clock.advance(60)
    assert bench.probes == 0
