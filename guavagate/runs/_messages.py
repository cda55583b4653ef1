"""Messages between a run's primary and the workers of its samples."""

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
    """The primary asks a worker for one sample.

    Parameters
    ----------
    attempt
        Distinguishes duplicates of one sample.
    oldest
        The oldest version that still makes the sample fresh, if any is known.
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
    """A worker has ended with a sample; no verdict when it failed."""

    lineage: DeploymentId
    run: RunId
    sample_id: SampleId
    attempt: int
    verdict: Verdict | None = None


class CancelSample(Message, frozen=True, kw_only=True):
    """Another attempt was first; stop this one."""

    run: RunId
    sample_id: SampleId
    attempt: int
