"""Checks work against the requests that the fleet has stopped."""

import logging
from typing import Final

from guavagate.decisions import Work
from guavagate.events import write
from guavagate.events.routing import PERMIT_REFUSED
from guavagate.exceptions import (
    RefusalError,
    UpstreamDisconnectedError,
    UpstreamError,
)
from guavagate.models import ServiceId, ZoneId
from guavagate.permits._directory import name_upstream
from guavagate.permits._messages import HeldPermit, Permit
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import BrokenRun, Quarantine

_LOGGER: Final = logging.getLogger(__name__)
_STOPPED: Final = 'stopped'


class WorkGuard:
    """Refuses stopped work, and tells the quarantine how other work ended."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def check(self, work: Work) -> None:
        """Raise `RefusalError` if the fleet has stopped the work."""
        if work.identity is None:
            return
        stopped = self._quarantine.find_identity(work.identity)
        if stopped is None:
            return
        write(_LOGGER, PERMIT_REFUSED, request=work.id, reason=_STOPPED)
        raise RefusalError(
            f'{len(stopped.upstreams)} upstreams ended under this request',
            'send another one, or have the record of this one removed',
            reason=_STOPPED,
            retry_after=self._quarantine.compute_wait(stopped),
        )

    def record_failure(
        self, permit: Permit, work: Work, error: UpstreamError, seconds: float
    ) -> None:
        """Record an attempt that failed after some seconds."""
        if work.identity is None:
            return
        if not isinstance(error, UpstreamDisconnectedError):
            return
        upstream = Upstream(
            id=name_upstream(permit.pool, permit.upstream),
            service=ServiceId(permit.pool),
            address=permit.address,
            zone=ZoneId(''),
        )
        run = BrokenRun(
            request=work.id, identity=work.identity, seconds=seconds
        )
        self._quarantine.record_break(upstream, run)

    def record_answer(self, held: HeldPermit | None) -> None:
        """Record that the work of a permit was answered."""
        if held is not None and held.work.identity is not None:
            self._quarantine.record_identity_answer(held.work.identity)
