"""Requests under which upstreams ended: stopped, or kept from the last one."""

import msgspec

from guavagate.forwarding import (
    AttemptState,
    OutcomeKind,
)
from guavagate.models import UpstreamId
from guavagate.ports.configuration import RouteKind
from guavagate.quarantine import BrokenRun
from tests.forwarding.bench import (
    GOOD,
    LOST,
    Bench,
    make_call,
)
from tests.quarantine.common import stop
from tests.routing.test_routes import make_upstream


def test_a_stopped_request_is_refused_at_once_and_reaches_no_upstream() -> None:
    """Upstreams have ended under it; the refusal says that it has not run.

    Its caller learns when it may run again; a retry before is in vain.
    """
    bench = Bench(a=GOOD, b=GOOD)
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
    bench = Bench(a=(0.2, AttemptState.BROKEN, 0), b=GOOD)
    bench.clock.call_at(
        bench.clock.now() + 0.05,
        lambda: stop(bench.quarantine, make_call(0).content),
    )
    outcome, _ = bench.forward(RouteKind.IDEMPOTENT)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert len(bench.attempts.made) == 1


def test_another_body_at_the_path_of_a_stopped_request_is_served() -> None:
    """Only the request under which upstreams ended is stopped."""
    bench = Bench(a=GOOD, b=GOOD)
    other = msgspec.structs.replace(make_call(0), body=b'other')
    stop(bench.quarantine, other.content)
    outcome, _ = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER


def _make_bench_after_two_ends() -> Bench:
    """Return a bench where two of three upstreams ended under the request."""
    bench = Bench(a=LOST, b=LOST, c=GOOD)
    identity = make_call(0).content.identify()
    for name in 'ab':
        upstream = bench.upstreams.get(UpstreamId(name))
        assert upstream is not None
        run = BrokenRun(request=name, identity=identity, seconds=0.05)
        bench.quarantine.record_break(upstream, run)
        bench.clock.advance(0.2)
    return bench


def test_the_last_upstream_is_kept_from_what_ended_the_others() -> None:
    """A third end would leave all callers without an upstream for seconds."""
    bench = _make_bench_after_two_ends()
    outcome, _ = bench.forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert 1 < outcome.retry_after < 6
    assert not bench.attempts.made


def test_other_requests_go_to_the_last_upstream() -> None:
    """They wait for nothing, and try none that has ended."""
    bench = _make_bench_after_two_ends()
    bench.body = b'other'
    outcome, _ = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER
    assert bench.attempts.made == ['c']


def test_a_request_kept_from_the_last_upstream_is_served_afterwards() -> None:
    """Its upstreams were killed by chance; others are back by then."""
    bench = _make_bench_after_two_ends()
    bench.clock.advance(6)
    bench.attempts.plans = {'a': GOOD, 'b': GOOD, 'c': GOOD}
    outcome, _ = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER


def test_a_single_upstream_that_is_back_serves_a_suspect() -> None:
    """The service has no other; it was restarted twice under the request."""
    bench = Bench(a=GOOD)
    identity = make_call(0).content.identify()
    for incarnation in (1, 2):
        upstream = make_upstream('a', incarnation=incarnation)
        bench.upstreams.put(upstream)
        run = BrokenRun(request='1', identity=identity, seconds=0.05)
        bench.quarantine.record_break(upstream, run)
        bench.clock.advance(6)
    bench.upstreams.put(make_upstream('a', incarnation=3))
    outcome, _ = bench.forward()
    assert outcome.kind is OutcomeKind.ANSWER
