"""Requests while all zones of a service are evacuated."""

from guavagate.clock import PausedClock
from guavagate.forwarding import AttemptRunner, AttemptState, OutcomeKind
from guavagate.http1 import ConnectionPool
from guavagate.models import UpstreamId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.configuration import RouteKind
from guavagate.routing import Obstacle
from tests.forwarding.bench import GOOD, Bench, make_call
from tests.forwarding.test_keep_alive import _Bench as KeepAliveBench

_ZONES = (ZoneId('y'), ZoneId('z'))


def test_without_a_zone_a_request_is_refused_at_once() -> None:
    """It would wait for an upstream until its deadline.

    It is told when to return, and served as soon as one zone is back.
    """
    bench = Bench(a=GOOD, b=GOOD)
    bench.upstreams.set_evacuated(frozenset(_ZONES))
    for kind in (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT):
        outcome, seconds = bench.forward(kind)
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.reason == 'no upstream: its zone is evacuated'
        assert seconds == 0
        assert 0.2 <= outcome.retry_after <= 6
    assert not bench.attempts.made
    bench.upstreams.set_evacuated(frozenset(_ZONES[:1]))
    assert bench.forward()[0].kind is OutcomeKind.ANSWER
    assert bench.attempts.made == ['a']


def test_a_request_that_the_check_stops_ejects_no_upstream() -> None:
    """It was chosen right before the evacuation; nothing was sent to it.

    The upstream would get no requests for seconds after its zone's return.
    """
    bench = Bench(a=GOOD)
    clock: PausedClock = bench.clock
    runner = AttemptRunner(
        clock,
        ConnectionPool(clock),
        bench.upstreams,
        PlatformDialect(),
        bench.quarantine,
    )
    stopped: list[Obstacle] = []
    bench.upstreams.subscribe_stopped(stopped.append)
    bench.upstreams.set_evacuated(frozenset(_ZONES))
    upstream = bench.upstreams.registered()[0]
    for _ in range(3):
        attempt = runner.make(make_call(clock.now() + 1), upstream, reuse=True)
        assert attempt.state is AttemptState.NOT_RUN
    assert stopped == [Obstacle.EVACUATED] * 3
    assert bench.upstreams.load(UpstreamId('a')).ejected_until <= clock.now()


def test_a_connection_to_the_zone_is_not_kept() -> None:
    """A probe over an idle connection counts as a request."""
    bench = KeepAliveBench()
    bench.table.set_evacuated(
        frozenset(each.zone for each in bench.table.registered())
    )
    bench.clock.advance(20)
    assert not bench.probes
