"""Asks the instances, one after another, until one answers."""

from typing import Any, Final, TypeVar
from urllib.parse import urlencode, urlsplit

import msgspec
from geventhttpclient import HTTPClient

from guavagate.cli._errors import ExitCode, ToolError, find_exit_code
from guavagate.operators import ErrorBody, ErrorDetail

_CONNECT: Final = 3.0
_ANSWER: Final = 30.0
_OK: Final = 300
_OVERLOADED: Final = 502
_PREFIX: Final = '/v1/operators'

_Body = TypeVar('_Body')


class AnswerError(ToolError):
    """An instance refused."""

    def __init__(self, detail: ErrorDetail) -> None:
        text = detail.message
        if detail.remedy:
            text = f'{text}\n{detail.remedy}'
        super().__init__(text, find_exit_code(detail.code))
        self.detail = detail


class Client:
    """Speaks to the operators' routes.

    Every request may be sent twice: reads change nothing, a change of
    settings carries its own id, and a drain that has begun stays begun. So
    when an instance gives no answer, the next is asked.
    """

    def __init__(self, endpoints: tuple[str, ...], token: str) -> None:
        self._endpoints = endpoints
        self._token = token

    def get(self, path: str, kind: type[_Body], **params: Any) -> _Body:
        """Return a typed answer; parameters that are None are left out."""
        given = {name: one for name, one in params.items() if one is not None}
        query = f'?{urlencode(given)}' if given else ''
        return self._call('GET', f'{path}{query}', b'', kind)

    def send(
        self, method: str, path: str, body: Any, kind: type[_Body]
    ) -> _Body:
        """Send a typed message and return the typed answer."""
        return self._call(method, path, msgspec.json.encode(body), kind)

    def _call(
        self, method: str, path: str, body: bytes, kind: type[_Body]
    ) -> _Body:
        tried: list[str] = []
        for endpoint in self._endpoints:
            try:
                status, content = self._request(endpoint, method, path, body)
            except (OSError, ValueError) as error:
                tried.append(f'{endpoint}: {error or type(error).__name__}')
                continue
            return _read(status, content, kind)
        told = '\n'.join(tried)
        raise ToolError(
            f'no instance answered\n{told}\ngive reachable instances with'
            ' --endpoint or GUAVAGATE_ENDPOINTS',
            ExitCode.UNAVAILABLE,
        )

    def _request(
        self, endpoint: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        client = HTTPClient.from_url(
            endpoint, connection_timeout=_CONNECT, network_timeout=_ANSWER
        )
        base = urlsplit(endpoint).path.rstrip('/')
        try:
            response = client.request(
                method,
                f'{base}{_PREFIX}{path}',
                body=body,
                headers={
                    'Authorization': f'Bearer {self._token}',
                    'Content-Type': 'application/json',
                },
            )
            return response.status_code, bytes(response.read())
        finally:
            client.close()


def _read(status: int, content: bytes, kind: type[_Body]) -> _Body:
    try:
        if status < _OK:
            return msgspec.json.decode(content, type=kind)
        detail = msgspec.json.decode(content, type=ErrorBody).error
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ToolError(
            f'the answer {status} is not of guavagate\ncheck that the endpoint'
            ' is an instance or its balancer',
            ExitCode.UNAVAILABLE,
        ) from None
    raise AnswerError(detail)
