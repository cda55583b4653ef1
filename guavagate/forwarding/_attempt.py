"""One attempt of a request at one upstream."""

import enum
import logging
import weakref
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import (
    UpstreamDisconnectedError,
    UpstreamError,
    UpstreamExcludedError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
from guavagate.forwarding._probes import refused_connection
from guavagate.helpers.event_stream import (
    EventParser,
    make_foreign_block_logger,
)
from guavagate.http1 import Answer, ConnectionPool, Headers
from guavagate.ports.dialect import Call, Dialect
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import BrokenRun, Quarantine
from guavagate.routing import UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)
_SERVER_ERROR: Final = 500
# Added to the deadline, as an upstream may answer just at it: its own answer
# tells the caller more than a timeout of this instance.
GRACE_SECONDS: Final = 0.03
# An upstream that does not answer for this long has failed, whatever the
# caller's deadline.
MIN_DEADLINE_SECONDS: Final = 1.0


def _release_nothing() -> None:
    """Release nothing; there is no body."""


class AttemptState(enum.Enum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not run'
    BROKEN = 'broken'


class Attempt(msgspec.Struct, weakref=True):
    """The result of an attempt; headers and body if it was answered.

    The memory of the body counts until `release` is called, which happens by
    itself when the attempt is discarded.
    """

    upstream: Upstream
    state: AttemptState
    status: int = 0
    headers: Headers = []
    body: bytes = b''
    problem: str = ''
    release: Callable[[], object] = _release_nothing

    @property
    def is_final(self) -> bool:
        """Return whether no further attempt could do better."""
        answered = self.state is AttemptState.ANSWERED
        return answered and self.status < _SERVER_ERROR


class AttemptRunner:
    """Makes attempts and records their results for the upstreams."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        upstreams: UpstreamTable,
        dialect: Dialect,
        quarantine: Quarantine,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._upstreams = upstreams
        self._dialect = dialect
        self._quarantine = quarantine

    def make(self, call: Call, upstream: Upstream, *, reuse: bool) -> Attempt:
        """Send a request once and read the complete answer.

        Killing the task closes the connection, so that the upstream drops the
        work.
        """
        load = self._upstreams.load(upstream.id)
        load.in_flight += 1
        started_at = self._clock.now()
        answer: Answer | None = None
        try:
            answer = self.open(call, upstream, 0, reuse=reuse)
            attempt = self._read(call, upstream, answer)
        except UpstreamNotStartedError as error:
            attempt = Attempt(
                upstream, AttemptState.NOT_RUN, problem=error.problem
            )
            if not isinstance(error, UpstreamExcludedError):
                self._upstreams.record_failure(upstream.id)
        except UpstreamError as error:
            attempt = Attempt(
                upstream, AttemptState.BROKEN, problem=error.problem
            )
            if not self._had_short_deadline(call, started_at):
                self._upstreams.record_failure(upstream.id)
            self.record_break(call, upstream, error, started_at)
        finally:
            load.in_flight -= 1
            if answer is not None:
                answer.close()
        self._record_result(call, attempt, self._clock.now() - started_at)
        return attempt

    def make_event_parser(
        self, call: Call, upstream: Upstream, resume_after: int
    ) -> EventParser:
        """Return a parser of the stream that follows an event, 0 for none."""
        return EventParser(
            resume_after,
            self._dialect.version_name,
            make_foreign_block_logger(call.id, upstream.id),
        )

    def record_break(
        self,
        call: Call,
        upstream: Upstream,
        error: UpstreamError,
        started_at: float,
    ) -> None:
        """Record a run whose connection the upstream closed."""
        if isinstance(error, UpstreamDisconnectedError):
            seconds = self._clock.now() - started_at
            run = BrokenRun(
                request=call.id,
                identity=None if call.owed else call.content.identify(),
                seconds=seconds,
            )
            self._quarantine.record_break(upstream, run)

    def _had_short_deadline(self, call: Call, started_at: float) -> bool:
        """Return whether the caller's deadline was too short for an answer.

        Callers may allow less time than an answer usually takes. Their requests
        must not eject healthy upstreams for all callers.
        """
        now = self._clock.now()
        return now >= call.until and now - started_at < MIN_DEADLINE_SECONDS

    def open(
        self, call: Call, upstream: Upstream, resume_after: int, *, reuse: bool
    ) -> Answer:
        """Send a request and return its answer once its headers are read.

        Raises
        ------
        UpstreamError
            Also for an answer that belongs to another request.
        """
        self._upstreams.check(upstream, call.regions, starts=True)
        remaining = max(call.until - self._clock.now(), 0)
        request = self._dialect.prepare(call, upstream, remaining, resume_after)
        started_at = self._clock.now()
        try:
            answer = self._pool.send(
                upstream.address,
                request,
                call.body,
                timeout=remaining + GRACE_SECONDS,
                reuse=reuse,
            )
        except UpstreamUnreachableError as error:
            if refused_connection(error):
                self._upstreams.record_failed_probe(
                    upstream.id, started_at, refused=True
                )
            raise
        marks = self._dialect.read(call, answer)
        self._upstreams.record_report(upstream.id, marks.load)
        if marks.mismatched:
            answer.close()
            raise UpstreamError(
                f'{upstream.id} sent the answer to another request',
                'check the upstream; its connection was closed',
            )
        if marks.not_run:
            answer.close()
            raise UpstreamNotStartedError(
                f'{upstream.id} answered {answer.status}, not run',
                'ask another upstream',
            )
        return answer

    def _read(self, call: Call, upstream: Upstream, answer: Answer) -> Attempt:
        remaining = call.until + GRACE_SECONDS - self._clock.now()
        with self._clock.timeout(
            remaining, lambda: _make_timeout_error(upstream)
        ):
            body, release = answer.read_counted()
        attempt = Attempt(
            upstream,
            AttemptState.ANSWERED,
            answer.status,
            answer.headers,
            body,
        )
        attempt.release = weakref.finalize(attempt, release)
        return attempt

    def _record_result(
        self, call: Call, attempt: Attempt, seconds: float
    ) -> None:
        if attempt.state is AttemptState.ANSWERED:
            self._upstreams.record_success(attempt.upstream.id, seconds)
            return
        write(
            _LOGGER,
            events.ATTEMPT_FAILED,
            request=call.id,
            content=call.content.identify().content,
            upstream=attempt.upstream.id,
            state=attempt.state.value,
            problem=attempt.problem,
            seconds=round(seconds, 3),
        )


def _make_timeout_error(upstream: Upstream) -> UpstreamError:
    return UpstreamError(
        f'{upstream.id} has not ended its answer in time',
        'check the upstream, or raise the time limit of the route',
    )
