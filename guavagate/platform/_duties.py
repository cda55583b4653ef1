"""Client for usage reports and scaling orders."""

import logging
from typing import Any, Final

import msgspec

from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.http1 import ConnectionPool, Request
from guavagate.platform import const
from guavagate.ports.duties import (
    DutyAnswer,
    LeaseHolder,
    ScaleOrder,
    TeamCounts,
)

_LOGGER: Final = logging.getLogger(__name__)
CALL_SECONDS: Final = 1.5
_ANSWER_BY_STATUS: Final = {
    200: DutyAnswer.ACCEPTED,
    202: DutyAnswer.ACCEPTED,
    409: DutyAnswer.UNAVAILABLE,
    429: DutyAnswer.UNKNOWN,
}
_CLIENT_ERRORS: Final = range(400, 500)


class PlatformDuties:
    """Implements `ports.duties.DutyClient`."""

    def __init__(self, address: str, pool: ConnectionPool) -> None:
        self._address = address
        self._pool = pool

    def report_usage(
        self, holder: LeaseHolder, window: int, counts: TeamCounts
    ) -> DutyAnswer:
        """Report how many requests of each team began in a window."""
        body = {'window-id': window, 'counts': counts}
        return self._call(holder, '/usage', body)

    def order(self, holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        """Order a number of samplers for a service in a zone."""
        body = {
            'service': order.service,
            'zone': order.zone,
            # On this call `target-groups` is the number of samplers.
            'target-groups': order.amount,
        }
        if order.spot:
            body['spot'] = True
        return self._call(holder, '/scale', body)

    def _call(
        self, holder: LeaseHolder, path: str, body: dict[str, Any]
    ) -> DutyAnswer:
        headers = [
            (b'Host', self._address.encode()),
            (b'Content-Type', b'application/json'),
            (const.DUTY_HOLDER, holder.instance.encode()),
            (const.DUTY_FENCE, str(holder.generation).encode()),
        ]
        request = Request('POST', path, headers)
        try:
            answer, text = self._pool.fetch(
                self._address,
                request,
                msgspec.json.encode(body),
                timeout=CALL_SECONDS,
            )
        except (UpstreamError, UpstreamNotStartedError) as error:
            _LOGGER.debug('%s got no answer: %s', path, error)
            return DutyAnswer.UNKNOWN
        if answer.status in _ANSWER_BY_STATUS:
            return _ANSWER_BY_STATUS[answer.status]
        _LOGGER.debug('%s got %s: %r', path, answer.status, text[:200])
        if answer.status in _CLIENT_ERRORS:
            return DutyAnswer.REFUSED
        return DutyAnswer.UNKNOWN
