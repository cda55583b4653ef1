"""Forwards requests whose complete answer is read before it is passed on.

Failure pattern: one of three upstreams is slow or loses some answers, so every
third request would be as slow as the slowest upstream. An idempotent request
goes to a second upstream after a delay, or at once after a failure; the first
complete answer counts and the other attempt is cancelled. When all upstreams
are slow, a second attempt only adds load, so a budget limits these hedges.

A request without any answer has the upstreams probed (`_outages`). When none of
them responds, an idempotent request ends at once; when one does, the request is
tried once more, as those tried may hang. A non-idempotent one waits until its
deadline: it may have run, so its caller can not repeat it and loses nothing by
waiting for the answer.
"""

from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from gevent.queue import Queue

from guavagate.clock import Clock, Task
from guavagate.decisions.retries import HEDGE_SHARE, Budget
from guavagate.forwarding._attempt import (
    GRACE_SECONDS,
    Attempt,
    AttemptRunner,
    AttemptState,
)
from guavagate.forwarding._finding import Finding, NoOutages, OutageChecker
from guavagate.forwarding._guard import Refusal, RequestGuard
from guavagate.forwarding._outcome import (
    Outcome,
    OutcomeKind,
    describe_obstacle,
)
from guavagate.forwarding._regions import RegionGate
from guavagate.helpers.waits import QueueTimeoutError, get_within
from guavagate.models import ANYWHERE, Regions, ServiceId, UpstreamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.ports.upstreams import Upstream
from guavagate.residency import RequestBounds
from guavagate.routing import Obstacle

# Share of the objective after which a second attempt starts; the rest is enough
# for a usual answer from another upstream.
HEDGE_DELAY_SHARE: Final = 0.45
MIN_HEDGE_SECONDS: Final = 0.03
# In multiples of the objective; a working upstream has answered by then.
TIMEOUT_OBJECTIVES: Final = 3.0
MIN_TIMEOUT_SECONDS: Final = 0.5
# In multiples of the objective: when a request that got no answer anywhere has
# the upstreams probed. Three in a hundred requests take seven times as long as
# the others, 1.14 of an objective of 191 ms; they need no probes.
CHECK_OBJECTIVES: Final = 1.25
_SERVER_ERROR: Final = 500
_UNRESPONSIVE: Final = 'no upstream responds'

_Timer: TypeAlias = tuple[float, Callable[['_Progress'], None]]


class _Progress:
    """One request and its attempts."""

    def __init__(
        self, call: Call, route: Route, service: ServiceId, results: Queue
    ) -> None:
        self.call = call
        self.route = route
        self.service = service
        self.results = results
        self.tried: set[UpstreamId] = set()
        self.tasks: list[Task] = []
        self.running = 0
        self.may_repeat = False
        self.preferred: UpstreamId | None = None
        self.may_have_run = False
        self.failed_answers = 0
        self.failed_answer: Attempt | None = None
        # Why no further attempt was started.
        self.refusal: Refusal | None = None
        # Send time by upstream, without those that have not run the request.
        self.sent_at: dict[UpstreamId, float] = {}
        # Send time by upstream, for the attempts in flight.
        self.unanswered: dict[UpstreamId, float] = {}
        # What is to be done while no answer has arrived, and when.
        self.timers: list[_Timer] = []


