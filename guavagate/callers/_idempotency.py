"""Idempotency keys: requests that run at most once over all instances."""

import uuid
from collections.abc import Callable
from typing import Final

import falcon

from guavagate.callers._request import CallerRequest
from guavagate.const import HEADER_IDEMPOTENCY_KEY
from guavagate.exceptions import RefusalError, UpstreamNotStartedError
from guavagate.ledger import (
    Answer,
    KeyedRequest,
    Ledger,
    digest_body,
)
from guavagate.models import NotRun

MAX_KEY_LENGTH: Final = 255


class _NotStarted(UpstreamNotStartedError):
    """Passes a refusal with `not_run` true through the ledger."""

    def __init__(self, refusal: RefusalError) -> None:
        super().__init__(refusal.problem, refusal.remedy)
        self.refusal = refusal


def make_attempt_id() -> str:
    """Return a unique attempt id."""
    return uuid.uuid4().hex


def read_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key, or an empty string.

    Raises
    ------
    RefusalError
        The key is too long.
    """
    key = request.get_header(HEADER_IDEMPOTENCY_KEY) or ''
    if len(key) > MAX_KEY_LENGTH:
        raise RefusalError(
            f'the {HEADER_IDEMPOTENCY_KEY} has {len(key)} characters',
            f'use a key of at most {MAX_KEY_LENGTH} characters, such as a'
            ' UUIDv7',
            reason='bad_key',
            status=400,
        )
    return key


def make_keyed_request(
    request: falcon.Request,
    caller_request: CallerRequest,
    key: str,
    body: bytes,
) -> KeyedRequest:
    """Return the ledger's description of a request with a key."""
    return KeyedRequest(
        team=caller_request.identity.team,
        caller=caller_request.identity.caller,
        key=key,
        digest=digest_body(request.method, request.relative_uri, body),
    )


def run_keyed(
    ledger: Ledger,
    keyed_request: KeyedRequest,
    run: Callable[[], Answer],
    timeout: float,
) -> Answer:
    """Run a keyed request at most once over all instances.

    Raises
    ------
    RefusalError
        The request was refused; `not_run` is what the ledger and the upstream
        know about it.
    """

    def run_or_raise_not_started() -> Answer:
        try:
            return run()
        except RefusalError as refusal:
            if refusal.not_run is NotRun.TRUE:
                raise _NotStarted(refusal) from refusal
            raise

    try:
        return ledger.run_once(keyed_request, run_or_raise_not_started, timeout)
    except _NotStarted as not_started:
        raise not_started.refusal from not_started
