"""Callers that send and retry keyed requests and record the answers."""

import random
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import AsyncResult

from guavagate.clock import Task
from guavagate.exceptions import GuavagateError, RefusalError, UpstreamError
from guavagate.ledger import (
    Answer,
    KeyedRequest,
    Ledger,
    LedgerLimits,
    LedgerSafeguards,
    make_ledger_states,
)
from guavagate.measure import history as hist
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._upstream import Upstream
from guavagate.models import CallerId, PartitionId, TeamId
from guavagate.runtime import Runtime

_TIMEOUT_SECONDS: Final = 12.0
_DISCONNECT_SHARE: Final = 0.05
_MAX_ATTEMPTS: Final = 12
_CONCURRENT_SHARE: Final = 0.15
_GAP_SECONDS: Final = 0.4
_KEY_REUSE_SHARE: Final = 0.1


class RequestWorkload:
    """Workload of callers; see `Workload`."""

    def __init__(
        self,
        safeguards: LedgerSafeguards | None = None,
        *,
        callers: int = 4,
        requests: int = 8,
    ) -> None:
        self.history: list[hist.Event] = []
        self.answered = 0
        self._safeguards = safeguards or LedgerSafeguards()
        self._limits = LedgerLimits(window=600)
        self._callers = callers
        self._requests = requests
        self._ledgers: dict[str, Ledger] = {}
        self._ids: Callable[[], str] = str

    def make_states(self, partition: PartitionId) -> dict:  # type: ignore[type-arg]
        """Return the ledger's states for one partition."""
        return make_ledger_states(partition, self._limits, self._safeguards)

    def start_components(self, runtime: Runtime) -> None:
        """Start the ledger of an instance."""
        ledger = Ledger(runtime, lambda: self._ids(), self._limits)
        self._ledgers[runtime.settings.id] = ledger
        ledger.start()

    def drive(
        self, fleet: Fleet, upstream: Upstream, rng: random.Random
    ) -> list[Task]:
        """Start the callers."""
        self._fleet = fleet
        self._upstream = upstream
        self._rng = rng

        def draw_id() -> str:
            return f'{rng.getrandbits(64):016x}'

        self._ids = draw_id
        return [
            fleet.clock.spawn(self._call_all, f'caller-{number}')
            for number in range(self._callers)
        ]

    def _call_all(self, caller: str) -> None:
        """Send requests in sequence."""
        for number in range(self._requests):
            self._fleet.clock.sleep(self._rng.uniform(0, 2 * _GAP_SECONDS))
            request = f'{caller}/{number}'
            self._call_one(caller, request, request)
            if self._rng.random() < _KEY_REUSE_SHARE:
                # Simulates a client bug: another request with the same key.
                self._call_one(caller, f'{request}-other', request, 1)

    def _call_one(
        self,
        caller: str,
        request: str,
        key: str,
        max_attempts: int = _MAX_ATTEMPTS,
    ) -> None:
        """Send a request until it is answered or all attempts are used."""
        for attempt in range(max_attempts):
            concurrent = 2 if self._rng.random() < _CONCURRENT_SHARE else 1
            tasks = [
                self._fleet.clock.spawn(
                    self._attempt,
                    caller,
                    request,
                    key,
                    f'{request}#{attempt}.{number}',
                )
                for number in range(concurrent)
            ]
            gevent.joinall(tasks)
            if any(task.get(block=False) for task in tasks):
                self.answered += 1
                return
            self._fleet.clock.sleep(self._rng.uniform(0, 2 * _GAP_SECONDS))

    def _attempt(
        self, caller: str, request: str, key: str, attempt: str
    ) -> bool:
        """Send one attempt to an instance; return whether it was answered."""
        entry = self._rng.choice(sorted(self._ledgers))
        now = self._fleet.clock.now
        self.history.append(
            hist.SentRequest(
                at=now(),
                who=caller,
                request=request,
                attempt=attempt,
                key=key,
                body=request,
            )
        )
        outcome = self._reach(entry, caller, request, key)
        if isinstance(outcome, Answer):
            self.history.append(
                hist.Received(
                    at=now(),
                    who=entry,
                    request=request,
                    attempt=attempt,
                    answer=outcome.body.decode(),
                )
            )
            return True
        if isinstance(outcome, RefusalError):
            self.history.append(
                hist.ReceivedRefusal(
                    at=now(),
                    who=entry,
                    request=request,
                    attempt=attempt,
                    reason=outcome.reason,
                    not_run=outcome.not_run.value,
                )
            )
            return False
        self.history.append(
            hist.BrokeOff(at=now(), who=entry, request=request, attempt=attempt)
        )
        return False

    def _reach(
        self, entry: str, caller: str, request: str, key: str
    ) -> Answer | RefusalError | None:
        """Send to an instance; return `None` if the caller disconnects."""
        host = self._fleet.host(entry)
        answer: AsyncResult[Answer | RefusalError | None] = AsyncResult()
        host.deliver(
            lambda: host.clock.spawn(
                self._serve, entry, caller, request, key, answer
            )
        )
        disconnects = self._rng.random() < _DISCONNECT_SHARE
        timeout = self._rng.uniform(0, 1) if disconnects else _TIMEOUT_SECONDS
        try:
            with self._fleet.clock.timeout(timeout, TimeoutError):
                return answer.get()
        except TimeoutError:
            return None

    def _serve(
        self,
        entry: str,
        caller: str,
        request: str,
        key: str,
        answer: 'AsyncResult[Answer | RefusalError | None]',
    ) -> None:
        """Handle a request in an instance, as its HTTP layer does."""
        host = self._fleet.host(entry)
        keyed = KeyedRequest(
            team=TeamId('team'),
            caller=CallerId(caller),
            key=key,
            digest=request,
        )
        try:
            answer.set(
                self._ledgers[entry].run_once(
                    keyed,
                    lambda: self._upstream.call(host, request, request),
                    _TIMEOUT_SECONDS,
                )
            )
        except RefusalError as refusal:
            answer.set(refusal)
        except UpstreamError:
            answer.set(None)
        except GuavagateError:
            answer.set(None)
