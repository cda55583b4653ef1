"""The ledger as entries use it: run a keyed request at most once."""

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
        """Return what the ledger knows the key by."""
        return f'{self.team}/{self.caller}/{self.key}'


@dataclasses.dataclass
class _Attempt:
    """One run at this entry, from before its `Begin` is sent."""

    done: Event


class Ledger:
    """Begins, finishes and joins runs; one for each instance.

    Parameters
    ----------
    make_id
        Gives unique attempt ids.
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
        """Answer other entries' questions about attempts here."""
        self._runtime.bus.register(AskAttempt, self._on_ask_attempt)

    def run_once(
        self,
        request: KeyedRequest,
        run: Callable[[], Answer],
        timeout: float,
    ) -> Answer:
        """Run, join the run under way, or return the answer given before.

        Parameters
        ----------
        run
            Does the work at most once. `UpstreamNotStartedError` from it
            says that the work has certainly not started; after any other
            error the outcome stays unknown.
        timeout
            Seconds to begin, and to wait for a run that is joined.

        Raises
        ------
        RefusalError
            With `not_run` as far as the ledger knows of the key.
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
        """Ask to run under a new attempt."""
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
            # It may be granted or about to be; nobody is going to run it.
            self._record_end(request, attempt, Abort, 0)
            raise _refusals.make_unavailable(error) from error
        return outcome, attempt

    def _run(
        self,
        request: KeyedRequest,
        attempt: str,
        run: Callable[[], Answer],
    ) -> Answer:
        """Run what was granted and record what came of it."""
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
        # The caller has its answer here in any case. It waits for the record
        # a little, so that a retry after this entry's death finds it.
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
        """Record that a run gave no answer."""
        command = kind(
            at=self._clock.wall(), scope=request.scope, attempt=attempt
        )
        self._wait(self._start_recording(request, command, attempt), wait)

    def _start_recording(
        self, request: KeyedRequest, command: Command, attempt: str = ''
    ) -> Event:
        """Have a command recorded, however long that takes."""
        done = Event()
        self._clock.spawn(self._record, request.scope, command, attempt, done)
        return done

    def _record(
        self, scope: str, command: Command, attempt: str, done: Event
    ) -> None:
        """Submit until it is applied; give up after some minutes.

        Until then the attempt counts as running here, so that whoever joined
        it does not take its outcome for unknown.
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
        """Wait for the end of the run under way, or find that it has none."""
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
        """Ask the entry where the attempt runs."""
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
        """Take an attempt for lost when its entry is gone.

        The entry may only be paused. Then it still runs the attempt once and
        its answer replaces the unknown outcome.
        """
        alive = self._runtime.members.get(outcome.entry) is not None
        return AttemptReply(known=alive, running=alive)

    def _on_ask_attempt(self, source: InstanceId, request: Any) -> Message:
        """Answer an `AskAttempt`."""
        return self._wait_for_attempt(request)

    def _wait_for_attempt(self, request: AskAttempt) -> AttemptReply:
        """Wait for an attempt here."""
        attempt = self._attempts.get(request.attempt)
        if attempt is None:
            return AttemptReply(known=False, running=False)
        self._wait(attempt.done, request.wait)
        return AttemptReply(known=True, running=not attempt.done.is_set())

    def _remove_attempt(self, attempt: str) -> None:
        """Let those waiting look into the ledger."""
        known = self._attempts.pop(attempt, None)
        if known is not None:
            known.done.set()

    def _wait(self, event: Event, timeout: float) -> None:
        """Wait for an event at most so long."""
        try:
            with self._clock.timeout(timeout, TimeoutError):
                event.wait()
        except TimeoutError:
            return
