"""Client with retries, a call rate limit and a circuit breaker."""

import logging
import random
import secrets
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import fleet, write
from guavagate.exceptions import StoreUnavailableError
from guavagate.integrations.object_api import const
from guavagate.integrations.object_api._circuit_breaker import (
    MAX_PROBE_INTERVAL_SECONDS,
    CircuitBreaker,
)
from guavagate.integrations.object_api._token_bucket import TokenBucket
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    DirectRouteLostError,
    NoAnswerError,
    NotSentError,
    Priority,
    Transport,
)

_LOGGER: Final = logging.getLogger(__name__)

_READ: Final = 'GET'
_TOO_MANY_REQUESTS: Final = 429
_SERVER_ERROR: Final = 500
_MIN_BACKOFF_SECONDS: Final = 0.05
_MAX_BACKOFF_SECONDS: Final = 1.0


class Rates(msgspec.Struct, frozen=True):
    """Calls per second that the platform grants to the fleet.

    `longest_probe` is the longest interval, in seconds, between two probes of
    a store that does not answer.
    """

    reads: float = const.FLEET_READS_PER_SECOND
    writes: float = const.FLEET_WRITES_PER_SECOND
    longest_probe: float = MAX_PROBE_INTERVAL_SECONDS


DEFAULT_RATES: Final = Rates()
# Share of the store's rates to use. The rest is a reserve for instances that
# have not discovered each other yet.
RATE_SHARE: Final = 0.8
SHARED_MAX_PROBE_INTERVAL_SECONDS: Final = 0.6


class RetryingClient:
    """Makes one instance's calls to the platform.

    Parameters
    ----------
    fleet_size
        Returns how many instances share the rates; 0 if unknown.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        fleet_size: Callable[[], int],
        rng: random.Random,
        rates: Rates = DEFAULT_RATES,
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._fleet_size = fleet_size
        self._random = rng
        self._rates = rates
        self._circuit = CircuitBreaker(rng, rates.longest_probe)
        now = clock.now()
        size = self._get_fleet_size()
        self._reads = TokenBucket(rates.reads / size, now)
        self._writes = TokenBucket(rates.writes / size, now)

    def is_down(self) -> bool:
        """Return whether calls are rejected because the platform is down."""
        return self._circuit.is_open()

    def has_spare_writes(self) -> bool:
        """Return whether a write now leaves the rate for urgent ones.

        Callers that can wait ask before they write.
        """
        now = self._clock.now()
        rate = self._rates.writes / max(self._fleet_size(), 1)
        self._writes.change_rate(rate, now)
        return self._writes.has_spare(Priority.STATUS, now)

    def call(self, call: Call, priority: Priority, deadline: float) -> Answer:
        """Make a call and retry it while that is safe and in time.

        A read is retried after any failure, a write only if the platform has
        certainly not run it. The retry of a write that took effect would
        conflict with its own version, as if another writer had won.

        Raises
        ------
        StoreUnavailableError
            No answer arrived in time; `may_be_written` tells whether a write
            may have taken effect.
        """
        until = self._clock.now() + deadline
        backoff = _MIN_BACKOFF_SECONDS
        while True:
            self._wait_for_admission(call, priority, until)
            answer, problem = self._call_once(call)
            if answer is not None and answer.status != _TOO_MANY_REQUESTS:
                return answer
            wait = backoff * self._random.uniform(0.5, 1)
            if answer is not None:
                wait = max(wait, answer.retry_after)
            may_retry = call.method == _READ or not problem.may_be_written
            if not may_retry or self._clock.now() + wait >= until:
                raise problem
            self._clock.sleep(wait)
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)

    def _wait_for_admission(
        self, call: Call, priority: Priority, until: float
    ) -> None:
        """Check the circuit breaker, then wait for the rate limit."""
        if self._circuit.admit(self._clock.now()) > 0:
            raise _make_not_sent_error('the platform gives no answers')
        bucket = self._reads if call.method == _READ else self._writes
        rates = self._rates
        rate = rates.reads if call.method == _READ else rates.writes
        bucket.change_rate(rate / max(self._fleet_size(), 1), self._clock.now())
        while True:
            now = self._clock.now()
            wait = bucket.take(priority, now)
            if wait == 0:
                return
            if now + wait >= until:
                raise _make_not_sent_error('the rate of calls is used up')
            self._clock.sleep(wait)

    def _get_fleet_size(self) -> int:
        # An instance that knows few others, as at its start, must not use the
        # entire rate for its first calls.
        return max(self._fleet_size(), const.MIN_FLEET_SIZE)

    def _call_once(
        self, call: Call
    ) -> tuple[Answer | None, StoreUnavailableError]:
        """Make the call once; return the answer and the error to raise."""
        try:
            answer = self._transport(call)
        except DirectRouteLostError as error:
            # This is no failure of the platform: a peer may reach it.
            return None, _make_unavailable_error(
                str(error), may_be_written=True
            )
        except NotSentError as error:
            self._record_failure()
            return None, _make_unavailable_error(
                str(error), may_be_written=False
            )
        except NoAnswerError as error:
            self._record_failure()
            return None, _make_unavailable_error(
                str(error), may_be_written=True
            )
        if answer.status >= _SERVER_ERROR:
            self._record_failure()
            problem = f'the platform answered {answer.status}'
            return None, _make_unavailable_error(problem, may_be_written=True)
        if self._circuit.record_success():
            self._resume_slowly()
        return answer, _make_unavailable_error(
            'the platform refuses more calls', may_be_written=False
        )

    def _record_failure(self) -> None:
        if self._circuit.record_failure(self._clock.now()):
            write(_LOGGER, fleet.STORE_DOWN)

    def _resume_slowly(self) -> None:
        """Empty the token buckets when an outage ends.

        Calls that waited for hours would otherwise arrive from all instances
        within a second. They now arrive at the platform's rate, partitions
        first.
        """
        write(_LOGGER, fleet.STORE_UP)
        for bucket in (self._reads, self._writes):
            bucket.empty(self._clock.now())


def _make_unavailable_error(
    problem: str, *, may_be_written: bool
) -> StoreUnavailableError:
    remedy = 'try again later'
    if may_be_written:
        remedy = 'read back before writing again'
    return StoreUnavailableError(problem, remedy, may_be_written=may_be_written)


def _make_not_sent_error(problem: str) -> StoreUnavailableError:
    return _make_unavailable_error(problem, may_be_written=False)


def make_shared_client(
    transport: Transport,
    clock: Clock,
    count_members: Callable[[], int],
    *,
    reads: float,
    writes: float,
) -> RetryingClient:
    """Return a client that keeps to its share of the store's rates.

    Parameters
    ----------
    count_members
        Returns how many instances share the rates.
    reads, writes
        Calls per second that all instances together may make.
    """
    rates = Rates(
        reads * RATE_SHARE,
        writes * RATE_SHARE,
        SHARED_MAX_PROBE_INTERVAL_SECONDS,
    )
    return RetryingClient(
        transport, clock, count_members, secrets.SystemRandom(), rates
    )
