"""Forwards streams event by event and resumes them at another upstream.

Load pattern: a caller reads slowly. An upstream cuts off an answer that stays
unread for some seconds, so it is read on into a buffer, up to a limit. A caller
that takes nothing for the idle timeout is cut off, which ends its run.
"""

import functools
import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.forwarding._attempt import AttemptRunner
from guavagate.forwarding._guard import RequestGuard
from guavagate.forwarding._outcome import (
    Outcome,
    OutcomeKind,
    describe_obstacle,
)
from guavagate.forwarding._regions import RegionGate
from guavagate.http1 import (
    Answer,
    CallerDisconnectedError,
    Exchange,
    drop_hop_by_hop,
)
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.configuration import Route
from guavagate.ports.dialect import Call
from guavagate.ports.upstreams import Upstream
from guavagate.residency import RequestBounds
from guavagate.routing import UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)
_OK: Final = 200
# A stream that may be resumed goes on elsewhere after a silence of this length:
# its caller leaves soon after it. Another run of any other stream is not
# allowed, so its upstream may be silent until the caller's deadline. Upstreams
# pause while they read a preempted request again from its start.
STALL_SECONDS: Final = 2.0


class StreamForwarder:
    """Forwards streams; a caller receives complete events only."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamTable,
        runner: AttemptRunner,
        guard: RequestGuard,
        bounds: RequestBounds | None = None,
    ) -> None:
        self._regions = RegionGate(upstreams, bounds)
        self._guard = guard
        self._clock = clock
        self._upstreams = upstreams
        self._runner = runner

    def forward(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> Outcome:
        """Forward a stream; any outcome but `ANSWER` is still to be sent."""
        call = self._regions.bind(call, route)
        progress = _StreamProgress(exchange, call, resumable=route.resumable)
        tried: set[UpstreamId] = set()
        outcome = Outcome(OutcomeKind.NOT_RUN, reason='no upstream')
        began_at: float | None = None
        while len(tried) < max(route.max_attempts, 1):
            refusal = self._guard.check(call, service)
            if refusal is not None:
                outcome = refusal.make_outcome(ran=progress.may_have_run)
                break
            call = self._regions.bind(call, route)
            progress.call = call
            upstream = self._upstreams.choose(
                service, tried, lasting=True, regions=call.regions
            )
            if upstream is None:
                outcome = self._refuse(progress, route, service, outcome)
                break
            tried.add(upstream.id)
            sent_at = self._clock.now()
            outcome = self._try_upstream(progress, upstream, sent_at)
            if began_at is None and progress.may_have_run:
                began_at = sent_at
            outcome.began_at = began_at
            if outcome.kind is OutcomeKind.ANSWER:
                self._guard.record_answer(call)
                return self._end(exchange, outcome)
            if not _may_go_on(outcome, route):
                break
        if exchange.started:
            exchange.abort()
        return outcome

    def _refuse(
        self,
        progress: '_StreamProgress',
        route: Route,
        service: ServiceId,
        outcome: Outcome,
    ) -> Outcome:
        """Return the outcome of a stream that no further upstream may take."""
        call = progress.call
        if not progress.may_have_run:
            outside = self._regions.refuse(call, route, service)
            if outside is not None:
                return outside
        obstacle = self._upstreams.explain(service, call.regions)
        outcome.reason = describe_obstacle(obstacle) or outcome.reason
        outcome.retry_after = self._upstreams.compute_retry_after(service)
        return outcome

    def _try_upstream(
        self, progress: '_StreamProgress', upstream: Upstream, sent_at: float
    ) -> Outcome:
        """Forward a stream from one upstream; return the outcome."""
        try:
            self._forward_from(progress, upstream)
        except CallerDisconnectedError:
            return Outcome(OutcomeKind.CALLER_LEFT)
        except UpstreamNotStartedError as error:
            ran = progress.may_have_run
            kind = OutcomeKind.UNKNOWN if ran else OutcomeKind.NOT_RUN
            return Outcome(kind, reason=error.problem)
        except UpstreamError as error:
            if progress.exchange.must_end:
                # The answer was closed here, so the upstream is not at fault.
                progress.may_have_run = True
                return Outcome(OutcomeKind.CALLER_LEFT)
            self._record_break(progress, upstream, error)
            self._runner.record_break(progress.call, upstream, error, sent_at)
            return Outcome(OutcomeKind.UNKNOWN, reason=error.problem)
        return Outcome(OutcomeKind.ANSWER)

    def _end(self, exchange: Exchange, outcome: Outcome) -> Outcome:
        """Wait for the caller; the upstream is already free for other work."""
        try:
            exchange.end()
        except CallerDisconnectedError:
            outcome.kind = OutcomeKind.CALLER_LEFT
        return outcome

    def _forward_from(
        self, progress: '_StreamProgress', upstream: Upstream
    ) -> None:
        load = self._upstreams.load(upstream.id)
        load.in_flight += 1
        answer: Answer | None = None
        try:
            answer = self._runner.open(
                progress.call, upstream, progress.last_event_id, reuse=False
            )
            progress.may_have_run = True
            progress.exchange.on_disconnect(answer.close)
            self._forward_events(progress, answer, upstream)
        finally:
            load.in_flight -= 1
            progress.exchange.on_disconnect(None)
            if answer is not None:
                answer.close()

    def _forward_events(
        self, progress: '_StreamProgress', answer: Answer, upstream: Upstream
    ) -> None:
        if answer.status != _OK and progress.exchange.started:
            raise UpstreamError(
                f'{upstream.id} answered {answer.status} to a resumed stream',
                'check the upstream; the stream goes on elsewhere if it may',
            )
        if not progress.exchange.started:
            headers = drop_hop_by_hop(answer.headers)
            progress.exchange.start(answer.status, headers)
        if answer.status != _OK:
            answer.limit_body()
            self._read_chunks(
                progress, answer, upstream, progress.exchange.send_ahead
            )
            return
        parser = self._runner.make_event_parser(
            progress.call, upstream, progress.last_event_id
        )

        def forward_events(chunk: bytes) -> None:
            for event in parser.feed(chunk):
                answer.count_work()
                progress.last_event_id = event.number
                progress.exchange.send_ahead(event.encoded)

        self._read_chunks(progress, answer, upstream, forward_events)
        parser.end()

    def _read_chunks(
        self,
        progress: '_StreamProgress',
        answer: Answer,
        upstream: Upstream,
        handle_chunk: Callable[[bytes], None],
    ) -> None:
        """Read an answer to its end; raise if the upstream stalls."""
        chunks = answer.chunks()
        make_error = functools.partial(_make_stall_error, upstream)
        while True:
            limit = progress.limit_silence(self._clock.now())
            with self._clock.timeout(limit, make_error):
                chunk = next(chunks, None)
            if chunk is None:
                return
            handle_chunk(chunk)

    def _record_break(
        self,
        progress: '_StreamProgress',
        upstream: Upstream,
        error: UpstreamError,
    ) -> None:
        progress.may_have_run = True
        self._upstreams.record_failure(upstream.id)
        write(
            _LOGGER,
            events.ATTEMPT_FAILED,
            request=progress.call.id,
            content=progress.call.content.identify().content,
            upstream=upstream.id,
            state='broken',
            after=progress.last_event_id,
            problem=error.problem,
        )


class _StreamProgress:
    """What a caller has received of a stream."""

    def __init__(
        self, exchange: Exchange, call: Call, *, resumable: bool
    ) -> None:
        self._resumable = resumable
        self.exchange = exchange
        self.call = call
        self.last_event_id = call.resume_after
        self.may_have_run = False

    def limit_silence(self, now: float) -> float:
        """Return for how many seconds the upstream may send nothing."""
        if self._resumable:
            return STALL_SECONDS
        return max(self.call.until - now, STALL_SECONDS)


def _may_go_on(outcome: Outcome, route: Route) -> bool:
    """Return whether another upstream may go on with a stream."""
    if outcome.kind is OutcomeKind.UNKNOWN:
        return route.resumable
    return outcome.kind is OutcomeKind.NOT_RUN


def _make_stall_error(upstream: Upstream) -> UpstreamError:
    return UpstreamError(
        f'{upstream.id} was silent',
        'check the upstream and the way to it',
    )
