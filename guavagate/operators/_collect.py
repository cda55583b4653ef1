"""Collects reports from all instances and starts drains."""

import enum
import logging
from typing import Final, TypeVar

import msgspec
from gevent.pool import Pool

from guavagate.events import write
from guavagate.events.edge import DRAIN_REQUESTED
from guavagate.exceptions import LinkError
from guavagate.links import Message, expect
from guavagate.metrics import Series, SeriesRecorder
from guavagate.models import InstanceId
from guavagate.operators._reports import (
    InstanceReport,
    LocalReports,
    RunReport,
    SamplerReport,
)
from guavagate.runtime import Runtime

_LOGGER = logging.getLogger(__name__)

_TIMEOUT_SECONDS: Final = 2.0
_MAX_PARALLEL_REQUESTS: Final = 32

_Answer = TypeVar('_Answer', bound=Message)


class ReportKind(enum.Enum):
    """A kind of report."""

    INSTANCE = 'instance'
    SAMPLERS = 'samplers'
    RUNS = 'runs'
    SERIES = 'series'


class ReportAsk(Message, frozen=True, kw_only=True):
    """Requests one report from an instance."""

    matter: str


class ReportAnswer(Message, frozen=True, kw_only=True):
    """Contains the requested report; the other fields are empty."""

    instance: InstanceReport | None = None
    samplers: tuple[SamplerReport, ...] = ()
    runs: tuple[RunReport, ...] = ()
    series: tuple[Series, ...] = ()


class DrainAsk(Message, frozen=True, kw_only=True):
    """Requests that an instance begins a planned stop."""

    who: str


class DrainBegun(Message, frozen=True, kw_only=True):
    """Confirms that the planned stop has begun."""


class CollectedReports(msgspec.Struct, frozen=True, kw_only=True):
    """All received reports, and why others are missing."""

    answers: dict[InstanceId, ReportAnswer]
    missing: dict[InstanceId, str]


class ReportCollector:
    """Requests reports from all peers, and answers the requests of peers."""

    def __init__(
        self, runtime: Runtime, reports: LocalReports, series: SeriesRecorder
    ) -> None:
        self._runtime = runtime
        self._reports = reports
        self._series = series
        runtime.bus.register(ReportAsk, self._handle_report_request)
        runtime.bus.register(DrainAsk, self._handle_drain)

    def collect(self, kind: ReportKind) -> CollectedReports:
        """Return the reports of all instances, or why they are missing."""
        own_id = self._runtime.settings.id
        peers = [
            peer.id
            for peer in self._runtime.members.alive()
            if peer.id != own_id
        ]
        replies = Pool(_MAX_PARALLEL_REQUESTS).map(
            lambda peer: self._request_report(peer, kind), peers
        )
        answers = {own_id: self._make_report(kind)}
        missing: dict[InstanceId, str] = {}
        for peer, reply in zip(peers, replies, strict=True):
            if isinstance(reply, ReportAnswer):
                answers[peer] = reply
            else:
                missing[peer] = reply
        return CollectedReports(answers=answers, missing=missing)

    def drain(self, instance: InstanceId, operator: str) -> None:
        """Start a planned stop of an instance.

        Raises
        ------
        LinkError
            The instance did not respond.
        """
        if instance == self._runtime.settings.id:
            self._start_drain(operator, instance)
            return
        self._runtime.bus.request(
            instance, DrainAsk(who=operator), DrainBegun, _TIMEOUT_SECONDS
        )

    def _start_drain(self, operator: str, entry: InstanceId) -> None:
        write(_LOGGER, DRAIN_REQUESTED, who=operator, through=entry)
        self._reports.start_drain()

    def _request_report(
        self, peer: InstanceId, kind: ReportKind
    ) -> ReportAnswer | str:
        try:
            return self._runtime.bus.request(
                peer,
                ReportAsk(matter=kind.value),
                ReportAnswer,
                _TIMEOUT_SECONDS,
            )
        except LinkError as error:
            return error.problem

    def _make_report(self, kind: ReportKind) -> ReportAnswer:
        if kind is ReportKind.INSTANCE:
            return ReportAnswer(instance=self._reports.describe_instance())
        if kind is ReportKind.SAMPLERS:
            return ReportAnswer(samplers=tuple(self._reports.list_samplers()))
        if kind is ReportKind.RUNS:
            return ReportAnswer(runs=tuple(self._reports.list_runs()))
        return ReportAnswer(series=tuple(self._series.list_series()))

    def _handle_report_request(
        self, sender: InstanceId, message: Message
    ) -> ReportAnswer:
        return self._make_report(ReportKind(expect(message, ReportAsk).matter))

    def _handle_drain(self, sender: InstanceId, message: Message) -> DrainBegun:
        self._start_drain(expect(message, DrainAsk).who, sender)
        return DrainBegun()
