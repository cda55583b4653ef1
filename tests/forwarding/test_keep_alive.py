"""Probes that keep idle connections until the next request."""

from guavagate.clock import PausedClock
from guavagate.forwarding._keep_alive import MAX_PROBES, ConnectionKeepAlive
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream

_IDLE_SECONDS = 9
_NAME = UpstreamId('a')


class _Bench:
    """An instance with one idle connection, also its pool."""

    def __init__(self, slowdown: float | None = 1.0) -> None:
        self.clock = PausedClock()
        self.probes = 0
        self.table = UpstreamTable(self.clock, ZoneId('z'))
        self.table.put(make_upstream(_NAME))
        self._report = LoadReport(running=0, slowdown=slowdown)
        self.answer()
        keep_alive = ConnectionKeepAlive(
            self.clock,
            self,  # type: ignore[arg-type]
            self.table,
            self._probe,
        )
        keep_alive.start()

    def get_idle_seconds_left(self, address: str = '') -> float | None:
        """Return how long the connection may still be used."""
        left = self._idle_since + _IDLE_SECONDS - self.clock.now()
        return left if left >= 0 else None

    def _probe(self, *_: object) -> None:
        self.probes += 1
        self._idle_since = self.clock.now()

    def answer(self) -> None:
        """Answer a request over the connection."""
        self._idle_since = self.clock.now()
        self.table.record_report(_NAME, self._report)
        self.table.record_success(_NAME, 0.03)


def test_a_connection_is_kept_while_requests_come() -> None:
    """One comes every twelve seconds; without them it is let go.

    The upstream closes a connection that is idle for ten seconds.
    """
    bench = _Bench()
    for _ in range(10):
        bench.clock.advance(12)
        assert bench.get_idle_seconds_left() is not None
        bench.answer()
    assert bench.probes == 10
    bench.clock.advance(300)
    assert bench.probes == 10 + MAX_PROBES


def test_only_upstreams_with_slowdowns_that_stay_are_probed() -> None:
    """Other services do not expect probes at all times."""
    plain, leaving = _Bench(slowdown=None), _Bench()
    leaving.table.put(make_upstream(_NAME, leaving=True))
    for bench in (plain, leaving):
        bench.clock.advance(60)
        assert bench.probes == 0