class UpstreamChooser(Protocol):
    """Chooses an upstream for each attempt."""

    def choose(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        preferred: UpstreamId | None = None,
        regions: Regions = ANYWHERE,
        hedge: bool = False,
    ) -> Upstream | None:
        """Return an upstream that was not tried, or `None`."""

    def explain(
        self, service: ServiceId, regions: Regions = ANYWHERE
    ) -> Obstacle | None:
        """Return why a request may use no upstream of a service, if so."""

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Record that an upstream sent no answer in the time it had."""

    def compute_retry_after(self, service: ServiceId) -> float:
        """Return when a caller refused by the whole service should return."""


class Forwarder:
    """Forwards requests of routes without streaming.

    Attributes
    ----------
    regions
        Binds each attempt to the regions in force.
    """

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamChooser,
        runner: AttemptRunner,
        guard: RequestGuard,
        outages: OutageChecker | None = None,
        bounds: RequestBounds | None = None,
    ) -> None:
        self.regions = RegionGate(upstreams, bounds)
        self._outages = outages or NoOutages()
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
        preferred: UpstreamId | None = None,
    ) -> Outcome:
        """Return the outcome; attempts that are still running are cancelled.

        Parameters
        ----------
        results
            Queue that receives `None` when the caller disconnects.
        may_repeat
            Whether the request may be repeated regardless of its route.
        preferred
            The upstream to try first, if it is usable.
        """
        call = self.regions.bind(call, route)
        progress = _Progress(call, route, service, results)
        progress.may_repeat = may_repeat or route.kind is RouteKind.IDEMPOTENT
        progress.preferred = preferred
        try:
            outcome = self._run(progress)
            outcome.failed_answers = progress.failed_answers
            outcome.began_at = min(progress.sent_at.values(), default=None)
            return outcome
        finally:
            for task in progress.tasks:
                task.kill(block=False)

    def _run(self, progress: _Progress) -> Outcome:
        objective = progress.route.objective
        if self._outages.refuses(progress.service, objective):
            return self._refuse(progress)
        started_at = self._clock.now()
        check_at = started_at + objective * CHECK_OBJECTIVES
        progress.timers.append((check_at, self._start_check))
        if progress.may_repeat:
            hedge_delay = max(objective * HEDGE_DELAY_SHARE, MIN_HEDGE_SECONDS)
            progress.timers.append((started_at + hedge_delay, self._hedge))
        self._start(progress)
        outcome: Outcome | None = None
        while progress.running and outcome is None:
            outcome = self._step(progress)
        return outcome or self._conclude(progress)

    def _step(self, progress: _Progress) -> Outcome | None:
        """Wait for the next result; return the outcome once it is known."""
        give_up_at = progress.call.until + GRACE_SECONDS
        if self._clock.now() >= give_up_at:
            self._record_timeouts(progress)
            return Outcome(OutcomeKind.LATE, reason='no answer in time')
        try:
            result = self._wait(progress, give_up_at)
        except QueueTimeoutError:
            return None
        if result is None:
            self._record_timeouts(progress)
            return Outcome(OutcomeKind.CALLER_LEFT)
        if isinstance(result, Finding):
            return self._apply_finding(progress, result)
        progress.unanswered.pop(result.upstream.id, None)
        progress.running -= 1
        if result.is_final:
            self._hedges.earn()
            self._outages.record_answer()
            self._guard.record_answer(progress.call)
            return Outcome(OutcomeKind.ANSWER, result)
        self._record_failure(progress, result)
        if progress.may_repeat or not progress.may_have_run:
            self._start(progress)
        return None

    def _wait(
        self, progress: _Progress, give_up_at: float
    ) -> Attempt | Finding | None:
        """Return the next result, or run the timer that is due before it.

        Raises
        ------
        QueueTimeoutError
            A timer ran, or the time is over.
        """
        timer = min(progress.timers, key=_get_due, default=None)
        due = give_up_at if timer is None else min(timer[0], give_up_at)
        try:
            return get_within(
                self._clock, progress.results, due - self._clock.now()
            )
        except QueueTimeoutError:
            if timer is not None and due < give_up_at:
                progress.timers.remove(timer)
                timer[1](progress)
            raise

    def _hedge(self, progress: _Progress) -> None:
        if len(progress.tried) < progress.route.max_attempts and (
            self._hedges.spend()
        ):
            self._start(progress, hedge=True)

    def _start_check(self, progress: _Progress) -> None:
        """Have the upstreams probed; not cancelled, as others wait for it."""

        def check() -> None:
            finding = self._outages.check(
                progress.service, progress.route.objective
            )
            progress.results.put(finding)

        self._clock.spawn(check)

    def _apply_finding(
        self, progress: _Progress, finding: Finding
    ) -> Outcome | None:
        """Give up if no upstream answers, or hedge again if one does."""
        if not progress.may_repeat:
            return None
        if finding is Finding.UNRESPONSIVE:
            return Outcome(OutcomeKind.LATE, reason=_UNRESPONSIVE)
        if finding is Finding.ANSWERS:
            self._hedge(progress)
        check_at = self._clock.now() + progress.route.objective
        progress.timers.append((check_at, self._start_check))
        return None

    def _record_timeouts(self, progress: _Progress) -> None:
        """Record the upstreams that had enough time but did not answer."""
        objective = progress.route.objective
        needed = max(objective * TIMEOUT_OBJECTIVES, MIN_TIMEOUT_SECONDS)
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

    def _start(self, progress: _Progress, *, hedge: bool = False) -> None:
        call = self.regions.bind(progress.call, progress.route)
        service = progress.service
        if len(progress.tried) >= max(progress.route.max_attempts, 1):
            return
        progress.refusal = self._guard.check(call, service)
        if progress.refusal is not None:
            return
        upstream = self._upstreams.choose(
            service,
            progress.tried,
            preferred=progress.preferred,
            regions=call.regions,
            hedge=hedge,
        )
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

    def _conclude(self, progress: _Progress) -> Outcome:
        if progress.failed_answer is not None:
            return Outcome(OutcomeKind.ANSWER, progress.failed_answer)
        if progress.may_have_run and self._clock.now() >= progress.call.until:
            return Outcome(OutcomeKind.LATE, reason='no answer in time')
        if progress.refusal is not None:
            return progress.refusal.make_outcome(ran=progress.may_have_run)
        if progress.may_have_run:
            return Outcome(OutcomeKind.UNKNOWN, reason='answers were lost')
        if progress.tried:
            return Outcome(OutcomeKind.NOT_RUN, reason='no upstream took it')
        return self._refuse(progress)

    def _refuse(self, progress: _Progress) -> Outcome:
        """Return the outcome of a request that was sent to no upstream."""
        call, service = progress.call, progress.service
        refusal = self.regions.refuse(call, progress.route, service)
        obstacle = self._upstreams.explain(service, call.regions)
        return refusal or Outcome(
            OutcomeKind.NOT_RUN,
            reason=describe_obstacle(obstacle) or _UNRESPONSIVE,
            retry_after=self._upstreams.compute_retry_after(service),
        )


def _get_due(timer: _Timer) -> float:
    return timer[0]
