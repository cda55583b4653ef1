"""Forwarded requests: retried where allowed, otherwise refused at once."""

from guavagate.forwarding import (
    AttemptState,
    OutcomeKind,
)
from guavagate.models import UpstreamId
from guavagate.ports.configuration import RouteKind
from tests.forwarding.bench import (
    FAILED,
    FULL,
    GOOD,
    LOST,
    SLOW,
    UNRESPONSIVE,
    Bench,
)


def test_a_slow_upstream_is_hedged_and_its_attempt_cancelled() -> None:
    """The nearest upstream is slow; another answers within the objective.

    The slow attempt is cancelled, so the upstream stops its useless work.
    """
    bench = Bench(a=SLOW, b=GOOD)
    outcome, seconds = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER
    assert seconds < 0.2
    assert bench.attempts.cancelled == ['a']


def test_a_request_is_retried_after_a_lost_answer_if_idempotent() -> None:
    """The request may have run, but it is idempotent."""
    outcome, _ = Bench(a=LOST, b=GOOD).forward()
    assert outcome.kind is OutcomeKind.ANSWER


def test_a_non_idempotent_request_runs_once() -> None:
    """The answer is lost: the outcome is unknown and there is no retry.

    A second attempt could run the request twice; a wrong "not run" would make
    the caller do so.
    """
    bench = Bench(a=LOST, b=GOOD)
    outcome, _ = bench.forward(RouteKind.NON_IDEMPOTENT)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert bench.attempts.made == ['a']


def test_a_request_that_has_not_run_is_retried_whatever_its_kind() -> None:
    """The first upstream is full and answers that it ran nothing."""
    outcome, _ = Bench(a=FULL, b=GOOD).forward(RouteKind.NON_IDEMPOTENT)
    assert outcome.kind is OutcomeKind.ANSWER


def test_a_non_idempotent_request_is_not_hedged() -> None:
    """The forwarder waits for the slow upstream."""
    bench = Bench(a=SLOW, b=GOOD)
    bench.forward(RouteKind.NON_IDEMPOTENT)
    assert bench.attempts.made == ['a']


def test_a_request_is_refused_at_once_if_all_upstreams_are_full() -> None:
    """Nothing has run; the refusal says when to retry."""
    outcome, seconds = Bench(a=FULL, b=FULL).forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.1
    assert outcome.retry_after > 0


def test_a_failure_answered_by_an_upstream_is_forwarded() -> None:
    """Both upstreams answer 500; the caller receives the upstream's answer."""
    outcome, _ = Bench(a=FAILED, b=FAILED).forward()
    assert outcome.attempt is not None
    assert outcome.attempt.status == 500


def test_a_request_times_out_at_its_deadline() -> None:
    """No upstream answers; the attempts are cancelled at the time limit."""
    bench = Bench(a=UNRESPONSIVE, b=UNRESPONSIVE)
    outcome, seconds = bench.forward(limit=0.5)
    assert outcome.kind is OutcomeKind.LATE
    assert seconds < 0.6
    assert sorted(bench.attempts.cancelled) == ['a', 'b']


def test_the_attempt_is_cancelled_when_the_caller_disconnects() -> None:
    """The caller disconnects while an upstream works."""
    bench = Bench(a=SLOW)
    bench.clock.call_at(
        bench.clock.now() + 0.1, lambda: bench.results.put(None)
    )
    outcome, seconds = bench.forward()
    assert outcome.kind is OutcomeKind.CALLER_LEFT
    assert seconds < 0.2
    assert bench.attempts.cancelled == ['a']


def test_at_most_the_attempts_of_the_route_are_made() -> None:
    """Two of three upstreams lose answers; the route allows two attempts."""
    bench = Bench(a=LOST, b=LOST, c=GOOD)
    outcome, _ = bench.forward()
    assert len(bench.attempts.made) == 2
    assert outcome.kind in {OutcomeKind.UNKNOWN, OutcomeKind.ANSWER}


def test_without_upstreams_the_refusal_is_immediate() -> None:
    """No upstream of the service is registered."""
    outcome, seconds = Bench().forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.01


def test_a_lost_answer_at_the_deadline_is_a_timeout() -> None:
    """The attempts fail at the caller's deadline; the outcome is a timeout."""
    lost = (0.5, AttemptState.BROKEN, 0)
    outcome, _ = Bench(a=lost).forward(limit=0.5)
    assert outcome.kind is OutcomeKind.LATE


def test_requests_to_an_unavailable_service_are_refused_at_once() -> None:
    """All upstreams hang; the first requests wait until their deadlines.

    While requests that test the upstreams are in flight, others are refused at
    once as not run, instead of occupying a connection until their deadlines.
    """
    bench = Bench(a=UNRESPONSIVE, b=UNRESPONSIVE)
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
    bench = Bench(a=SLOW, b=SLOW)
    for _ in range(5):
        bench.forward(limit=0.2)
    assert bench.upstreams.load(UpstreamId('a')).timeouts == 0
