"""Collects the reports of all instances."""

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

_TIMEOUT: Final = 2.0
_AT_ONCE: Final = 32

_Answer = TypeVar('_Answer', bound=Message)


class ReportKind(enum.Enum):
    """What is asked for."""

    INSTANCE = 'instance'
    SAMPLERS = 'samplers'
    RUNS = 'runs'
    SERIES = 'series'


class ReportAsk(Message, frozen=True, kw_only=True):
    """Asks an instance for one of its reports."""

    matter: str


class ReportAnswer(Message, frozen=True, kw_only=True):
    """The report asked for; the others are empty."""

    instance: InstanceReport | None = None
    samplers: tuple[SamplerReport, ...] = ()
    runs: tuple[RunReport, ...] = ()
    series: tuple[Series, ...] = ()


class DrainAsk(Message, frozen=True, kw_only=True):
    """Asks an instance to begin a planned stop."""

    who: str


class DrainBegun(Message, frozen=True, kw_only=True):
    """The planned stop has begun."""


class CollectedReports(msgspec.Struct, frozen=True, kw_only=True):
    """All answers, and why others are missing."""

    answers: dict[InstanceId, ReportAnswer]
    missing: dict[InstanceId, str]


class ReportCollector:
    """Answers peers' questions, and asks them all."""

    def __init__(
        self, runtime: Runtime, reports: LocalReports, series: SeriesRecorder
    ) -> None:
        self._runtime = runtime
        self._reports = reports
        self._series = series
        runtime.bus.register(ReportAsk, self._handle_ask)
        runtime.bus.register(DrainAsk, self._handle_drain)

    def collect(self, matter: ReportKind) -> CollectedReports:
        """Return every instance's report; the missing ones are named."""
        me = self._runtime.settings.id
        peers = [
            peer.id for peer in self._runtime.members.alive() if peer.id != me
        ]
        asked = Pool(_AT_ONCE).map(lambda peer: self._ask(peer, matter), peers)
        answers = {me: self._answer(matter)}
        missing: dict[InstanceId, str] = {}
        for peer, answer in zip(peers, asked, strict=True):
            if isinstance(answer, ReportAnswer):
                answers[peer] = answer
            else:
                missing[peer] = answer
        return CollectedReports(answers=answers, missing=missing)

    def drain(self, instance: InstanceId, who: str) -> None:
        """Have an instance begin a planned stop.

        Raises
        ------
        LinkError
            It did not answer.
        """
        if instance == self._runtime.settings.id:
            self._begin_drain(who, instance)
            return
        self._runtime.bus.request(
            instance, DrainAsk(who=who), DrainBegun, _TIMEOUT
        )

    def _begin_drain(self, who: str, through: InstanceId) -> None:
        write(_LOGGER, DRAIN_REQUESTED, who=who, through=through)
        self._reports.start_drain()

    def _ask(self, peer: InstanceId, matter: ReportKind) -> ReportAnswer | str:
        try:
            return self._runtime.bus.request(
                peer, ReportAsk(matter=matter.value), ReportAnswer, _TIMEOUT
            )
        except LinkError as error:
            return error.problem

    def _answer(self, matter: ReportKind) -> ReportAnswer:
        if matter is ReportKind.INSTANCE:
            return ReportAnswer(instance=self._reports.describe_instance())
        if matter is ReportKind.SAMPLERS:
            return ReportAnswer(samplers=tuple(self._reports.list_samplers()))
        if matter is ReportKind.RUNS:
            return ReportAnswer(runs=tuple(self._reports.list_runs()))
        return ReportAnswer(series=tuple(self._series.list_series()))

    def _handle_ask(self, sender: InstanceId, message: Message) -> ReportAnswer:
        return self._answer(ReportKind(expect(message, ReportAsk).matter))

    def _handle_drain(self, sender: InstanceId, message: Message) -> DrainBegun:
        self._begin_drain(expect(message, DrainAsk).who, sender)
        return DrainBegun()
