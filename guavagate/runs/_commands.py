"""Commands that change the replicated state of runs, and their outcomes."""

import enum

import msgspec

from guavagate.models import (
    DeploymentId,
    RunId,
    SampleId,
    WeightVersion,
)
from guavagate.partitions import Command, Outcome

VersionTokens = tuple[WeightVersion, int]


class GroupSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A group of samples for one prompt."""

    group_id: str
    prompt: str
    samples: int
    max_tokens: int
    temperature: float = 1.0


class FinishedSample(msgspec.Struct, frozen=True, kw_only=True):
    """A complete sample with the weight version of each piece."""

    sample_id: SampleId
    group_id: str
    text: str
    versions: tuple[VersionTokens, ...]
    score: float | None = None


class RunCommand(Command, frozen=True, kw_only=True):
    """Base class of the commands; each names its deployment and run."""

    deployment: DeploymentId
    run: RunId


class PublishVersion(RunCommand, frozen=True, kw_only=True):
    """Records a weight version that the trainer published."""

    version: WeightVersion


class SubmitStep(RunCommand, frozen=True, kw_only=True):
    """Submits a step whose samples the trainer needs.

    Parameters
    ----------
    digest
        Hash of the step's groups; distinguishes a repeated submission from a
        different step with the same id.
    max_staleness
        Number of versions by which a sample may lag the newest published one.
    """

    step_id: str
    digest: str
    groups: tuple[GroupSpec, ...]
    max_staleness: int


class FinishSample(RunCommand, frozen=True, kw_only=True):
    """Records a complete sample from a worker."""

    step_id: str
    sample: FinishedSample


class PullBatch(RunCommand, frozen=True, kw_only=True):
    """Requests the batch that follows the trainer's cursor."""

    cursor: str
    max_samples: int


class KeepCursor(RunCommand, frozen=True, kw_only=True):
    """Stores the cursor of a consumer that keeps none itself."""

    consumer: str
    cursor: str


class ConfirmOrder(RunCommand, frozen=True, kw_only=True):
    """Proves that the primary still leads the partition before it orders."""

    version: WeightVersion


class Verdict(enum.Enum):
    """Result of a command."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    CONFLICT = 'conflict'
    STALE = 'stale'
    UNKNOWN_STEP = 'unknown_step'
    SUPERSEDED = 'superseded'
    FULL = 'full'


class RunOutcome(Outcome, frozen=True, kw_only=True):
    """Outcome of a command that returns no samples."""

    verdict: Verdict
    newest: WeightVersion | None = None
    cursor: str = ''


class Batch(Outcome, frozen=True, kw_only=True):
    """The samples that follow a cursor.

    Parameters
    ----------
    follows
        The presented cursor; a trainer accepts a batch only if this equals
        its current cursor.
    cursor
        The cursor to present next, which acknowledges this batch.
    complete
        Whether this batch completes the delivery of the step.
    """

    verdict: Verdict
    follows: str = ''
    cursor: str = ''
    step_id: str = ''
    samples: tuple[FinishedSample, ...] = ()
    complete: bool = False
    regenerated: int = 0
