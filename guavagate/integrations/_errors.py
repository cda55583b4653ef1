"""The error body that upstreams answer with."""

from typing import Final

import msgspec

from guavagate.exceptions import (
    UpstreamError,
    UpstreamLeavingError,
    UpstreamNotStartedError,
)

LEAVING_CODE: Final = 'leaving'
NOT_STARTED_CODES: Final = frozenset((LEAVING_CODE, 'overloaded'))
_UNAVAILABLE: Final = 503


class ErrorBody(msgspec.Struct):
    """What an error says."""

    code: str = ''
    message: str = ''


class ErrorAnswer(msgspec.Struct):
    """An error's body."""

    error: ErrorBody = msgspec.field(default_factory=ErrorBody)


def read_error_code(data: bytes) -> str:
    """Return the code of an error body, or nothing."""
    try:
        return msgspec.json.decode(data, type=ErrorAnswer).error.code
    except msgspec.MsgspecError:
        return ''


def make_error(address: str, status: int, data: bytes) -> UpstreamError:
    """Return the error that an upstream's refusal stands for.

    A bare 503 may come from something between us and an upstream that has
    started; only one that says why is known to be "not started".
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
    """Return the error of an answer that can't be read."""
    return UpstreamError(
        f'{address} sent what is no answer ({error})',
        'check that the address speaks this protocol',
    )
