"""A service whose upstreams answer no probe or refuse connections."""

import random

import pytest

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.routing import UpstreamTable
from guavagate.routing._choice import FAILED_PROBE_SECONDS
from guavagate.routing._outage import TRIAL_SECONDS
from tests.routing.test_routes import make_upstream

_SERVICE = ServiceId('s')
_NAMES = tuple(UpstreamId(name) for name in 'abc')


class _Bench:
    """Three upstreams that have just answered no probe."""

    def __init__(self, *, refused: bool = False) -> None:
        self.clock = PausedClock()
        self.table = UpstreamTable(self.clock, ZoneId('z'), random.Random(1))
        for name in _NAMES:
            self.table.put(make_upstream(name))
            self.table.record_failed_probe(
                name, self.clock.now(), refused=refused
            )

    def send(self, requests: int = 10) -> int:
        """Return how many of these requests are sent to an upstream."""
        chosen = []
        for _ in range(requests):
            upstream = self.table.choose(_SERVICE, set())
            if upstream is not None:
                chosen.append(self.table.load(upstream.id))
                chosen[-1].in_flight += 1
        return len(chosen)

    def wait_failing(self, seconds: int) -> None:
        """Let time pass in which probes get no answer either."""
        for _ in range(seconds):
            self.clock.advance(1)
            for name in _NAMES:
                self.table.record_failed_probe(name, self.clock.now())


def test_a_failing_upstream_is_tried_by_one_request_now_and_then() -> None:
    """Only the health path may be broken; each trial may be held in vain."""
    bench = _Bench()
    assert bench.send() == 0
    bench.wait_failing(int(TRIAL_SECONDS))
    assert bench.send() == len(_NAMES)
    for name in _NAMES:
        bench.table.load(name).in_flight = 0
    bench.wait_failing(1)
    assert bench.send() == 0


def test_refusing_upstreams_are_tried_one_request_at_a_time() -> None:
    """A refusal costs a round trip, so each request may find one back."""
    assert _Bench(refused=True).send() == len(_NAMES)


@pytest.mark.parametrize('seconds', [0.1, FAILED_PROBE_SECONDS])
def test_an_answer_or_time_without_probes_ends_the_state(
    seconds: float,
) -> None:
    """An upstream refuses a request as full, or nobody probes any more.

    The others are avoided: the hung one that has the idle connection would get
    every request, as attempts cancelled after their hedge are no failures.
    """
    bench = _Bench()
    sent_at = bench.clock.now()
    bench.clock.advance(seconds)
    if seconds < FAILED_PROBE_SECONDS:
        bench.table.record_report(_NAMES[0], LoadReport())
    # This probe was sent before the answer, so it tells nothing.
    bench.clock.advance(0.1)
    bench.table.record_failed_probe(_NAMES[0], sent_at)
    assert bench.send(3) == 3
    assert bench.table.load(_NAMES[0]).in_flight == (
        3 if seconds < FAILED_PROBE_SECONDS else 0
    )


def test_an_answered_probe_does_not_make_up_for_requests() -> None:
    """Each would admit a crowd of requests that wait until their deadlines."""
    bench = _Bench()
    bench.clock.advance(0.1)
    for name in _NAMES * 2:
        bench.table.record_timeout(name)
        bench.table.record_report(name, LoadReport(running=0))
    assert bench.send() == len(_NAMES)


def test_refused_callers_return_at_different_times() -> None:
    """A hundred callers are refused at once; the later, the longer it lasts."""
    bench = _Bench()
    bench.send()
    early = {bench.table.compute_retry_after(_SERVICE) for _ in range(100)}
    bench.wait_failing(3)
    late = {bench.table.compute_retry_after(_SERVICE) for _ in range(100)}
    assert len(early) > 30
    assert min(early) > 0
    assert max(early) < min(late)
    assert max(late) <= 6
