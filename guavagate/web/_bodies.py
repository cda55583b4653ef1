"""Request bodies, checked at the edge."""

from typing import Final, TypeVar

import falcon
import msgspec

from guavagate.exceptions import RefusalError

MAX_BODY: Final = 8_000_000

Body = TypeVar('Body')


def read_body(request: falcon.Request, limit: int = MAX_BODY) -> bytes:
    """Return the whole body.

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
        body = request.bounded_stream.read(length)
        _check_whole(body, length)
        return body
    return _read_chunked(request, limit)


def decode_body(body: bytes, kind: type[Body]) -> Body:
    """Return a JSON body as a typed message.

    Raises
    ------
    RefusalError
        The body is no JSON, or a field is missing or has the wrong type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
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
    body = request.env['wsgi.input'].read(limit + 1)
    if len(body) > limit:
        raise RefusalError(
            f'the body has more than {limit} bytes',
            f'send at most {limit} bytes',
            reason='body_too_large',
            status=413,
        )
    return body


def _check_whole(body: bytes, length: int) -> None:
    if len(body) == length:
        return
    # A caller that dies while sending leaves a body that may still parse;
    # run, it would be a request that nobody sent in this form.
    raise RefusalError(
        f'the body ended after {len(body)} of {length} bytes',
        'send the whole body, or a correct Content-Length',
        reason='body_cut_short',
        status=400,
    )
