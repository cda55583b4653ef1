"""Reads and validates request bodies."""

from typing import Final, TypeVar

import falcon
import msgspec

from guavagate.exceptions import RefusalError
from guavagate.helpers.decoding import decode_json

MAX_BODY: Final = 8_000_000

Body = TypeVar('Body')


def read_body(request: falcon.Request, limit: int = MAX_BODY) -> bytes:
    """Return the complete body.

    Raises
    ------
    RefusalError
        The body is too large, or was cut short.
    """
    length = request.content_length or 0
    if length > limit:
        raise RefusalError(
            f'the body has {length} bytes',
            f'send at most {limit} bytes',
            reason='body_too_large',
            status=413,
        )
    if length:
        return _read_announced(request, length)
    return _read_chunked(request, limit)


def decode_body(body: bytes, kind: type[Body]) -> Body:
    """Return a JSON body decoded as a message type.

    Raises
    ------
    RefusalError
        The body is not JSON, or a field is missing or has the wrong type.
    """
    try:
        return decode_json(body, kind)
    except msgspec.ValidationError as error:
        raise RefusalError(
            f'the body is not valid: {error}',
            'correct the named field; docs/api.md lists them',
            reason='invalid_body',
            status=422,
        ) from error
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise RefusalError(
            f'the body is not JSON: {error}',
            'send a JSON object in UTF-8',
            reason='malformed_json',
            status=400,
        ) from error


def _read_chunked(request: falcon.Request, limit: int) -> bytes:
    if not request.env.get('wsgi.input_terminated'):
        return b''
    try:
        body: bytes = request.env['wsgi.input'].read(limit + 1)
    except OSError as error:
        raise _make_cut_short_error(
            'the chunked body is malformed or cut'
        ) from error
    if len(body) > limit:
        raise RefusalError(
            f'the body has more than {limit} bytes',
            f'send at most {limit} bytes',
            reason='body_too_large',
            status=413,
        )
    return body


def _read_announced(request: falcon.Request, length: int) -> bytes:
    """Return a body with a Content-Length, or refuse it if it is shorter.

    If a caller dies while sending, the incomplete body may still parse. It must
    not run, as the caller never sent it in this form.
    """
    try:
        body = request.bounded_stream.read(length)
    except OSError as error:
        raise _make_cut_short_error(
            f'the body has not {length} bytes'
        ) from error
    if len(body) < length:
        raise _make_cut_short_error(f'the body ended after {len(body)} bytes')
    return body


def _make_cut_short_error(problem: str) -> RefusalError:
    return RefusalError(
        problem,
        'send the whole body, or a correct Content-Length',
        reason='body_cut_short',
        status=400,
    )
