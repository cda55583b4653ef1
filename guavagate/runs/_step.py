"""One step of a run: its groups and finished samples."""

import msgspec

from guavagate.models import SampleId
from guavagate.runs._commands import FinishedSample, GroupSpec, SubmitStep
from guavagate.runs._cursor import has_group


class Step(msgspec.Struct, kw_only=True):
    """A submitted step.

    `finished` stores complete samples until the trainer commits them.
    `places` maps group ids to indexes and is filled on first use.
    """

    step_id: str
    digest: str
    max_staleness: int
    groups: tuple[GroupSpec, ...]
    submitted_at: float
    finished: dict[SampleId, FinishedSample] = msgspec.field(
        default_factory=dict,
    )
    places: dict[str, int] = msgspec.field(default_factory=dict)


class PendingSample(msgspec.Struct, frozen=True, kw_only=True):
    """A sample still to be generated."""

    sample_id: SampleId
    step_id: str
    group: GroupSpec
    max_staleness: int
    submitted_at: float


def make_step(command: SubmitStep) -> Step:
    """Return a new step for a submit command."""
    return Step(
        step_id=command.step_id,
        digest=command.digest,
        max_staleness=command.max_staleness,
        groups=command.groups,
        submitted_at=command.at,
    )


def list_sample_ids(step_id: str, group: GroupSpec) -> list[SampleId]:
    """Return the ids of a group's samples."""
    return [
        SampleId(f'{step_id}/{group.group_id}/{index}')
        for index in range(group.samples)
    ]


def find_group_index(step: Step, group_id: str) -> int | None:
    """Return the index of a group in its step."""
    if not step.places:
        step.places.update(
            (group.group_id, index) for index, group in enumerate(step.groups)
        )
    return step.places.get(group_id)


def has_sample(step: Step, sample: FinishedSample) -> bool:
    """Return whether a sample belongs to one of the step's groups."""
    index = find_group_index(step, sample.group_id)
    if index is None:
        return False
    sample_ids = list_sample_ids(step.step_id, step.groups[index])
    return sample.sample_id in sample_ids


def list_pending(step: Step, delivered: bytes) -> list[PendingSample]:
    """Return the samples still to be generated, in submission order."""
    return [
        PendingSample(
            sample_id=sample_id,
            step_id=step.step_id,
            group=group,
            max_staleness=step.max_staleness,
            submitted_at=step.submitted_at,
        )
        for index, group in enumerate(step.groups)
        if not has_group(delivered, index)
        for sample_id in list_sample_ids(step.step_id, group)
        if sample_id not in step.finished
    ]


def list_ready(step: Step, delivered: bytes, limit: int) -> list[int]:
    """Return the indexes of complete, undelivered groups.

    The groups have at most `limit` samples together, but a first group that
    exceeds the limit alone is still returned.
    """
    ready: list[int] = []
    count = 0
    for index, group in enumerate(step.groups):
        if has_group(delivered, index) or not _is_finished(step, group):
            continue
        if ready and count + group.samples > limit:
            break
        ready.append(index)
        count += group.samples
    return ready


def _is_finished(step: Step, group: GroupSpec) -> bool:
    return all(
        sample_id in step.finished
        for sample_id in list_sample_ids(step.step_id, group)
    )
