"""Makes calls within the rate, the circuit and the time limits."""

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
    """What the platform gives to the whole fleet, in calls a second.

    `longest_probe` is the longest pause, in seconds, between two tries of a
    store that gives no answers.
    """

    reads: float = const.FLEET_READS_PER_SECOND
    writes: float = const.FLEET_WRITES_PER_SECOND
    longest_probe: float = MAX_PROBE_INTERVAL_SECONDS


DEFAULT_RATES: Final = Rates()
# Of the store's rates; the rest is for instances that do not know of each
# other yet.
RATE_SHARE: Final = 0.8
MAX_PROBE_SECONDS: Final = 0.6


class RetryingClient:
    """One instance's calls to the platform.

    Parameters
    ----------
    fleet_size
        How many instances share the platform's rate; 0 when not known.
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
        """Return whether calls are held back as the platform is down."""
        return self._circuit.is_open()

    def call(self, call: Call, priority: Priority, deadline: float) -> Answer:
        """Make a call; repeat it while that is safe and in time.

        A read is repeated after any failure; a write only when it was
        certainly not seen, as one that took effect would meet its own
        version in the repetition and be taken for another's.

        Raises
        ------
        StoreUnavailableError
            No answer in time; says whether a write may have taken effect.
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
            repeat = call.method == _READ or not problem.may_be_written
            if not repeat or self._clock.now() + wait >= until:
                raise problem
            self._clock.sleep(wait)
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)

    def _wait_for_admission(
        self, call: Call, priority: Priority, until: float
    ) -> None:
        """Wait for the circuit and the rate; give up at the deadline."""
        if self._circuit.admit(self._clock.now()) > 0:
            raise _make_not_sent_error('the platform gives no answers')
        budget = self._reads if call.method == _READ else self._writes
        rates = self._rates
        rate = rates.reads if call.method == _READ else rates.writes
        budget.change_rate(rate / max(self._fleet_size(), 1), self._clock.now())
        while True:
            now = self._clock.now()
            wait = budget.take(priority, now)
            if wait == 0:
                return
            if now + wait >= until:
                raise _make_not_sent_error('the rate of calls is used up')
            self._clock.sleep(wait)

    def _get_fleet_size(self) -> int:
        # One that knows of few others, as at its start, must not take the
        # whole rate for its own.
        return max(self._fleet_size(), const.MIN_FLEET_SIZE)

    def _call_once(
        self, call: Call
    ) -> tuple[Answer | None, StoreUnavailableError]:
        """Make the call once; return what came, or what it means."""
        try:
            answer = self._transport(call)
        except DirectRouteLostError as error:
            # It says nothing of the platform, which a peer may well reach.
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
        """Start from an empty budget when an outage ends.

        What waited for hours would else come from all instances within the
        same second; so it comes at the rate that the platform can take,
        partitions first.
        """
        write(_LOGGER, fleet.STORE_UP)
        for budget in (self._reads, self._writes):
            budget.empty(self._clock.now())


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
    carry: Transport,
    clock: Clock,
    count_members: Callable[[], int],
    *,
    reads: float,
    writes: float,
) -> RetryingClient:
    """Return a caller that keeps to its share of the store's rates.

    Parameters
    ----------
    count_members
        Returns how many instances share them.
    reads, writes
        Calls a second that all of them may make together.
    """
    rates = Rates(reads * RATE_SHARE, writes * RATE_SHARE, MAX_PROBE_SECONDS)
    return RetryingClient(
        carry, clock, count_members, secrets.SystemRandom(), rates
    )
