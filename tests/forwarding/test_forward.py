"""Requests passed on: repeated where allowed, refused truly and at once."""

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
from tests.routing.test_routes import make_route, make_upstream


class _Attempts:
    """Each upstream answers after a while in a set way."""

    def __init__(self, clock: PausedClock) -> None:
        self.clock = clock
        self.plans: dict[str, tuple[float, AttemptState, int]] = {}
        self.made: list[str] = []
        self.cut: list[str] = []

    def make(self, call: Call, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Answer as planned."""
        self.made.append(upstream.id)
        seconds, state, status = self.plans[upstream.id]
        try:
            self.clock.sleep(seconds)
        except BaseException:
            self.cut.append(upstream.id)
            raise
        return Attempt(upstream, state, status, [], upstream.id.encode())


class _Setting:
    """A forwarder before a few upstreams."""

    def __init__(self, **plans: tuple[float, AttemptState, int]) -> None:
        self.clock = PausedClock()
        self.upstreams = UpstreamTable(self.clock, ZoneId('z'))
        self.attempts = _Attempts(self.clock)
        self.attempts.plans = plans
        for name in plans:
            zone = 'z' if name == 'a' else 'y'
            self.upstreams.put(make_upstream(name, zone))
        self.forwarder = Forwarder(
            self.clock,
            self.upstreams,
            self.attempts,  # type: ignore[arg-type]
        )
        self.left: Queue = Queue()

    def forward(
        self, kind: RouteKind = RouteKind.IDEMPOTENT, limit: float = 1.5
    ) -> tuple[Outcome, float]:
        """Forward one request; return its outcome and how long it took."""
        began = self.clock.now()
        call = Call(
            id='1',
            request=Request('GET', '/', []),
            body=b'',
            until=began + limit,
        )
        task = self.clock.spawn(
            self.forwarder.forward,
            call,
            make_route('/', kind=kind),
            ServiceId('s'),
            self.left,
        )
        ended: list[float] = []
        task.link(lambda _: ended.append(self.clock.now()))
        self.clock.run_until(task.ready, 10)
        self.clock.settle()
        return task.get(block=False), ended[0] - began


_GOOD = (0.05, AttemptState.ANSWERED, 200)
_SLOW = (1.0, AttemptState.ANSWERED, 200)
_FAILED = (0.01, AttemptState.ANSWERED, 500)
_LOST = (0.01, AttemptState.BROKEN, 0)
_FULL = (0.01, AttemptState.NOT_RUN, 503)
_SILENT = (60.0, AttemptState.BROKEN, 0)


def test_a_slow_upstream_is_hedged_and_then_left() -> None:
    """The nearest upstream is slow; another answers within the objective.

    The slow attempt is cut, so the upstream does not work in vain.
    """
    held = _Setting(a=_SLOW, b=_GOOD)
    outcome, seconds = held.forward()
    assert outcome.kind is OutcomeKind.ANSWER
    assert seconds < 0.2
    assert held.attempts.cut == ['a']


def test_a_lost_answer_is_asked_for_again_where_that_is_allowed() -> None:
    """The request may have run; it is idempotent."""
    outcome, _ = _Setting(a=_LOST, b=_GOOD).forward()
    assert outcome.kind is OutcomeKind.ANSWER


def test_what_may_not_be_repeated_runs_once() -> None:
    """The answer is lost: the caller is told that, and nothing is repeated.

    A second attempt would file the same notice twice; "not run" would be a
    lie that makes the caller do it.
    """
    held = _Setting(a=_LOST, b=_GOOD)
    outcome, _ = held.forward(RouteKind.NON_IDEMPOTENT)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert held.attempts.made == ['a']


def test_what_has_not_run_goes_elsewhere_whatever_its_kind() -> None:
    """The first upstream is full and says that it ran nothing."""
    outcome, _ = _Setting(a=_FULL, b=_GOOD).forward(RouteKind.NON_IDEMPOTENT)
    assert outcome.kind is OutcomeKind.ANSWER


def test_no_hedge_for_what_may_not_be_repeated() -> None:
    """A slow upstream is waited for."""
    held = _Setting(a=_SLOW, b=_GOOD)
    held.forward(RouteKind.NON_IDEMPOTENT)
    assert held.attempts.made == ['a']


def test_all_full_is_refused_at_once_and_truly() -> None:
    """Nothing has run anywhere; the caller learns when to come back."""
    outcome, seconds = _Setting(a=_FULL, b=_FULL).forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.1
    assert outcome.retry_after > 0


def test_a_failure_that_an_upstream_answered_is_passed_on() -> None:
    """Both upstreams answer 500; the caller gets the upstream's own answer."""
    outcome, _ = _Setting(a=_FAILED, b=_FAILED).forward()
    assert outcome.attempt is not None
    assert outcome.attempt.status == 500


def test_at_the_time_limit_the_caller_is_answered() -> None:
    """No upstream answers; the attempts are cut as the caller is told."""
    held = _Setting(a=_SILENT, b=_SILENT)
    outcome, seconds = held.forward(limit=0.5)
    assert outcome.kind is OutcomeKind.LATE
    assert seconds < 0.6
    assert sorted(held.attempts.cut) == ['a', 'b']


def test_a_caller_that_left_costs_the_upstream_nothing_more() -> None:
    """The caller closes its connection while an upstream works."""
    held = _Setting(a=_SLOW)
    held.clock.call_at(held.clock.now() + 0.1, lambda: held.left.put(None))
    outcome, seconds = held.forward()
    assert outcome.kind is OutcomeKind.CALLER_LEFT
    assert seconds < 0.2
    assert held.attempts.cut == ['a']


def test_no_more_upstreams_than_the_route_allows() -> None:
    """Three upstreams lose their answers; the route allows two."""
    held = _Setting(a=_LOST, b=_LOST, c=_GOOD)
    outcome, _ = held.forward()
    assert len(held.attempts.made) == 2
    assert outcome.kind in {OutcomeKind.UNKNOWN, OutcomeKind.ANSWER}


def test_without_upstreams_the_refusal_is_immediate() -> None:
    """No upstream of the service is registered."""
    outcome, seconds = _Setting().forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.01


def test_a_lost_answer_at_the_time_limit_is_told_as_late() -> None:
    """The attempts end with the caller's time; 504 says what happened."""
    lost = (0.5, AttemptState.BROKEN, 0)
    outcome, _ = _Setting(a=lost).forward(limit=0.5)
    assert outcome.kind is OutcomeKind.LATE


def test_a_dark_service_refuses_at_once_and_truly() -> None:
    """All upstreams hang. The first callers are held until their time is over.

    Those that come while somebody is finding out are told that nothing ran,
    instead of holding a connection for as long.
    """
    setting = _Setting(a=_SILENT, b=_SILENT)
    for _ in range(2):
        outcome, seconds = setting.forward()
        assert outcome.kind is OutcomeKind.LATE
        assert seconds > 1
    for name in 'ab':
        setting.upstreams.load(UpstreamId(name)).in_flight += 1
    made = len(setting.attempts.made)
    outcome, seconds = setting.forward()
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert seconds < 0.05
    assert outcome.retry_after > 0
    assert len(setting.attempts.made) == made


def test_a_caller_in_a_hurry_makes_no_upstream_dark() -> None:
    """It allows less than a usual answer takes."""
    setting = _Setting(a=_SLOW, b=_SLOW)
    for _ in range(5):
        setting.forward(limit=0.2)
    assert setting.upstreams.load(UpstreamId('a')).timeouts == 0
