"""Messages between a run's primary and the workers that generate samples."""

from guavagate.links import Message
from guavagate.models import (
    DeploymentId,
    RunId,
    SampleId,
    TeamId,
    WeightVersion,
)
from guavagate.runs._commands import GroupSpec, Verdict


class GenerateSample(Message, frozen=True, kw_only=True):
    """Requests one sample from a worker; sent by the primary.

    Parameters
    ----------
    attempt
        Distinguishes the attempts at one sample.
    oldest
        The oldest version within the staleness bound, if any is known.
    weight
        The run's weight among the runs of its deployment.
    """

    team: TeamId
    deployment: DeploymentId
    run: RunId
    step_id: str
    step_order: int
    sample_id: SampleId
    attempt: int
    group: GroupSpec
    oldest: WeightVersion | None = None
    weight: float = 1.0
    submitted_at: float = 0


class SampleEnded(Message, frozen=True, kw_only=True):
    """Reports that an attempt ended; it has no verdict if it failed."""

    lineage: DeploymentId
    run: RunId
    sample_id: SampleId
    attempt: int
    verdict: Verdict | None = None


class CancelSample(Message, frozen=True, kw_only=True):
    """Stops an attempt because another one finished first."""

    run: RunId
    sample_id: SampleId
    attempt: int
