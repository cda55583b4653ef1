"""A service whose upstreams answer no probe or refuse connections."""

import random

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.routing import UpstreamTable
from guavagate.routing._choice import SILENT_SECONDS
from guavagate.routing._outage import (
    RETRY_BOUNDS,
    RETRY_SPREAD,
    TRIAL_SECONDS,
)
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
        self.silence(refused=refused)

    def silence(self, *, refused: bool = False) -> None:
        """Let a probe of each upstream get no answer."""
        for name in _NAMES:
            self.table.record_silence(name, self.clock.now(), refused=refused)

    def send(self, requests: int = 1) -> int:
        """Return how many of these requests are sent to an upstream."""
        sent = 0
        for _ in range(requests):
            upstream = self.table.choose(_SERVICE, set())
            if upstream is not None:
                sent += 1
                self.table.load(upstream.id).in_flight += 1
        return sent

    def wait_silently(self, seconds: float) -> None:
        """Let time pass in which probes get no answer either."""
        until = self.clock.now() + seconds
        while self.clock.now() < until:
            self.clock.advance(1)
            self.silence()


def test_unanswered_probes_make_a_service_unavailable_at_once() -> None:
    """No request has timed out yet, and none has to."""
    assert _Bench().send(10) == 0


def test_a_silent_upstream_is_tried_by_one_request_now_and_then() -> None:
    """Only the health path may be broken; each trial may be held in vain."""
    bench = _Bench()
    bench.wait_silently(TRIAL_SECONDS - 1)
    assert bench.send(10) == 0
    bench.wait_silently(1)
    assert bench.send(10) == len(_NAMES)
    for name in _NAMES:
        bench.table.load(name).in_flight = 0
    bench.wait_silently(1)
    assert bench.send(10) == 0


def test_refusing_upstreams_are_tried_one_request_at_a_time() -> None:
    """A refusal costs a round trip, so each request may find one back."""
    bench = _Bench(refused=True)
    assert bench.send(10) == len(_NAMES)
    assert bench.send() == 0


def test_any_answer_ends_the_state() -> None:
    """An upstream refuses a request as full: it responds."""
    bench = _Bench()
    bench.clock.advance(0.1)
    bench.table.record_report(_NAMES[0], LoadReport())
    assert bench.send(10) == 10


def test_a_silent_upstream_is_avoided_while_others_respond() -> None:
    """A hung upstream with the idle connection would get every request.

    Attempts there are cancelled once the hedge is answered, so that they count
    as no failure.
    """
    bench = _Bench()
    bench.clock.advance(0.1)
    for name in _NAMES[1:]:
        bench.table.record_report(name, LoadReport())
    assert bench.send(8) == 8
    assert not bench.table.load(_NAMES[0]).in_flight


def test_a_probe_sent_before_an_answer_tells_nothing() -> None:
    """The probe was lost, and a response arrived while it was awaited."""
    bench = _Bench()
    sent_at = bench.clock.now()
    bench.clock.advance(0.05)
    bench.table.record_report(_NAMES[0], LoadReport())
    bench.clock.advance(0.05)
    bench.table.record_silence(_NAMES[0], sent_at)
    assert bench.send(10) == 10


def test_silence_lapses_without_further_probes() -> None:
    """Nobody probes any more, so that requests have to find out."""
    bench = _Bench()
    bench.clock.advance(SILENT_SECONDS)
    assert bench.send(10) == 10


def test_an_answered_probe_does_not_make_up_for_requests() -> None:
    """Upstreams answer probes, but requests time out at each of them.

    Otherwise each answered probe would admit a crowd of requests that wait
    until their deadlines.
    """
    bench = _Bench()
    bench.clock.advance(0.1)
    for name in _NAMES:
        bench.table.record_timeout(name)
        bench.table.record_timeout(name)
        bench.table.record_report(name, LoadReport(running=0))
    assert bench.send(10) == len(_NAMES)


def test_refused_callers_return_at_different_times() -> None:
    """A hundred callers are refused at once; the later, the longer it lasts."""
    bench = _Bench()
    bench.send()
    early = [bench.table.compute_retry_after(_SERVICE) for _ in range(100)]
    bench.wait_silently(3)
    late = [bench.table.compute_retry_after(_SERVICE) for _ in range(100)]
    assert len(set(early)) > 30
    assert RETRY_BOUNDS[0] * RETRY_SPREAD[0] <= min(early)
    assert max(early) <= RETRY_BOUNDS[0] * RETRY_SPREAD[1]
    assert min(late) > max(early)
    assert max(late) <= RETRY_BOUNDS[1] * RETRY_SPREAD[1]
