"""Transport of object API calls over HTTP."""

from typing import Final
from urllib.parse import urlsplit

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.helpers.numbers import parse_whole_number
from guavagate.integrations._http import Connections, Response
from guavagate.integrations.object_api import const
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    NoAnswerError,
    NotSentError,
    Transport,
)
from guavagate.models import Revision

_HTTP_PORT: Final = 80


def make_http_transport(
    base_url: str, credential: str, clock: Clock
) -> Transport:
    """Return a transport to the platform at a base URL."""
    parts = urlsplit(base_url)
    address = f'{parts.hostname}:{parts.port or _HTTP_PORT}'
    connections = Connections(clock)
    authorization = {'Authorization': f'Bearer {credential}'}

    def send(call: Call) -> Answer:
        try:
            return _exchange(connections, address, call, authorization)
        except UpstreamNotStartedError as error:
            raise NotSentError(error.problem) from error
        except UpstreamError as error:
            raise NoAnswerError(error.problem) from error

    return send


def _exchange(
    connections: Connections,
    address: str,
    call: Call,
    authorization: dict[str, str],
) -> Answer:
    response = connections.send(
        address,
        call.method,
        call.path,
        body=call.body,
        headers={**call.headers, **authorization},
        timeout=call.timeout,
    )
    body = connections.read(address, response, call.timeout)
    version = _read_number(response, const.HEADER_VERSION)
    return Answer(
        status=response.status_code,
        body=body,
        version=None if version is None else Revision(version),
        retry_after=_read_number(response, const.HEADER_RETRY_AFTER) or 0,
    )


def _read_number(response: Response, header: str) -> int | None:
    return parse_whole_number(str(response.get(header.lower())))
