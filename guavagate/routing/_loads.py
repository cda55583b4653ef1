"""What this instance observes of the upstreams: answers, failures, reports."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.decisions.background import average_caller_slots
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.models import UpstreamId
from guavagate.ports.load import LoadReport
from guavagate.routing._choice import Load, is_failing_probes
from guavagate.util.backoff import compute_backoff

_LOGGER: Final = logging.getLogger(__name__)

# At the usual rate of lost responses (a few percent), two consecutive failures
# are unlikely to be chance; a single one only makes other upstreams preferred.
EJECT_AFTER_FAILURES: Final = 2
# Doubles with each further failure, up to the maximum.
EJECT_SECONDS: Final = 1.0
EJECT_MAX_SECONDS: Final = 4.0
LATENCY_SMOOTHING: Final = 0.2


class LoadRecords:
    """Records the observed load of each upstream, and ejects failing ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[str, Load] = {}
        self._on_cold_report: list[Callable[[UpstreamId, float], None]] = []

    def subscribe_cold_reports(
        self, callback: Callable[[UpstreamId, float], None]
    ) -> None:
        """Call `callback`, which must not block, with each cold report.

        It gets the upstream and for how many seconds longer it is cold.
        """
        self._on_cold_report.append(callback)

    def load(self, upstream: UpstreamId) -> Load:
        """Return this instance's view of an upstream's load."""
        return self._loads.setdefault(upstream, Load())

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Record the load that an upstream reported with a response.

        A response without any figure leaves the earlier report to its age.
        """
        load = self.load(upstream)
        load.answered_at = self._clock.now()
        if report.cold_for:
            for callback in self._on_cold_report:
                callback(upstream, report.cold_for)
        if report == LoadReport():
            return
        load.report = report
        load.report_at = self._clock.now()
        busy = report.busy
        if busy is None:
            return
        load.reported_busy = busy
        load.reported_at = self._clock.now()
        load.caller_slots = average_caller_slots(
            load.caller_slots, busy, load.in_flight
        )

    def record_success(self, upstream: UpstreamId, seconds: float) -> None:
        """Record a response, whatever its status."""
        load = self.load(upstream)
        load.answers += 1
        load.failures = 0
        load.timeouts = 0
        weight = LATENCY_SMOOTHING if load.latency else 1
        load.latency += (seconds - load.latency) * weight

    def record_timeout(self, upstream: UpstreamId) -> None:
        """Record that a request received nothing within its timeout."""
        self.load(upstream).timeouts += 1

    def record_failed_probe(
        self, upstream: UpstreamId, sent_at: float, *, refused: bool = False
    ) -> None:
        """Record that a probe got no answer, or its address refused it.

        Parameters
        ----------
        sent_at
            When it was sent. It tells nothing if an answer to anything else
            has arrived since.
        """
        load = self.load(upstream)
        now = self._clock.now()
        if load.answered_at >= sent_at:
            return
        if not is_failing_probes(load, now):
            load.failing_since = now
        load.probe_failed_at = now
        load.refusing = refused

    def record_failure(self, upstream: UpstreamId) -> None:
        """Record that a request was cut off or got no response."""
        load = self.load(upstream)
        load.failures += 1
        further = load.failures - EJECT_AFTER_FAILURES
        if further < 0:
            return
        seconds = compute_backoff(EJECT_SECONDS, further + 1, EJECT_MAX_SECONDS)
        load.ejected_until = self._clock.now() + seconds
        write(
            _LOGGER,
            events.UPSTREAM_EJECTED,
            upstream=upstream,
            failures=load.failures,
            seconds=seconds,
        )

    def _eject_ended(self, upstream: UpstreamId) -> bool:
        """Eject an upstream that has ended; return False if it was ejected."""
        load = self.load(upstream)
        now = self._clock.now()
        if load.ejected_until > now:
            return False
        load.failures = max(load.failures, EJECT_AFTER_FAILURES)
        load.ejected_until = now + EJECT_MAX_SECONDS
        write(
            _LOGGER,
            events.UPSTREAM_FOUND_ENDED,
            upstream=upstream,
            seconds=EJECT_MAX_SECONDS,
        )
        return True
