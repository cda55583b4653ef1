"""Keyed requests through the ledger: run once, answered wherever they retry."""

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

MAX_KEY: Final = 255


class _NotStarted(UpstreamNotStartedError):
    """Carries a refusal that is certainly not run through the ledger."""

    def __init__(self, refusal: RefusalError) -> None:
        super().__init__(refusal.problem, refusal.remedy)
        self.refusal = refusal


def make_attempt_id() -> str:
    """Return a unique attempt id."""
    return uuid.uuid4().hex


def read_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key, or an empty text.

    Raises
    ------
    RefusalError
        The key is too long.
    """
    key = request.get_header(HEADER_IDEMPOTENCY_KEY) or ''
    if len(key) > MAX_KEY:
        raise RefusalError(
            f'the {HEADER_IDEMPOTENCY_KEY} has {len(key)} characters',
            f'use a key of at most {MAX_KEY} characters, such as a UUIDv7',
            reason='bad_key',
            status=400,
        )
    return key


def make_once_request(
    request: falcon.Request,
    opened: CallerRequest,
    key: str,
    body: bytes,
) -> KeyedRequest:
    """Return what the ledger knows a keyed request by."""
    return KeyedRequest(
        team=opened.identity.team,
        caller=opened.identity.caller,
        key=key,
        digest=digest_body(request.method, request.relative_uri, body),
    )


def run_keyed(
    ledger: Ledger,
    once: KeyedRequest,
    run: Callable[[], Answer],
    timeout: float,
) -> Answer:
    """Run a keyed request at most once over all instances.

    Raises
    ------
    RefusalError
        With `not_run` as far as the ledger and the upstream know.
    """

    def run_or_say_not_started() -> Answer:
        try:
            return run()
        except RefusalError as refusal:
            if refusal.not_run is NotRun.TRUE:
                raise _NotStarted(refusal) from refusal
            raise

    try:
        return ledger.run_once(once, run_or_say_not_started, timeout)
    except _NotStarted as carried:
        raise carried.refusal from carried
