"""Reports of instances, partitions, samplers and runs for operators."""

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
    """The state of one instance.

    Parameters
    ----------
    state
        ``ready``, ``not ready``, ``draining`` or ``no answer``.
    waits_for
        Why the instance is not ready or did not respond.
    homes
        The pools whose queue owner is this instance.
    repairs
        Descriptions of the repairs in progress.
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
    """One sampler as the queue owner of its pool sees it.

    Parameters
    ----------
    home
        The queue owner.
    pool, pool_queued
        The pool of the sampler, and the requests queued there for any sampler
        of the pool.
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
    """A run of a trainer as its primary sees it.

    Parameters
    ----------
    step, wanted, finished
        The first step that is not completely delivered, and how many samples
        it needs and has.
    steps
        The number of steps in progress.
    stale
        The number of samples that were generated again because their weights
        were too old.
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
    """Describes this instance; the daemon provides the implementation."""

    def describe_instance(self) -> InstanceReport:
        """Return the report of this instance."""

    def list_samplers(self) -> list[SamplerReport]:
        """Return the samplers of the pools whose queue owner is here."""

    def list_runs(self) -> list[RunReport]:
        """Return the runs whose primary is on this instance."""

    def start_drain(self) -> None:
        """Begin a planned stop, as SIGTERM does, and return at once."""
