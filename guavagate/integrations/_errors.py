"""Converts error responses of upstreams to exceptions."""

from typing import Final

import msgspec

from guavagate.exceptions import (
    UpstreamError,
    UpstreamLeavingError,
    UpstreamNotStartedError,
)
from guavagate.helpers.decoding import decode_json

LEAVING_CODE: Final = 'leaving'
NOT_STARTED_CODES: Final = frozenset((LEAVING_CODE, 'overloaded'))
_UNAVAILABLE: Final = 503


class ErrorBody(msgspec.Struct):
    """The code and message of an error."""

    code: str = ''
    message: str = ''


class ErrorAnswer(msgspec.Struct):
    """The body of an error response."""

    error: ErrorBody = msgspec.field(default_factory=ErrorBody)


def read_error_code(data: bytes) -> str:
    """Return the code of an error body, or an empty string."""
    try:
        return decode_json(data, ErrorAnswer).error.code
    except msgspec.MsgspecError:
        return ''


def make_error(address: str, status: int, data: bytes) -> UpstreamError:
    """Return the exception for an error response.

    A 503 without a code may come from a proxy in front of an upstream that
    has started the request. Only a known code proves that it has not.
    """
    code = read_error_code(data)
    if status == _UNAVAILABLE and code == LEAVING_CODE:
        return UpstreamLeavingError(f'{address} leaves', 'ask another upstream')
    if status == _UNAVAILABLE and code in NOT_STARTED_CODES:
        return UpstreamNotStartedError(
            f'{address} is {code}', 'ask another upstream'
        )
    return UpstreamError(
        f'{address} answered {status} {code}',
        'check the upstream and the request',
    )


def make_malformed_error(address: str, error: Exception) -> UpstreamError:
    """Return the exception for a response that cannot be decoded."""
    return UpstreamError(
        f'{address} sent what is no answer ({error})',
        'check that the address speaks this protocol',
    )
