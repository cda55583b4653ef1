"""What operators are shown of instances, samplers and runs."""

from typing import Protocol

import msgspec

from guavagate.models import (
    DeploymentId,
    Epoch,
    InstanceId,
    PartitionId,
    RunId,
    SamplerId,
    TeamId,
    UpstreamState,
    WeightVersion,
    ZoneId,
)


class PartitionReport(msgspec.Struct, frozen=True, kw_only=True):
    """One partition as an instance sees it."""

    partition: PartitionId
    role: str
    epoch: Epoch
    members: tuple[InstanceId, ...] = ()


class InstanceReport(msgspec.Struct, frozen=True, kw_only=True):
    """One instance.

    Parameters
    ----------
    state
        ``ready``, ``not ready``, ``draining`` or ``no answer``.
    waits_for
        Why it is not ready.
    repairs
        What it is repairing now, in words.
    """

    instance: InstanceId
    availability_zone: ZoneId
    state: str
    waits_for: tuple[str, ...] = ()
    active_requests: int = 0
    queued: int = 0
    homes: tuple[str, ...] = ()
    partitions: tuple[PartitionReport, ...] = ()
    repairs: tuple[str, ...] = ()
    release: str = ''


class SamplerReport(msgspec.Struct, frozen=True, kw_only=True):
    """One sampler as its home sees it.

    Parameters
    ----------
    pool, pool_queued
        The pool that it is in, and the requests that wait there for any of
        its samplers.
    """

    team: TeamId
    deployment: DeploymentId
    sampler: SamplerId
    availability_zone: ZoneId
    home: InstanceId
    state: UpstreamState = UpstreamState.SERVING
    running: int = 0
    slots: int = 0
    pool: str = ''
    pool_queued: int = 0
    version: WeightVersion | None = None


class RunReport(msgspec.Struct, frozen=True, kw_only=True):
    """One trainer's run as its primary sees it.

    Parameters
    ----------
    step, wanted, finished
        The first step that is not yet delivered whole, and its samples.
    steps
        Steps in work.
    stale
        Samples that were too old and have been generated again.
    """

    team: TeamId
    run: RunId
    primary: InstanceId
    deployment: DeploymentId = DeploymentId('')
    version: WeightVersion | None = None
    step: str = ''
    steps: int = 0
    wanted: int = 0
    finished: int = 0
    stale: int = 0


class LocalReports(Protocol):
    """What this instance itself knows; the daemon provides it."""

    def describe_instance(self) -> InstanceReport:
        """Return this instance."""

    def list_samplers(self) -> list[SamplerReport]:
        """Return the samplers whose home is here."""

    def list_runs(self) -> list[RunReport]:
        """Return the runs whose primary is here."""

    def start_drain(self) -> None:
        """Begin a planned stop, as SIGTERM does, without waiting for it."""
