"""What counts as cold, and for how long."""

import logging
import math

import msgspec
import pytest

from guavagate.clock import PausedClock
from guavagate.metrics import Metrics
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from guavagate.warmup import ColdUpstreams
from guavagate.warmup._cold_watch import ColdWatch
from tests.jobs.samplers import make_upstream
from tests.warmup.common import WARMUP

_X = UpstreamId('x')


class _Bench:
    """A table of upstreams whose service has a warm-up."""

    def __init__(self) -> None:
        self.clock = PausedClock()
        self.table = UpstreamTable(self.clock, ZoneId('z'))
        self.cold = ColdUpstreams()
        self.metrics = Metrics()
        ColdWatch(
            self.clock, self.table, self.metrics, self.cold, lambda _: WARMUP
        ).start()

    def put(self, cold_for: float | None, incarnation: int = 1) -> None:
        """Register the upstream."""
        self.table.put(
            make_upstream('x', incarnation=incarnation, cold_for=cold_for)
        )

    def measure(self) -> float:
        """Return how many seconds longer the upstream counts as cold."""
        end = self.cold.find_end(_X, WARMUP.start_seconds)
        return max(end - self.clock.now(), 0)


def test_at_a_start_the_registrations_tell_which_are_cold() -> None:
    """An instance that starts would otherwise hold all starts back for 3 s."""
    bench = _Bench()
    assert bench.measure() == math.inf
    bench.put(cold_for=0)
    assert not bench.measure()
    other = _Bench()
    other.put(cold_for=None)
    assert other.measure() == pytest.approx(3)


def test_an_upstream_becomes_cold_without_a_restart() -> None:
    """Its next registration says so, with the same incarnation."""
    bench = _Bench()
    bench.put(cold_for=0)
    bench.put(cold_for=4.5)
    bench.clock.advance(1)
    assert bench.measure() == pytest.approx(3.5)
    bench.put(cold_for=0)
    assert not bench.measure()


def test_a_restart_under_the_same_id_makes_it_cold() -> None:
    """Its first registration may have been written before it was cold.

    The next one that says 0 ends it; without one it is cold for the whole time.
    """
    bench = _Bench()
    bench.put(cold_for=0)
    bench.put(cold_for=0, incarnation=2)
    assert bench.measure() == pytest.approx(3)
    bench.clock.advance(1)
    bench.put(cold_for=0, incarnation=1)
    assert bench.measure() == pytest.approx(2)
    bench.put(cold_for=0, incarnation=2)
    assert not bench.measure()


def test_an_upstream_back_after_a_gap_is_cold() -> None:
    """It lapsed and is registered again, by the same process or another."""
    bench = _Bench()
    bench.put(cold_for=0)
    bench.table.remove(_X)
    bench.clock.advance(2)
    bench.put(cold_for=0)
    assert bench.measure() == pytest.approx(3)


def test_upstreams_of_a_returned_zone_are_cold() -> None:
    """They may have become cold while nothing was sent there."""
    bench = _Bench()
    bench.put(cold_for=0)
    bench.table.set_evacuated(frozenset((ZoneId('zone-0'),)))
    bench.put(cold_for=0)
    assert not bench.measure()
    bench.table.set_evacuated(frozenset())
    assert bench.measure() == pytest.approx(3)
    bench.put(cold_for=5)
    assert bench.measure() == pytest.approx(5)
    bench.put(cold_for=0)
    assert not bench.measure()


def test_a_health_answer_tells_before_the_next_registration() -> None:
    """Probes are answered at once, and registrations once a second."""
    bench = _Bench()
    bench.put(cold_for=0)
    bench.table.record_report(_X, LoadReport(running=1, cold_for=2))
    assert bench.measure() == pytest.approx(2)
    bench.table.record_report(_X, LoadReport(running=1, cold_for=0))
    assert bench.measure() == pytest.approx(2)


def test_cold_and_warm_are_logged_once_and_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each registration while it is cold would otherwise log the same."""
    bench = _Bench()
    with caplog.at_level(logging.INFO):
        bench.put(cold_for=0)
        for left in (3, 2, 1):
            bench.put(cold_for=left)
        assert b'guavagate_cold_upstreams 1' in bench.metrics.render('')[0]
        bench.clock.advance(1)
        assert b'guavagate_cold_upstreams 0' in bench.metrics.render('')[0]
    codes = [each[:6] for each in caplog.messages if 'GG806' in each]
    assert codes == ['GG8065', 'GG8066']


def test_ids_of_upstreams_that_are_gone_are_forgotten() -> None:
    """Replaced upstreams get new ids, for weeks."""
    cold = ColdUpstreams()
    for number in range(2000):
        each: Upstream = make_upstream(f'u{number}')
        cold.put(msgspec.structs.replace(each), None, float(number))
    assert len(cold._known) < 700
