"""Requests whose whole answer is read before the caller gets any of it.

Load pattern: one upstream of three is slow or loses some answers. A request
that may be repeated goes to a second one after a while, or at once after a
failure; the first whole answer counts and the other attempt is cut. Without
it every third request is as slow as the slowest upstream. The budget keeps
the extra work small when all of them are slow, where a second attempt only
adds load.
"""

import enum
import logging
from typing import Final, Protocol

import msgspec
from gevent.queue import Queue

from guavagate.clock import Clock, Task
from guavagate.decisions.retries import HEDGE_SHARE, Budget
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.forwarding._attempt import (
    GRACE_SECONDS,
    Attempt,
    Attempts,
    AttemptState,
)
from guavagate.helpers.waits import NothingYetError, take
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.ports.upstreams import Upstream

_LOGGER: Final = logging.getLogger(__name__)

# A second attempt starts when this share of the objective is over: what is
# left is enough for a usual answer from another upstream.
HEDGE_AFTER: Final = 0.45
HEDGE_LEAST_SECONDS: Final = 0.03
# In objectives: an upstream that works has answered by then.
SILENT_AFTER: Final = 3.0
SILENT_LEAST_SECONDS: Final = 0.5
# An upstream that was full has places again after about one request's work.
RETRY_AFTER_SECONDS: Final = 0.2
# Without any upstream, or with none that answers, that is too soon.
DARK_RETRY_SECONDS: Final = 0.4
_SERVER_ERROR: Final = 500


class OutcomeKind(enum.Enum):
    """What the caller is told."""

    ANSWER = 'answer'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    LATE = 'late'
    CALLER_LEFT = 'caller left'


class Outcome(msgspec.Struct):
    """The end of a request; `retry_after` in seconds.

    `failed_answers` counts the upstreams that ran it and answered 500.
    `began_at` is when it was sent to the first upstream that may have run it,
    on the runtime's clock; nothing where none has.
    """

    kind: OutcomeKind
    attempt: Attempt | None = None
    reason: str = ''
    retry_after: float = RETRY_AFTER_SECONDS
    failed_answers: int = 0
    began_at: float | None = None


class _Progress:
    """The attempts of one request."""

    def __init__(self) -> None:
        self.tried: set[UpstreamId] = set()
        self.tasks: list[Task] = []
        self.ended: Queue = Queue()
        self.running = 0
        self.repeat = False
        self.may_have_run = False
        self.failed_answers = 0
        self.best: Attempt | None = None
        self.sent: dict[UpstreamId, float] = {}
        self.unheard: dict[UpstreamId, float] = {}


class Choices(Protocol):
    """Where requests may go."""

    def choose(
        self, service: ServiceId, tried: set[UpstreamId]
    ) -> Upstream | None:
        """Return where one more request goes, among those not tried."""

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Note that a request got nothing in all the time that it had."""


class Forwarder:
    """Forwards requests of routes that are not streams."""

    def __init__(
        self, clock: Clock, upstreams: Choices, attempts: Attempts
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams
        self._attempts = attempts
        self._hedges = Budget(HEDGE_SHARE)

    def forward(
        self,
        call: Call,
        route: Route,
        service: ServiceId,
        left: Queue,
        *,
        repeat: bool = False,
    ) -> Outcome:
        """Return the outcome; attempts that it does not need are cut.

        Parameters
        ----------
        left
            Gets nothing (`None`) when the caller leaves.
        repeat
            Whether the request may be repeated whatever its route says.
        """
        progress = _Progress()
        progress.ended = left
        progress.repeat = repeat or route.kind is RouteKind.IDEMPOTENT
        try:
            outcome = self._run(call, route, service, progress)
            outcome.failed_answers = progress.failed_answers
            outcome.began_at = min(progress.sent.values(), default=None)
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
        repeat = progress.repeat
        hedge = max(route.objective * HEDGE_AFTER, HEDGE_LEAST_SECONDS)
        hedge_at = self._clock.now() + hedge
        late = call.until + GRACE_SECONDS
        self._start(call, route, service, progress)
        while progress.running:
            now = self._clock.now()
            if now >= late:
                self._note_silent(progress, route)
                return Outcome(OutcomeKind.LATE, reason='no answer in time')
            waits = hedge_at if repeat and hedge_at > now else late
            try:
                attempt = take(self._clock, progress.ended, waits - now)
            except NothingYetError:
                if waits < late and self._hedges.spend():
                    self._start(call, route, service, progress)
                continue
            if attempt is None:
                self._note_silent(progress, route)
                return Outcome(OutcomeKind.CALLER_LEFT)
            progress.unheard.pop(attempt.upstream.id, None)
            progress.running -= 1
            if attempt.good:
                self._hedges.earn()
                return Outcome(OutcomeKind.ANSWER, attempt)
            self._take_failure(progress, attempt)
            if repeat or not progress.may_have_run:
                self._start(call, route, service, progress)
        return self._conclude(call, progress)

    def _note_silent(self, progress: _Progress, route: Route) -> None:
        """Note which upstreams had time enough, and sent nothing."""
        enough = max(route.objective * SILENT_AFTER, SILENT_LEAST_SECONDS)
        before = self._clock.now() - enough
        for upstream, sent_at in progress.unheard.items():
            if sent_at <= before:
                self._upstreams.record_timeout(upstream)

    def _take_failure(self, progress: _Progress, attempt: Attempt) -> None:
        if attempt.state is AttemptState.NOT_RUN:
            progress.sent.pop(attempt.upstream.id, None)
        else:
            progress.may_have_run = True
        if attempt.state is AttemptState.ANSWERED:
            progress.best = attempt
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
        upstream = self._upstreams.choose(service, progress.tried)
        if upstream is None:
            return
        progress.tried.add(upstream.id)
        progress.sent[upstream.id] = self._clock.now()
        progress.unheard[upstream.id] = self._clock.now()
        progress.running += 1
        # A kept connection that the upstream closes just now leaves unknown
        # whether a request ran; where it may not be repeated, that is lost.
        reuse = progress.repeat
        ended = progress.ended

        def run() -> None:
            ended.put(self._attempts.make(call, upstream, reuse=reuse))

        progress.tasks.append(self._clock.spawn(run))

    def _conclude(self, call: Call, progress: _Progress) -> Outcome:
        if progress.best is not None:
            return Outcome(OutcomeKind.ANSWER, progress.best)
        if progress.may_have_run and self._clock.now() >= call.until:
            return Outcome(OutcomeKind.LATE, reason='no answer in time')
        if progress.may_have_run:
            return Outcome(OutcomeKind.UNKNOWN, reason='answers were lost')
        if progress.tried:
            return Outcome(OutcomeKind.NOT_RUN, reason='no upstream took it')
        return Outcome(
            OutcomeKind.NOT_RUN,
            reason='no upstream answers',
            retry_after=DARK_RETRY_SECONDS,
        )


def log_outcome(
    call: Call, route: Route, outcome: Outcome, seconds: float
) -> None:
    """Write the line about a request's end."""
    event = events.FORWARDED
    if outcome.kind is OutcomeKind.CALLER_LEFT:
        event = events.CALLER_LEFT
    elif outcome.kind is not OutcomeKind.ANSWER:
        event = events.GIVEN_UP
    attempt = outcome.attempt
    write(
        _LOGGER,
        event,
        request=call.id,
        route=route.name,
        kind=outcome.kind.value,
        upstream=None if attempt is None else attempt.upstream.id,
        status=None if attempt is None else attempt.status,
        reason=outcome.reason,
        seconds=round(seconds, 3),
    )
