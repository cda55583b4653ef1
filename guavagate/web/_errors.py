"""Error bodies: OpenAI's format with guavagate's fields added."""

import logging
import math
from typing import Final

import falcon
import msgspec

from guavagate.events import write
from guavagate.events.edge import UNEXPECTED_ERROR
from guavagate.exceptions import GuavagateError, RefusalError
from guavagate.models import NotRun

_LOGGER = logging.getLogger(__name__)

# The rest of such a body may still arrive. If the connection stayed open, it
# would be parsed as the next request.
UNREAD_BODY: Final = frozenset(('body_cut_short', 'body_too_large'))


class ErrorDetail(msgspec.Struct, frozen=True, kw_only=True):
    """The error object of a refusal."""

    code: str
    message: str
    type: str
    not_run: str
    retry_after: float | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """A refusal's body."""

    error: ErrorDetail


def encode_refusal(refusal: RefusalError) -> bytes:
    """Return a refusal as a JSON body."""
    kind = 'invalid_request_error' if refusal.status < 500 else 'server_error'
    detail = ErrorDetail(
        code=refusal.reason,
        message=str(refusal),
        type=kind,
        not_run=refusal.not_run.value,
        retry_after=refusal.retry_after,
    )
    return msgspec.json.encode(ErrorBody(error=detail))


def add_error_handlers(app: falcon.App) -> None:
    """Add handlers that answer every error with an error body."""
    app.add_error_handler(RefusalError, _answer_refusal)
    app.add_error_handler(GuavagateError, _answer_guavagate)
    app.add_error_handler(falcon.HTTPError, _answer_falcon)
    app.add_error_handler(Exception, _answer_unexpected)


def _answer_refusal(
    request: falcon.Request,
    response: falcon.Response,
    refusal: RefusalError,
    params: dict[str, str],
) -> None:
    response.status = refusal.status
    response.content_type = falcon.MEDIA_JSON
    response.data = encode_refusal(refusal)
    if refusal.reason in UNREAD_BODY:
        response.set_header('Connection', 'close')
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        response.set_header('Retry-After', str(seconds))


def _answer_guavagate(
    request: falcon.Request,
    response: falcon.Response,
    error: GuavagateError,
    params: dict[str, str],
) -> None:
    refusal = RefusalError(
        error.problem,
        error.remedy,
        reason='unavailable',
        not_run=NotRun.UNKNOWN,
        retry_after=1.0,
    )
    _answer_refusal(request, response, refusal, params)


def _answer_falcon(
    request: falcon.Request,
    response: falcon.Response,
    error: falcon.HTTPError,
    params: dict[str, str],
) -> None:
    refusal = RefusalError(
        error.title or 'the request can not be served',
        error.description or 'see docs/api.md for the routes and methods',
        reason='bad_request' if error.status_code < 500 else 'unavailable',
        status=error.status_code,
    )
    _answer_refusal(request, response, refusal, params)


def _answer_unexpected(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    params: dict[str, str],
) -> None:
    write(
        _LOGGER,
        UNEXPECTED_ERROR,
        method=request.method,
        path=request.path,
        error=repr(error),
    )
    _LOGGER.debug('Unexpected error', exc_info=error)
    refusal = RefusalError(
        'guavagate met an error of its own',
        'retry with the same Idempotency-Key, and report event GG5001',
        reason='internal_error',
        status=500,
        not_run=NotRun.UNKNOWN,
    )
    _answer_refusal(request, response, refusal, params)
