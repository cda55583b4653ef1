"""Forwarded requests: retried where allowed, otherwise refused at once."""

import msgspec
from gevent.queue import Queue

from guavagate.clock import PausedClock
from guavagate.forwarding import (
    Attempt,
    AttemptState,
    Forwarder,
    Outcome,
    OutcomeKind,
)
from guavagate.http1 import Request
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.configuration import RouteKind
from guavagate.ports.dialect import Call
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from tests.quarantine.common import make_quarantine, stop
from tests.routing.test_routes import make_route, make_upstream


class _FakeAttemptRunner:
    """Fake runner: each upstream answers as planned after a delay."""

    def __init__(self, clock: PausedClock) -> None:
        self.clock = clock
        self.plans: dict[str, tuple[float, AttemptState, int]] = {}
        self.made: list[str] = []
        self.cancelled: list[str] = []

    def make(self, call: Call, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Answer as planned."""
        self.made.append(upstream.id)
        seconds, state, status = self.plans[upstream.id]
        try:
            self.clock.sleep(seconds)
        except BaseException:
            self.cancelled.append(upstream.id)
            raise
        return Attempt(upstream, state, status, [], upstream.id.encode())


class _Bench:
    """A forwarder with a few upstreams."""

    def __init__(self, **plans: tuple[float, AttemptState, int]) -> None:
        self.clock = PausedClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.attempts = _FakeAttemptRunner(self.clock)
        self.attempts.plans = plans
        for name in plans:
            zone = 'z' if name == 'a' else 'y'
            self.upstreams.put(make_upstream(name, zone))
        self.quarantine = make_quarantine(self.clock, self.upstreams)
        self.forwarder = Forwarder(
            self.clock,
            self.upstreams,
            self.attempts,  # type: ignore[arg-type]
            self.quarantine,
        )
        self.results: Queue = Queue()

    def forward(
        self, kind: RouteKind = RouteKind.IDEMPOTENT, limit: float = 1.5
    ) -> tuple[Outcome, float]:
        """Forward one request; return its outcome and how long it took."""
        started_at = self.clock.now()
        call = make_call(started_at + limit)
        task = self.clock.spawn(
            self.forwarder.forward,
            call,
            make_route('/', kind=kind),
            ServiceId('s'),
            self.results,
        )
        ended_at: list[float] = []
        task.link(lambda _: ended_at.append(self.clock.now()))
        self.clock.run_until(task.ready, 10)
        self.clock.settle()
        return task.get(block=False), ended_at[0] - started_at


def make_call(until: float) -> Call:
    """Return the request that the bench forwards."""
    return Call(id='1', request=Request('GET', '/', []), body=b'', until=until)


_GOOD = (0.05, AttemptState.ANSWERED, 200)
_SLOW = (1.0, AttemptState.ANSWERED, 200)
_FAILED = (0.01, AttemptState.ANSWERED, 500)
_LOST = (0.01, AttemptState.BROKEN, 0)
_FULL = (0.01, AttemptState.NOT_RUN, 503)
_UNRESPONSIVE = (60.0, AttemptState.BROKEN, 0)


def test_a_slow_upstream_is_hedged_and_its_attempt_cancelled() -> None:
    """The nearest upstream is slow; another answers within the objective.

    The slow attempt is cancelled, so the upstream stops its useless work.
    """
    bench = _Bench(a=_SLOW, b=_GOOD)
    outcome, seconds = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER
    assert seconds < 0.2
    assert bench.attempts.cancelled == ['a']


def test_a_request_is_retried_after_a_lost_answer_if_idempotent() -> None:
    """The request may have run, but it is idempotent."""
    outcome, _ = _Bench(a=_LOST, b=_GOOD).forward()
    assert outcome.kind is OutcomeKind.ANSWER


def test_a_non_idempotent_request_runs_once() -> None:
    """The answer is lost: the outcome is unknown and there is no retry.

    A second attempt could run the request twice; a wrong "not run" would make
    the caller do so.
    """
    bench = _Bench(a=_LOST, b=_GOOD)
    outcome, _ = bench.forward(RouteKind.NON_IDEMPOTENT)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert bench.attempts.made == ['a']


def test_a_request_that_has_not_run_is_retried_whatever_its_kind() -> None:
    """The first upstream is full and answers that it ran nothing."""
    outcome, _ = _Bench(a=_FULL, b=_GOOD).forward(RouteKind.NON_IDEMPOTENT)
    assert outcome.kind is OutcomeKind.ANSWER


def test_a_non_idempotent_request_is_not_hedged() -> None:
    """The forwarder waits for the slow upstream."""
    bench = _Bench(a=_SLOW, b=_GOOD)
    bench.forward(RouteKind.NON_IDEMPOTENT)
    assert bench.attempts.made == ['a']


def test_a_request_is_refused_at_once_if_all_upstreams_are_full() -> None:
    """Nothing has run; the refusal says when to retry."""
    outcome, seconds = _Bench(a=_FULL, b=_FULL).forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.1
    assert outcome.retry_after > 0


def test_a_failure_answered_by_an_upstream_is_forwarded() -> None:
    """Both upstreams answer 500; the caller receives the upstream's answer."""
    outcome, _ = _Bench(a=_FAILED, b=_FAILED).forward()
    assert outcome.attempt is not None
    assert outcome.attempt.status == 500


def test_a_request_times_out_at_its_deadline() -> None:
    """No upstream answers; the attempts are cancelled at the time limit."""
    bench = _Bench(a=_UNRESPONSIVE, b=_UNRESPONSIVE)
    outcome, seconds = bench.forward(limit=0.5)
    assert outcome.kind is OutcomeKind.LATE
    assert seconds < 0.6
    assert sorted(bench.attempts.cancelled) == ['a', 'b']


def test_the_attempt_is_cancelled_when_the_caller_disconnects() -> None:
    """The caller disconnects while an upstream works."""
    bench = _Bench(a=_SLOW)
    bench.clock.call_at(
        bench.clock.now() + 0.1, lambda: bench.results.put(None)
    )
    outcome, seconds = bench.forward()
    assert outcome.kind is OutcomeKind.CALLER_LEFT
    assert seconds < 0.2
    assert bench.attempts.cancelled == ['a']


def test_at_most_the_attempts_of_the_route_are_made() -> None:
    """Two of three upstreams lose answers; the route allows two attempts."""
    bench = _Bench(a=_LOST, b=_LOST, c=_GOOD)
    outcome, _ = bench.forward()
    assert len(bench.attempts.made) == 2
    assert outcome.kind in {OutcomeKind.UNKNOWN, OutcomeKind.ANSWER}


def test_without_upstreams_the_refusal_is_immediate() -> None:
    """No upstream of the service is registered."""
    outcome, seconds = _Bench().forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.01


def test_a_lost_answer_at_the_deadline_is_a_timeout() -> None:
    """The attempts fail at the caller's deadline; the outcome is a timeout."""
    lost = (0.5, AttemptState.BROKEN, 0)
    outcome, _ = _Bench(a=lost).forward(limit=0.5)
    assert outcome.kind is OutcomeKind.LATE


def test_requests_to_an_unavailable_service_are_refused_at_once() -> None:
    """All upstreams hang; the first requests wait until their deadlines.

    While requests that test the upstreams are in flight, others are refused at
    once as not run, instead of occupying a connection until their deadlines.
    """
    bench = _Bench(a=_UNRESPONSIVE, b=_UNRESPONSIVE)
    for _ in range(2):
        outcome, seconds = bench.forward()
        assert outcome.kind is OutcomeKind.LATE
        assert seconds > 1
    for name in 'ab':
        bench.upstreams.load(UpstreamId(name)).in_flight += 1
    made = len(bench.attempts.made)
    outcome, seconds = bench.forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.05
    assert outcome.retry_after > 0
    assert len(bench.attempts.made) == made


def test_short_deadlines_make_no_upstream_unresponsive() -> None:
    """Five requests have deadlines that are shorter than an answer takes.

    Their timeouts say nothing about the upstream and are not counted.
    """
    bench = _Bench(a=_SLOW, b=_SLOW)
    for _ in range(5):
        bench.forward(limit=0.2)
    assert bench.upstreams.load(UpstreamId('a')).timeouts == 0


def test_a_stopped_request_is_refused_at_once_and_reaches_no_upstream() -> None:
    """Upstreams have ended under it; the refusal says that it has not run.

    Its caller learns when it may run again; a retry before is in vain.
    """
    bench = _Bench(a=_GOOD, b=_GOOD)
    stop(bench.quarantine, make_call(0).content)
    outcome, seconds = bench.forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert outcome.retry_after > 1
    assert seconds < 0.01
    assert not bench.attempts.made


def test_a_request_that_is_stopped_between_attempts_has_run() -> None:
    """The first attempt ends an upstream, the third of the fleet.

    There is no second attempt, and the caller is not told that it did not run.
    """
    bench = _Bench(a=(0.2, AttemptState.BROKEN, 0), b=_GOOD)
    bench.clock.call_at(
        bench.clock.now() + 0.05,
        lambda: stop(bench.quarantine, make_call(0).content),
    )
    outcome, _ = bench.forward(RouteKind.IDEMPOTENT)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert len(bench.attempts.made) == 1


def test_another_body_at_the_path_of_a_stopped_request_is_served() -> None:
    """Only the request under which upstreams ended is stopped."""
    bench = _Bench(a=_GOOD, b=_GOOD)
    other = msgspec.structs.replace(make_call(0), body=b'other')
    stop(bench.quarantine, other.content)
    outcome, _ = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER
