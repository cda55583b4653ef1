"""Reads the load reports of the upstreams in the owned pools."""

import logging
from typing import Final

from guavagate.decisions import SamplerReport
from guavagate.events import write
from guavagate.events.routing import REPORT_MISSING
from guavagate.exceptions import UpstreamError
from guavagate.models import SamplerId, WeightVersion
from guavagate.permits._directory import PoolMember
from guavagate.permits._owned import OwnedPool
from guavagate.permits._queue_owner import QueueOwner
from guavagate.ports.engine import EngineReport, ModelEngine
from guavagate.ports.plain_service import PlainService
from guavagate.runtime import Runtime

_LOGGER = logging.getLogger(__name__)

# A leaving upstream must get no new work after a few seconds. The next report
# shows it at the latest, so within this interval and the report's timeout.
REPORT_INTERVAL_SECONDS: Final = 1.0
REPORT_TIMEOUT_SECONDS: Final = 0.8
# The first missed report in a row is logged, and then every thirtieth.
LOG_EVERY_MISSED: Final = 30
# Plain services have no weights.
NO_VERSION: Final = WeightVersion(0)


class ReportReader:
    """Polls each upstream of the owned pools."""

    def __init__(
        self,
        runtime: Runtime,
        queue_owner: QueueOwner,
        engine: ModelEngine,
        service: PlainService,
    ) -> None:
        self._runtime = runtime
        self._queue_owner = queue_owner
        self._engine = engine
        self._service = service
        self._missed: dict[str, int] = {}
        self._reports: dict[str, EngineReport] = {}

    def start(self) -> None:
        """Poll until the instance stops."""
        self._runtime.clock.spawn(self._poll)

    def reports(self) -> dict[str, EngineReport]:
        """Return the newest report of each sampler in the owned pools."""
        return self._reports

    def _poll(self) -> None:
        while True:
            for owned in self._queue_owner.list_owned():
                for member in owned.spec.members:
                    self._runtime.clock.spawn(self._read, owned, member)
            self._runtime.clock.sleep(REPORT_INTERVAL_SECONDS)

    def _read(self, owned: OwnedPool, member: PoolMember) -> None:
        try:
            report = self._fetch(owned, member)
        except UpstreamError as error:
            self._record_missed(member, error)
            return
        self._missed.pop(member.id, None)
        self._reports[member.id] = report
        sampler = SamplerId(member.id)
        if report.leaving:
            self._queue_owner.mark_leaving(owned, sampler)
        else:
            self._queue_owner.mark_serving(owned, sampler)
        owned.pool.record_report(
            sampler,
            SamplerReport(
                at=self._runtime.clock.now(),
                running=report.running,
                version=report.version if owned.spec.deployment else None,
                leaving=report.leaving,
            ),
            self._runtime.clock.now(),
        )
        self._queue_owner.schedule(owned)

    def _fetch(self, owned: OwnedPool, member: PoolMember) -> EngineReport:
        if owned.spec.deployment is not None:
            return self._engine.report(member.address, REPORT_TIMEOUT_SECONDS)
        plain = self._service.report(member.address, REPORT_TIMEOUT_SECONDS)
        return EngineReport(
            version=NO_VERSION,
            running=plain.running,
            queued=plain.queued,
            slots=plain.slots,
            leaving=plain.leaving,
        )

    def _record_missed(self, member: PoolMember, error: UpstreamError) -> None:
        missed = self._missed.get(member.id, 0)
        self._missed[member.id] = missed + 1
        self._reports.pop(member.id, None)
        if missed % LOG_EVERY_MISSED == 0:
            write(_LOGGER, REPORT_MISSING, upstream=member.id, error=str(error))
