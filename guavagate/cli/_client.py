"""HTTP client that tries the instances in turn until one answers."""

from typing import Any, Final, TypeVar
from urllib.parse import urlencode

import msgspec

from guavagate.cli._errors import ExitCode, ToolError, find_exit_code
from guavagate.cli._http import fetch
from guavagate.helpers.decoding import decode_json
from guavagate.operators import ErrorBody, ErrorDetail

_ANSWER_TIMEOUT_SECONDS: Final = 30.0
_FIRST_ERROR_STATUS: Final = 300
_OVERLOADED: Final = 502
_PREFIX: Final = '/v1/operators'

_Body = TypeVar('_Body')


class AnswerError(ToolError):
    """An error answer of an instance."""

    def __init__(self, detail: ErrorDetail) -> None:
        text = detail.message
        if detail.remedy:
            text = f'{text}\n{detail.remedy}'
        super().__init__(text, find_exit_code(detail.code))
        self.detail = detail


class Client:
    """Client of the operators' routes.

    If an instance gives no answer, the request is sent to the next one. This
    is safe because all requests are idempotent: reads change nothing, a change
    of settings has an id, and draining an instance twice has no further effect.
    """

    def __init__(self, endpoints: tuple[str, ...], token: str) -> None:
        self._endpoints = endpoints
        self._token = token

    def get(self, path: str, kind: type[_Body], **params: Any) -> _Body:
        """Return a typed answer; parameters that are None are omitted."""
        present = {
            name: value for name, value in params.items() if value is not None
        }
        query = f'?{urlencode(present)}' if present else ''
        return self._call('GET', f'{path}{query}', b'', kind)

    def send(
        self, method: str, path: str, body: Any, kind: type[_Body]
    ) -> _Body:
        """Send a typed body and return the typed answer."""
        return self._call(method, path, msgspec.json.encode(body), kind)

    def _call(
        self, method: str, path: str, body: bytes, kind: type[_Body]
    ) -> _Body:
        failures: list[str] = []
        for endpoint in self._endpoints:
            try:
                status, content = self._request(endpoint, method, path, body)
            except (OSError, ValueError) as error:
                failures.append(f'{endpoint}: {error or type(error).__name__}')
                continue
            return _decode_answer(status, content, kind)
        details = '\n'.join(failures)
        raise ToolError(
            f'no instance answered\n{details}\ngive reachable instances with'
            ' --endpoint or GUAVAGATE_ENDPOINTS',
            ExitCode.UNAVAILABLE,
        )

    def _request(
        self, endpoint: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        return fetch(
            endpoint,
            method,
            f'{_PREFIX}{path}',
            body=body,
            headers={
                'Authorization': f'Bearer {self._token}',
                'Content-Type': 'application/json',
            },
            timeout=_ANSWER_TIMEOUT_SECONDS,
        )


def _decode_answer(status: int, content: bytes, kind: type[_Body]) -> _Body:
    try:
        if status < _FIRST_ERROR_STATUS:
            return decode_json(content, kind)
        detail = decode_json(content, ErrorBody).error
    except msgspec.MsgspecError:
        raise ToolError(
            f'the answer {status} is not from guavagate\ncheck that the'
            ' endpoint is an instance or its balancer',
            ExitCode.UNAVAILABLE,
        ) from None
    raise AnswerError(detail)
