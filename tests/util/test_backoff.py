"""Pauses after failures in a row."""

from guavagate.clock import PausedClock
from guavagate.models import UpstreamId, ZoneId
from guavagate.routing import UpstreamTable
from guavagate.util.backoff import compute_backoff
from tests.jobs.samplers import make_upstream


def test_a_pause_doubles_up_to_the_longest() -> None:
    """The first failure has the first pause, and none has no pause."""
    pauses = [compute_backoff(1, failures, 4) for failures in range(5)]
    assert pauses == [0, 1, 2, 4, 4]


def test_thousands_of_failures_in_a_row_do_not_overflow() -> None:
    """An upstream that is gone for an hour raised an error at each request."""
    upstreams = UpstreamTable(PausedClock(), ZoneId('z'))
    upstreams.put(make_upstream('x'))
    for _ in range(1200):
        upstreams.record_failure(UpstreamId('x'))
    assert compute_backoff(0.25, 10**9, 2) == 2
