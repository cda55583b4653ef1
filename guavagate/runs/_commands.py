"""Commands and outcomes of the runs' state."""

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
    """A group of samples of one prompt."""

    group_id: str
    prompt: str
    samples: int
    max_tokens: int
    temperature: float = 1.0


class FinishedSample(msgspec.Struct, frozen=True, kw_only=True):
    """A whole sample, with the versions of every piece of it."""

    sample_id: SampleId
    group_id: str
    text: str
    versions: tuple[VersionTokens, ...]
    score: float | None = None


class RunCommand(Command, frozen=True, kw_only=True):
    """Base of the commands; all name the deployment and the run."""

    deployment: DeploymentId
    run: RunId


class PublishVersion(RunCommand, frozen=True, kw_only=True):
    """The trainer has published new weights."""

    version: WeightVersion


class SubmitStep(RunCommand, frozen=True, kw_only=True):
    """The trainer asks for a step's samples.

    Parameters
    ----------
    digest
        Of the whole step, so that a repeated submit is told from another.
    max_staleness
        Versions by which a sample may lag the newest published one.
    """

    step_id: str
    digest: str
    groups: tuple[GroupSpec, ...]
    max_staleness: int


class FinishSample(RunCommand, frozen=True, kw_only=True):
    """A worker has a whole sample."""

    step_id: str
    sample: FinishedSample


class PullBatch(RunCommand, frozen=True, kw_only=True):
    """The trainer presents its cursor and asks for what follows it."""

    cursor: str
    max_samples: int


class KeepCursor(RunCommand, frozen=True, kw_only=True):
    """A consumer without a cursor of its own acknowledges a batch."""

    consumer: str
    cursor: str


class ConfirmOrder(RunCommand, frozen=True, kw_only=True):
    """The primary proves that it still decides before it orders a swap."""

    version: WeightVersion


class Verdict(enum.Enum):
    """What became of a command."""

    ACCEPTED = 'accepted'
    DUPLICATE = 'duplicate'
    CONFLICT = 'conflict'
    STALE = 'stale'
    UNKNOWN_STEP = 'unknown_step'
    SUPERSEDED = 'superseded'
    FULL = 'full'


class RunOutcome(Outcome, frozen=True, kw_only=True):
    """What became of a command that hands nothing out."""

    verdict: Verdict
    newest: WeightVersion | None = None
    cursor: str = ''


class Batch(Outcome, frozen=True, kw_only=True):
    """What follows a cursor.

    Parameters
    ----------
    follows
        The presented cursor; a trainer takes a batch only if this is the
        cursor it holds.
    cursor
        What to present next, and thereby acknowledge this batch.
    complete
        Whether the step is delivered whole with this batch.
    """

    verdict: Verdict
    follows: str = ''
    cursor: str = ''
    step_id: str = ''
    samples: tuple[FinishedSample, ...] = ()
    complete: bool = False
    regenerated: int = 0
