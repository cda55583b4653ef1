"""HTTP client of the stand-ins that act as callers and trainers."""

from typing import Any

import msgspec

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError
from guavagate.integrations._http import Connections

Headers = dict[str, str]


class Response(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes

    def decode(self) -> Any:
        """Return the decoded body; an empty dict if it isn't JSON."""
        try:
            return msgspec.json.decode(self.body)
        except msgspec.MsgspecError:
            return {}


CLOCK = SystemClock()
CONNECTIONS = Connections(CLOCK)


def send_request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: Headers | None = None,
    timeout: float = 10.0,
) -> Response:
    """Send a request without retries; encode a body as JSON unless bytes.

    Raises
    ------
    UpstreamError
        No complete response came.
    """
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    answer = CONNECTIONS.send(
        address,
        method,
        path,
        body=b'' if body is None else data,
        headers=headers,
        timeout=timeout,
        reuse=method == 'GET',
    )
    received = CONNECTIONS.read(address, answer, timeout)
    names = {name.lower(): value for name, value in answer.items()}
    return Response(answer.status_code, names, received)


def is_ready(address: str) -> bool:
    """Return whether an instance accepts requests."""
    try:
        return (
            send_request(address, 'GET', '/readyz', timeout=1.0).status == 200
        )
    except UpstreamError:
        return False
