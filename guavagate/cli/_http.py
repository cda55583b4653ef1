"""Fetches an answer of an instance, whatever stands in its place."""

from collections.abc import Mapping
from http.client import HTTPException
from typing import Final
from urllib.parse import SplitResult, urlsplit

import msgspec
from geventhttpclient import HTTPClient

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError
from guavagate.http1 import MAX_BODY_BYTES
from guavagate.integrations._http import Connections

_CONNECT_TIMEOUT_SECONDS: Final = 3.0
_HTTP_PORT: Final = 80


class _Call(msgspec.Struct, frozen=True):
    """A request to an endpoint; its time limit is in seconds."""

    endpoint: SplitResult
    method: str
    target: str
    body: bytes
    headers: Mapping[str, str]
    timeout: float


def fetch(
    endpoint: str,
    method: str,
    path: str,
    *,
    body: bytes = b'',
    headers: Mapping[str, str],
    timeout: float,
) -> tuple[int, bytes]:
    """Return the status and the body of the answer to a request.

    Parameters
    ----------
    timeout
        Seconds until the answer must have arrived.

    Raises
    ------
    OSError
        There is no answer, or none that HTTP allows.
    ValueError
        The endpoint is no URL.
    """
    parts = urlsplit(endpoint)
    target = f'{parts.path.rstrip("/")}{path}'
    call = _Call(parts, method, target, body, headers, timeout)
    send = _fetch_secure if parts.scheme == 'https' else _fetch_plain
    try:
        with SystemClock().timeout(timeout, TimeoutError):
            return send(call)
    except (UpstreamError, HTTPException) as error:
        raise OSError(str(error) or type(error).__name__) from error


def _fetch_plain(call: _Call) -> tuple[int, bytes]:
    address = f'{call.endpoint.hostname}:{call.endpoint.port or _HTTP_PORT}'
    connections = Connections(SystemClock())
    try:
        answer = connections.send(
            address,
            call.method,
            call.target,
            body=call.body,
            headers=call.headers,
            timeout=call.timeout,
        )
        content = connections.read(address, answer, call.timeout)
    finally:
        connections.close()
    return answer.status_code, content


def _fetch_secure(call: _Call) -> tuple[int, bytes]:
    """Fetch over TLS, from a balancer whose heads are not checked."""
    client = HTTPClient.from_url(
        call.endpoint.geturl(),
        connection_timeout=_CONNECT_TIMEOUT_SECONDS,
        network_timeout=call.timeout,
    )
    try:
        answer = client.request(
            call.method, call.target, call.body, dict(call.headers)
        )
        content = bytes(answer.read(MAX_BODY_BYTES + 1))
    finally:
        client.close()
    if len(content) > MAX_BODY_BYTES:
        raise OSError('the answer is too long')
    return answer.status_code, content
