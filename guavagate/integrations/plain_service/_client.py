"""Implements the plain service port over HTTP."""

import logging

import msgspec

from guavagate.clock import Clock
from guavagate.const import HEADER_EXCHANGE, HEADER_IDEMPOTENCY_KEY
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.helpers.decoding import decode_json
from guavagate.integrations._errors import make_error, make_malformed_error
from guavagate.integrations._http import Connections, Response
from guavagate.integrations.plain_service import const
from guavagate.integrations.plain_service.models import drop_hop_by_hop
from guavagate.models import RequestId
from guavagate.ports.plain_service import (
    ServiceAnswer,
    ServiceReport,
    ServiceRequest,
)

_LOGGER = logging.getLogger(__name__)


class HttpPlainService:
    """Client for the upstreams of all plain services of an instance.

    Parameters
    ----------
    clock
        Limits every wait.

    Attributes
    ----------
    dropped
        Number of answers dropped because they belong to another exchange.
    """

    def __init__(self, clock: Clock) -> None:
        self._connections = Connections(clock)
        self._clock = clock
        self.dropped = 0

    def call(
        self,
        address: str,
        request: ServiceRequest,
        timeout: float,
    ) -> ServiceAnswer:
        """Send the request once and return the complete answer.

        Raises
        ------
        UpstreamNotStartedError
            The upstream has not started the request.
        UpstreamError
            The request may have run.
        """
        deadline = self._clock.now() + timeout
        answer = self._connections.send(
            address,
            request.method,
            request.path,
            body=request.body,
            headers=_make_headers(request),
            timeout=timeout,
            reuse=request.repeatable,
        )
        remaining = max(deadline - self._clock.now(), 0)
        body = self._connections.read(address, answer, remaining)
        self._check_exchange(address, request.exchange, answer)
        if answer.status_code == 503:
            _raise_not_started(address, body)
        return ServiceAnswer(
            status=answer.status_code,
            headers=drop_hop_by_hop(answer.items()),
            body=body,
        )

    def report(self, address: str, timeout: float) -> ServiceReport:
        """Return the upstream's report."""
        answer = self._connections.send(
            address, 'GET', const.PATH_REPORT, timeout=timeout
        )
        data = self._connections.read(address, answer, timeout)
        if answer.status_code != 200:
            raise make_error(address, answer.status_code, data)
        try:
            return decode_json(data, ServiceReport)
        except msgspec.MsgspecError as error:
            raise make_malformed_error(address, error) from error

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def _check_exchange(
        self, address: str, exchange: RequestId, answer: Response
    ) -> None:
        """Raise an error if the answer names another exchange."""
        named = answer.get(HEADER_EXCHANGE)
        if named is None or named == exchange:
            return
        self.dropped += 1
        _LOGGER.warning(
            'Dropped the answer to exchange %s that %s sent to exchange %s',
            named,
            address,
            exchange,
        )
        raise UpstreamError(
            f'{address} answered exchange {named} instead of {exchange}',
            'check what lies between here and the upstream',
        )


def _make_headers(request: ServiceRequest) -> dict[str, str]:
    """Return the headers to send; repeated ones are joined by commas."""
    headers: dict[str, str] = {}
    for name, value in drop_hop_by_hop(request.headers):
        existing = headers.get(name)
        headers[name] = value if existing is None else f'{existing}, {value}'
    headers[HEADER_EXCHANGE] = request.exchange
    if request.key:
        headers[HEADER_IDEMPOTENCY_KEY] = request.key
    return headers


def _raise_not_started(address: str, body: bytes) -> None:
    """Raise if a 503 states that the upstream has not started."""
    error = make_error(address, 503, body)
    if isinstance(error, UpstreamNotStartedError):
        raise error
