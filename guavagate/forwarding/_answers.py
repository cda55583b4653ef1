"""Answers that an instance sends itself, and when they say "not run"."""

from collections.abc import Callable
from typing import Final

from guavagate.forwarding._outcome import Outcome, OutcomeKind
from guavagate.http1 import (
    BodyRefusedError,
    BodyTooLargeError,
    Exchange,
    Headers,
    SlowBodyError,
    drop_hop_by_hop,
)

_TEXT: Final = (b'Content-Type', b'text/plain')
_STATUS: Final = {
    OutcomeKind.UNKNOWN: 502,
    OutcomeKind.LATE: 504,
}
NOT_RUN_STATUS: Final = 503
# An instance that stops gets no new connections, so the next try is elsewhere.
STOPPED_RETRY_SECONDS: Final = float(0)


def read_or_refuse(
    exchange: Exchange, limit: int, refuse_body: Callable[[], float]
) -> bytes | None:
    """Return a request's body, or `None` after refusing the request.

    Parameters
    ----------
    refuse_body
        Returns when to retry, in seconds, if there is no memory for the body.
    """
    try:
        return exchange.read_body(limit)
    except BodyRefusedError:
        # On a new connection the balancer may choose another instance.
        exchange.keep_open = False
        refuse(exchange, 'too little memory for the body', refuse_body())
    except BodyTooLargeError:
        send_text(exchange, 413, f'send a body of at most {limit} bytes')
    except SlowBodyError:
        send_text(exchange, 408, 'send the whole body sooner')
    return None


def send_outcome(exchange: Exchange, outcome: Outcome) -> None:
    """Answer a caller according to the outcome of its request."""
    if outcome.kind is OutcomeKind.CALLER_LEFT:
        _end_unanswered(exchange, outcome)
        return
    attempt = outcome.attempt
    if attempt is not None:
        headers = drop_hop_by_hop(attempt.headers)
        # From here on it counts as an answer that waits for its caller.
        attempt.release()
        exchange.respond(attempt.status, headers, attempt.body)
        return
    if outcome.kind is OutcomeKind.NOT_RUN:
        refuse(exchange, outcome.reason, outcome.retry_after)
        return
    send_text(exchange, _STATUS[outcome.kind], outcome.reason)


def _end_unanswered(exchange: Exchange, outcome: Outcome) -> None:
    """End a request whose result nobody waits for."""
    if exchange.interrupted and outcome.began_at is None:
        refuse(exchange, 'this instance stops', STOPPED_RETRY_SECONDS)
    elif exchange.interrupted:
        send_text(exchange, 504, 'this instance stops; it may have run')
    else:
        exchange.abort()


def refuse(exchange: Exchange, reason: str, retry_after: float) -> None:
    """Answer that the request has not run and when to retry."""
    headers: Headers = [
        _TEXT,
        (b'Retry-After', f'{retry_after:g}'.encode()),
    ]
    exchange.respond(NOT_RUN_STATUS, headers, f'not run: {reason}\n'.encode())


def send_text(
    exchange: Exchange, status: int, text: str, *headers: tuple[bytes, bytes]
) -> None:
    """Send a short plain-text answer."""
    exchange.respond(status, [_TEXT, *headers], f'{text}\n'.encode())
