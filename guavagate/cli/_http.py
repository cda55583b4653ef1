"""Fetches an answer of an instance, whatever stands in its place."""

from collections.abc import Mapping
from http.client import HTTPException
from typing import Final
from urllib.parse import SplitResult, urlsplit

from geventhttpclient import HTTPClient

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError
from guavagate.http1 import MAX_BODY_BYTES
from guavagate.integrations._http import Connections

_CONNECT_TIMEOUT_SECONDS: Final = 3.0
_HTTP_PORT: Final = 80


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
    send = _fetch_secure if parts.scheme == 'https' else _fetch_plain
    clock = SystemClock()
    try:
        with clock.timeout(timeout, TimeoutError):
            return send(parts, method, target, body, headers, timeout)
    except (UpstreamError, HTTPException) as error:
        raise OSError(str(error) or type(error).__name__) from error


def _fetch_plain(
    parts: SplitResult,
    method: str,
    target: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout: float,
) -> tuple[int, bytes]:
    address = f'{parts.hostname}:{parts.port or _HTTP_PORT}'
    connections = Connections(SystemClock())
    try:
        answer = connections.send(
            address, method, target, body=body, headers=headers, timeout=timeout
        )
        content = connections.read(address, answer, timeout)
    finally:
        connections.close()
    return answer.status_code, content


def _fetch_secure(
    parts: SplitResult,
    method: str,
    target: str,
    body: bytes,
    headers: Mapping[str, str],
    timeout: float,
) -> tuple[int, bytes]:
    """Fetch over TLS, from a balancer whose heads are not checked."""
    client = HTTPClient.from_url(
        parts.geturl(),
        connection_timeout=_CONNECT_TIMEOUT_SECONDS,
        network_timeout=timeout,
    )
    try:
        answer = client.request(method, target, body, dict(headers))
        content = bytes(answer.read(MAX_BODY_BYTES + 1))
    finally:
        client.close()
    if len(content) > MAX_BODY_BYTES:
        raise OSError('the answer is too long')
    return answer.status_code, content
