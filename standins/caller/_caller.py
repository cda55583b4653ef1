"""Sends requests at a mean rate, retries them and records the results."""

import random
import time
from typing import Final

import gevent
import msgspec
from gevent.event import Event
from gevent.pool import Group

from guavagate.exceptions import UpstreamError
from guavagate.measure.history import (
    BrokeOff,
    Received,
    ReceivedRefusal,
    SentRequest,
)
from standins._balancer import Balancer
from standins.caller._requests import PROMPTS, Answered, Refused, Request, send
from standins.history import Recorder, now

_UNKNOWN: Final = 'unknown'
_RETRIED_STATUS: Final = frozenset((409, 429, 500, 502, 503, 504))


class CallerOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of a caller; times in seconds.

    Parameters
    ----------
    rate
        Mean number of requests per second.
    limit_s
        Time limit for all attempts of one request.
    completion, chat, read, write
        Relative weights of the request kinds.
    impatience
        Share of the requests whose first attempt is abandoned after
        `impatient_s`, while it runs, and retried at another instance.
    """

    id: str
    token: str
    platform: str
    credential: str = ''
    model: str = ''
    service: str = ''
    rate: float = 10
    completion: float = 0
    chat: float = 0
    read: float = 0
    write: float = 0
    max_tokens: int = 32
    timeout_s: float = 10
    limit_s: float = 30
    impatience: float = 0
    impatient_s: float = 0.015
    history: str = ''
    seed: int = 0


class Caller:
    """State of one caller.

    Parameters
    ----------
    options
        Load and behaviour of the caller.
    """

    def __init__(self, options: CallerOptions) -> None:
        self._options = options
        self._rng = random.Random(options.seed)
        self._recorder = Recorder(options.history, f'caller-{options.id}')
        self._balancer = Balancer(options.platform, options.credential)
        self._tasks = Group()
        self._shares = {
            kind: getattr(options, kind)
            for kind in ('completion', 'chat', 'read', 'write')
        }

    def run(self, stopped: Event) -> None:
        """Send requests until `stopped` is set, then wait for open ones."""
        number = 0
        while not stopped.is_set():
            number += 1
            kind = self._rng.choices(
                list(self._shares), list(self._shares.values())
            )[0]
            prompt = self._rng.randrange(len(PROMPTS))
            impatient = self._rng.random() < self._options.impatience
            self._tasks.spawn(
                self._run_request, kind, number, prompt, impatient=impatient
            )
            stopped.wait(self._rng.expovariate(self._options.rate))
        self._tasks.join()
        self._balancer.close()

    def _run_request(
        self, kind: str, number: int, prompt: int, *, impatient: bool
    ) -> None:
        """Send a request and retry it until it succeeds or time runs out."""
        deadline = time.monotonic() + self._options.limit_s
        avoid = ''
        attempt = 0
        while time.monotonic() < deadline:
            attempt += 1
            request = self._make_request(kind, number, attempt, prompt)
            address = self._balancer.choose(avoid)
            timeout = self._options.timeout_s
            if impatient and attempt == 1:
                timeout = self._options.impatient_s
            delay = self._send_attempt(address, request, attempt, timeout)
            if delay is None:
                return
            avoid = address
            gevent.sleep(delay)

    def _make_request(
        self, kind: str, number: int, attempt: int, prompt: int
    ) -> Request:
        """Create the request of one attempt.

        All attempts of a write share one name and key, because it may run
        only once. Attempts of other kinds are independent requests.
        """
        name = f'{self._options.id}-{number}'
        writes = kind == 'write'
        return Request(
            kind=kind,
            name=name if writes else f'{name}.{attempt}',
            prompt=prompt,
            key=name if writes else '',
            model=self._options.model,
            service=self._options.service,
            max_tokens=self._options.max_tokens,
        )

    def _send_attempt(
        self, address: str, request: Request, attempt: int, timeout: float
    ) -> float | None:
        """Send one attempt; return the delay before a retry, if any."""
        who = self._options.id
        name = f'{request.name}@{attempt}'
        self._recorder.record(
            SentRequest(
                at=now(),
                who=who,
                request=request.name,
                attempt=name,
                key=request.key,
                body=request.kind,
                idempotent=request.kind != 'write',
            )
        )
        try:
            result = send(address, self._options.token, request, timeout)
        except UpstreamError:
            self._recorder.record(
                BrokeOff(at=now(), who=who, request=request.name, attempt=name)
            )
            return 0.1
        if isinstance(result, Answered):
            self._recorder.record(
                Received(
                    at=now(),
                    who=who,
                    request=request.name,
                    attempt=name,
                    answer=result.text,
                    versions=result.versions,
                )
            )
            return None
        self._recorder.record(
            ReceivedRefusal(
                at=now(),
                who=who,
                request=request.name,
                attempt=name,
                reason=result.reason,
                not_run=result.not_run,
            )
        )
        return self._choose_retry_delay(request, result)

    def _choose_retry_delay(
        self, request: Request, refused: Refused
    ) -> float | None:
        """Return the delay before a retry, or None for a final refusal."""
        may_have_run = request.kind == 'write' and refused.not_run != 'true'
        if may_have_run or refused.status not in _RETRIED_STATUS:
            return None
        return min(refused.retry_after, 2) * self._rng.uniform(0.5, 1)


def run(options: CallerOptions, stopped: Event) -> None:
    """Run a caller until `stopped` is set."""
    Caller(options).run(stopped)
