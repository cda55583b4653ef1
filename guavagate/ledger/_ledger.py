"""Runs keyed requests at most once, for the entry that receives them."""

import dataclasses
from collections.abc import Callable
from typing import Any, Final

import msgspec
from gevent.event import Event

from guavagate.exceptions import (
    LinkError,
    NotAppliedError,
    PartitionError,
    UpstreamNotStartedError,
)
from guavagate.ledger import _refusals
from guavagate.ledger._messages import (
    Abort,
    Answer,
    AskAttempt,
    AttemptReply,
    Begin,
    BeginOutcome,
    BeginState,
    Expire,
    Finish,
    LedgerLimits,
    RecordOutcome,
)
from guavagate.links import Message
from guavagate.models import CallerId, InstanceId, TeamId
from guavagate.partitions import Command
from guavagate.runtime import Runtime

_BEGIN_TIMEOUT_SECONDS: Final = 5.0
_FINISH_WAIT_SECONDS: Final = 1.0
_RECORD_TIMEOUT_SECONDS: Final = 10.0
_MAX_RECORD_ATTEMPTS: Final = 30
_JOIN_WAIT_SECONDS: Final = 5.0
_JOIN_RETRY_SECONDS: Final = 0.2


class KeyedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that carries an idempotency key.

    Parameters
    ----------
    digest
        See `digest_body`.
    """

    team: TeamId
    caller: CallerId
    key: str
    digest: str

    @property
    def scope(self) -> str:
        """Return the key with its team and caller, as used in the ledger."""
        return f'{self.team}/{self.caller}/{self.key}'


@dataclasses.dataclass
class _Attempt:
    """A run at this entry, created before its `Begin` is sent."""

    done: Event


class Ledger:
    """Begins, finishes and joins runs; each instance has one.

    Parameters
    ----------
    make_id
        Returns a unique attempt id.
    """

    def __init__(
        self,
        runtime: Runtime,
        make_id: Callable[[], str],
        limits: LedgerLimits | None = None,
    ) -> None:
        self._runtime = runtime
        self._clock = runtime.clock
        self._make_id = make_id
        self._limits = limits or LedgerLimits()
        self._attempts: dict[str, _Attempt] = {}

    def start(self) -> None:
        """Register the handler of queries about attempts here."""
        self._runtime.bus.register(AskAttempt, self._on_ask_attempt)

    def run_once(
        self,
        request: KeyedRequest,
        run: Callable[[], Answer],
        timeout: float,
    ) -> Answer:
        """Run, join an active run, or return the stored answer.

        Parameters
        ----------
        run
            Does the work; called at most once. `UpstreamNotStartedError` from
            it means that the work has not started; after any other error the
            outcome is unknown.
        timeout
            Seconds to begin and to wait for a joined run.

        Raises
        ------
        RefusalError
            No answer is available; `not_run` tells whether the request ran, as
            far as the ledger knows.
        """
        end = self._clock.now() + timeout
        while True:
            outcome, attempt = self._begin(request, end)
            if outcome.state is BeginState.GRANTED:
                return self._run(request, attempt, run)
            self._attempts.pop(attempt, None)
            if outcome.answer is not None:
                return outcome.answer
            if outcome.state is not BeginState.JOINED:
                raise _refusals.make_refusal(outcome.state, self._limits)
            self._join(request, outcome, end)

    def _begin(
        self, request: KeyedRequest, end: float
    ) -> tuple[BeginOutcome, str]:
        """Request permission to run under a new attempt id."""
        attempt = self._make_id()
        self._attempts[attempt] = _Attempt(Event())
        command = Begin(
            at=self._clock.wall(),
            scope=request.scope,
            digest=request.digest,
            attempt=attempt,
            entry=self._runtime.settings.id,
        )
        limit = min(end - self._clock.now(), _BEGIN_TIMEOUT_SECONDS)
        try:
            outcome = self._runtime.partitions.submit(
                request.scope, command, BeginOutcome, limit
            )
        except NotAppliedError as error:
            self._attempts.pop(attempt)
            raise _refusals.make_unavailable(error) from error
        except PartitionError as error:
            # The attempt may still be granted, but it will not run.
            self._record_end(request, attempt, Abort, 0)
            raise _refusals.make_unavailable(error) from error
        return outcome, attempt

    def _run(
        self,
        request: KeyedRequest,
        attempt: str,
        run: Callable[[], Answer],
    ) -> Answer:
        """Run a granted request and record its outcome."""
        try:
            answer = run()
        except UpstreamNotStartedError:
            self._record_end(request, attempt, Abort, _FINISH_WAIT_SECONDS)
            raise
        except BaseException:
            self._record_end(request, attempt, Expire, _FINISH_WAIT_SECONDS)
            raise
        stored: Answer | None = answer
        if len(answer.body) > self._limits.answer_bytes:
            stored = None
        command = Finish(
            at=self._clock.wall(),
            scope=request.scope,
            digest=request.digest,
            attempt=attempt,
            entry=self._runtime.settings.id,
            answer=stored,
        )
        # The caller gets its answer in any case. A short wait for the record
        # lets a retry find the answer if this entry dies.
        self._wait(
            self._start_recording(request, command, attempt),
            _FINISH_WAIT_SECONDS,
        )
        return answer

    def _record_end(
        self,
        request: KeyedRequest,
        attempt: str,
        kind: type[Abort] | type[Expire],
        wait: float,
    ) -> None:
        """Record that a run ended without an answer."""
        command = kind(
            at=self._clock.wall(), scope=request.scope, attempt=attempt
        )
        self._wait(self._start_recording(request, command, attempt), wait)

    def _start_recording(
        self, request: KeyedRequest, command: Command, attempt: str = ''
    ) -> Event:
        """Record a command in the background; return the event of its end."""
        done = Event()
        self._clock.spawn(self._record, request.scope, command, attempt, done)
        return done

    def _record(
        self, scope: str, command: Command, attempt: str, done: Event
    ) -> None:
        """Submit until the command is applied; give up after some minutes.

        Until then the attempt counts as running here, so that requests which
        joined it do not record its outcome as unknown.
        """
        for _ in range(_MAX_RECORD_ATTEMPTS):
            fresh = msgspec.structs.replace(command, at=self._clock.wall())
            try:
                self._runtime.partitions.submit(
                    scope, fresh, RecordOutcome, _RECORD_TIMEOUT_SECONDS
                )
            except PartitionError:
                self._clock.sleep(1)
                continue
            break
        done.set()
        self._remove_attempt(attempt)

    def _join(
        self, request: KeyedRequest, outcome: BeginOutcome, end: float
    ) -> None:
        """Wait for the end of an active run, or expire a lost one."""
        wait = min(end - self._clock.now(), _JOIN_WAIT_SECONDS)
        if wait <= 0:
            raise _refusals.make_refusal(BeginState.JOINED, self._limits)
        reply = self._query_attempt(outcome, wait)
        if reply is None:
            reply = self._assume_state(outcome)
        if not reply.known:
            command = Expire(
                at=self._clock.wall(),
                scope=request.scope,
                attempt=outcome.attempt,
            )
            self._wait(self._start_recording(request, command), wait)
        elif reply.running:
            self._clock.sleep(_JOIN_RETRY_SECONDS)

    def _query_attempt(
        self, outcome: BeginOutcome, wait: float
    ) -> AttemptReply | None:
        """Query the entry where the attempt runs."""
        request = AskAttempt(attempt=outcome.attempt, wait=wait)
        if outcome.entry == self._runtime.settings.id:
            return self._wait_for_attempt(request)
        if self._runtime.members.get(outcome.entry) is None:
            return None
        try:
            return self._runtime.bus.request(
                outcome.entry, request, AttemptReply, wait + 1
            )
        except LinkError:
            return None

    def _assume_state(self, outcome: BeginOutcome) -> AttemptReply:
        """Assume that an attempt is lost if its entry is gone.

        If the entry is only paused, it still runs the attempt once, and its
        answer replaces the unknown outcome.
        """
        alive = self._runtime.members.get(outcome.entry) is not None
        return AttemptReply(known=alive, running=alive)

    def _on_ask_attempt(self, source: InstanceId, request: Any) -> Message:
        """Handle an `AskAttempt`."""
        return self._wait_for_attempt(request)

    def _wait_for_attempt(self, request: AskAttempt) -> AttemptReply:
        """Wait for the end of an attempt at this entry."""
        attempt = self._attempts.get(request.attempt)
        if attempt is None:
            return AttemptReply(known=False, running=False)
        self._wait(attempt.done, request.wait)
        return AttemptReply(known=True, running=not attempt.done.is_set())

    def _remove_attempt(self, attempt: str) -> None:
        """Remove an attempt and wake the requests that joined it."""
        known = self._attempts.pop(attempt, None)
        if known is not None:
            known.done.set()

    def _wait(self, event: Event, timeout: float) -> None:
        """Wait for an event for at most `timeout` seconds."""
        try:
            with self._clock.timeout(timeout, TimeoutError):
                event.wait()
        except TimeoutError:
            return
