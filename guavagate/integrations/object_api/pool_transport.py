"""Transport of object API calls over pooled connections."""

import functools
from typing import Final

from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.http1 import ConnectionPool, Request
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    NoAnswerError,
    NotSentError,
    Transport,
)

_REFUSED: Final = frozenset((429, 503))


def make_pool_transport(address: str, pool: ConnectionPool) -> Transport:
    """Return a transport to the store at an address.

    Statuses 429 and 503 guarantee that the call has not run, as a failure to
    connect does.
    """
    return functools.partial(_call, address, pool)


def _call(address: str, pool: ConnectionPool, call: Call) -> Answer:
    headers = [(b'Host', address.encode())]
    if call.body:
        headers.append((b'Content-Type', b'application/json'))
    request = Request(call.method, call.path, headers)
    try:
        answer = _send(address, pool, request, call)
    except UpstreamNotStartedError as error:
        raise NotSentError(error.problem) from error
    except UpstreamError as error:
        raise NoAnswerError(error.problem) from error
    if answer.status in _REFUSED:
        raise NotSentError(f'the store answered {answer.status}')
    return answer


def _send(
    address: str, pool: ConnectionPool, request: Request, call: Call
) -> Answer:
    answer, body = pool.fetch(address, request, call.body, timeout=call.timeout)
    return Answer(status=answer.status, body=body)
