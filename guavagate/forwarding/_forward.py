"""Forwards requests whose complete answer is read before it is passed on.

Failure pattern: one of three upstreams is slow or loses some answers, so every
third request would be as slow as the slowest upstream. An idempotent request
goes to a second upstream after a delay, or at once after a failure; the first
complete answer counts and the other attempt is cancelled. When all upstreams
are slow, a second attempt only adds load, so a budget limits these hedges.
"""

from typing import Final, Protocol

from gevent.queue import Queue

from guavagate.clock import Clock, Task
from guavagate.decisions.retries import HEDGE_SHARE, Budget
from guavagate.forwarding._attempt import (
    GRACE_SECONDS,
    Attempt,
    AttemptRunner,
    AttemptState,
)
from guavagate.forwarding._guard import Refusal, RequestGuard
from guavagate.forwarding._outcome import Outcome, OutcomeKind
from guavagate.helpers.waits import QueueTimeoutError, get_within
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.ports.upstreams import Upstream

# Share of the objective after which a second attempt starts; the rest is enough
# for a usual answer from another upstream.
HEDGE_DELAY_SHARE: Final = 0.45
MIN_HEDGE_SECONDS: Final = 0.03
# In multiples of the objective; a working upstream has answered by then.
TIMEOUT_OBJECTIVES: Final = 3.0
MIN_TIMEOUT_SECONDS: Final = 0.5
# Longer, as no upstream is registered or none responds.
UNAVAILABLE_RETRY_SECONDS: Final = 0.4
_SERVER_ERROR: Final = 500


class _Progress:
    """The attempts of one request."""

    def __init__(self) -> None:
        self.tried: set[UpstreamId] = set()
        self.tasks: list[Task] = []
        self.results: Queue = Queue()
        self.running = 0
        self.may_repeat = False
        self.may_have_run = False
        self.failed_answers = 0
        self.failed_answer: Attempt | None = None
        # Why no further attempt was started.
        self.refusal: Refusal | None = None
        # Send time by upstream, without those that have not run the request.
        self.sent_at: dict[UpstreamId, float] = {}
        # Send time by upstream, for the attempts in flight.
        self.unanswered: dict[UpstreamId, float] = {}


class UpstreamChooser(Protocol):
    """Chooses an upstream for each attempt."""

    def choose(
        self, service: ServiceId, tried: set[UpstreamId]
    ) -> Upstream | None:
        """Return an upstream that was not tried, or `None`."""

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Record that an upstream sent no answer in the time it had."""


class Forwarder:
    """Forwards requests of routes without streaming."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamChooser,
        runner: AttemptRunner,
        guard: RequestGuard,
    ) -> None:
        self._guard = guard
        self._clock = clock
        self._upstreams = upstreams
        self._runner = runner
        self._hedges = Budget(HEDGE_SHARE)

    def forward(
        self,
        call: Call,
        route: Route,
        service: ServiceId,
        results: Queue,
        *,
        may_repeat: bool = False,
    ) -> Outcome:
        """Return the outcome; attempts that are still running are cancelled.

        Parameters
        ----------
        results
            Queue that receives `None` when the caller disconnects.
        may_repeat
            Whether the request may be repeated regardless of its route.
        """
        progress = _Progress()
        progress.results = results
        progress.may_repeat = may_repeat or route.kind is RouteKind.IDEMPOTENT
        try:
            outcome = self._run(call, route, service, progress)
            outcome.failed_answers = progress.failed_answers
            outcome.began_at = min(progress.sent_at.values(), default=None)
            return outcome
        finally:
            for task in progress.tasks:
                task.kill(block=False)

    def _run(
        self,
        call: Call,
        route: Route,
        service: ServiceId,
        progress: _Progress,
    ) -> Outcome:
        may_repeat = progress.may_repeat
        hedge_delay = max(
            route.objective * HEDGE_DELAY_SHARE, MIN_HEDGE_SECONDS
        )
        hedge_at = self._clock.now() + hedge_delay
        give_up_at = call.until + GRACE_SECONDS
        self._start(call, route, service, progress)
        while progress.running:
            now = self._clock.now()
            if now >= give_up_at:
                self._record_timeouts(progress, route)
                return Outcome(OutcomeKind.LATE, reason='no answer in time')
            wait_until = (
                hedge_at if may_repeat and hedge_at > now else give_up_at
            )
            try:
                attempt = get_within(
                    self._clock, progress.results, wait_until - now
                )
            except QueueTimeoutError:
                if wait_until < give_up_at and self._hedges.spend():
                    self._start(call, route, service, progress)
                continue
            if attempt is None:
                self._record_timeouts(progress, route)
                return Outcome(OutcomeKind.CALLER_LEFT)
            progress.unanswered.pop(attempt.upstream.id, None)
            progress.running -= 1
            if attempt.is_final:
                self._hedges.earn()
                self._guard.record_answer(call)
                return Outcome(OutcomeKind.ANSWER, attempt)
            self._record_failure(progress, attempt)
            if may_repeat or not progress.may_have_run:
                self._start(call, route, service, progress)
        return self._conclude(call, progress)

    def _record_timeouts(self, progress: _Progress, route: Route) -> None:
        """Record the upstreams that had enough time but did not answer."""
        needed = max(route.objective * TIMEOUT_OBJECTIVES, MIN_TIMEOUT_SECONDS)
        before = self._clock.now() - needed
        for upstream, sent_at in progress.unanswered.items():
            if sent_at <= before:
                self._upstreams.record_timeout(upstream)

    def _record_failure(self, progress: _Progress, attempt: Attempt) -> None:
        if attempt.state is AttemptState.NOT_RUN:
            progress.sent_at.pop(attempt.upstream.id, None)
        else:
            progress.may_have_run = True
        if attempt.state is AttemptState.ANSWERED:
            progress.failed_answer = attempt
            progress.failed_answers += attempt.status == _SERVER_ERROR

    def _start(
        self,
        call: Call,
        route: Route,
        service: ServiceId,
        progress: _Progress,
    ) -> None:
        if len(progress.tried) >= max(route.max_attempts, 1):
            return
        progress.refusal = self._guard.check(call, service)
        if progress.refusal is not None:
            return
        upstream = self._upstreams.choose(service, progress.tried)
        if upstream is None:
            return
        progress.tried.add(upstream.id)
        progress.sent_at[upstream.id] = self._clock.now()
        progress.unanswered[upstream.id] = self._clock.now()
        progress.running += 1
        # If the upstream closes an idle connection just as it is reused, it is
        # unknown whether the request ran. A request that may not be repeated
        # would then be lost, so it gets a new connection.
        reuse = progress.may_repeat
        results = progress.results

        def run() -> None:
            results.put(self._runner.make(call, upstream, reuse=reuse))

        progress.tasks.append(self._clock.spawn(run))

    def _conclude(self, call: Call, progress: _Progress) -> Outcome:
        if progress.failed_answer is not None:
            return Outcome(OutcomeKind.ANSWER, progress.failed_answer)
        if progress.may_have_run and self._clock.now() >= call.until:
            return Outcome(OutcomeKind.LATE, reason='no answer in time')
        if progress.refusal is not None:
            return progress.refusal.make_outcome(ran=progress.may_have_run)
        if progress.may_have_run:
            return Outcome(OutcomeKind.UNKNOWN, reason='answers were lost')
        if progress.tried:
            return Outcome(OutcomeKind.NOT_RUN, reason='no upstream took it')
        return Outcome(
            OutcomeKind.NOT_RUN,
            reason='no upstream answers',
            retry_after=UNAVAILABLE_RETRY_SECONDS,
        )
