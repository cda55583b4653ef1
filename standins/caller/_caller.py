"""Sends requests at a rate, retries them, and records what comes."""

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
    """How a caller behaves.

    Parameters
    ----------
    rate
        Requests a second.
    limit_s
        Time for all attempts of one request.
    completion, chat, read, write
        Shares of the kinds of request.
    impatience
        Share of the requests whose first attempt is given up after
        `impatient_s`, while it runs, and sent again to another instance.
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
    """One caller's state.

    Parameters
    ----------
    options
        How it behaves.
    """

    def __init__(self, options: CallerOptions) -> None:
        self._options = options
        self._draw = random.Random(options.seed)
        self._recorder = Recorder(options.history, f'caller-{options.id}')
        self._balancer = Balancer(options.platform, options.credential)
        self._tasks = Group()
        self._shares = {
            kind: getattr(options, kind)
            for kind in ('completion', 'chat', 'read', 'write')
        }

    def run(self, stopped: Event) -> None:
        """Send until told to stop, then wait for what is outstanding."""
        number = 0
        while not stopped.is_set():
            number += 1
            kind = self._draw.choices(
                list(self._shares), list(self._shares.values())
            )[0]
            prompt = self._draw.randrange(len(PROMPTS))
            hasty = self._draw.random() < self._options.impatience
            self._tasks.spawn(self._work, kind, number, prompt, hasty=hasty)
            stopped.wait(self._draw.expovariate(self._options.rate))
        self._tasks.join()
        self._balancer.close()

    def _work(
        self, kind: str, number: int, prompt: int, *, hasty: bool
    ) -> None:
        """See one request through, over as many attempts as it takes."""
        until = time.monotonic() + self._options.limit_s
        avoid = ''
        attempt = 0
        while time.monotonic() < until:
            attempt += 1
            request = self._make(kind, number, attempt, prompt)
            address = self._balancer.choose(avoid)
            timeout = self._options.timeout_s
            if hasty and attempt == 1:
                timeout = self._options.impatient_s
            pause = self._try(address, request, attempt, timeout)
            if pause is None:
                return
            avoid = address
            gevent.sleep(pause)

    def _make(
        self, kind: str, number: int, attempt: int, prompt: int
    ) -> Request:
        """Return one attempt.

        All attempts of a write have one name and key: it may run once. Any
        other attempt stands for itself.
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

    def _try(
        self, address: str, request: Request, attempt: int, timeout: float
    ) -> float | None:
        """Make one attempt; return the pause before another, or nothing."""
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
        return self._judge(request, result)

    def _judge(self, request: Request, refused: Refused) -> float | None:
        """Return the pause before a retry, or nothing when it is final."""
        unknown = request.kind == 'write' and refused.not_run != 'true'
        if unknown or refused.status not in _RETRIED_STATUS:
            return None
        return min(refused.retry_after, 2) * self._draw.uniform(0.5, 1)


def run(options: CallerOptions, stopped: Event) -> None:
    """Run a caller until told to stop."""
    Caller(options).run(stopped)
