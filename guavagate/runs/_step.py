"""One step of a run: its groups and the samples finished so far."""

import msgspec

from guavagate.models import SampleId
from guavagate.runs._commands import FinishedSample, GroupSpec, SubmitStep
from guavagate.runs._cursor import has_group


class Step(msgspec.Struct, kw_only=True):
    """A submitted step.

    `finished` holds whole samples until the trainer has committed them;
    `places` is made from the groups when it is first needed.
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
    """A sample that has still to be generated."""

    sample_id: SampleId
    step_id: str
    group: GroupSpec
    max_staleness: int
    submitted_at: float


def make_step(command: SubmitStep) -> Step:
    """Return the step that a command submits."""
    return Step(
        step_id=command.step_id,
        digest=command.digest,
        max_staleness=command.max_staleness,
        groups=command.groups,
        submitted_at=command.at,
    )


def list_samples(step_id: str, group: GroupSpec) -> list[SampleId]:
    """Return the ids of a group's samples."""
    return [
        SampleId(f'{step_id}/{group.group_id}/{index}')
        for index in range(group.samples)
    ]


def find_group_index(step: Step, group_id: str) -> int | None:
    """Return a group's place in its step."""
    if not step.places:
        step.places.update(
            (group.group_id, place) for place, group in enumerate(step.groups)
        )
    return step.places.get(group_id)


def has_sample(step: Step, sample: FinishedSample) -> bool:
    """Tell whether a sample belongs to one of the step's groups."""
    place = find_group_index(step, sample.group_id)
    if place is None:
        return False
    names = list_samples(step.step_id, step.groups[place])
    return sample.sample_id in names


def list_pending(step: Step, delivered: bytes) -> list[PendingSample]:
    """Return what has still to be generated, in the order submitted."""
    return [
        PendingSample(
            sample_id=sample,
            step_id=step.step_id,
            group=group,
            max_staleness=step.max_staleness,
            submitted_at=step.submitted_at,
        )
        for place, group in enumerate(step.groups)
        if not has_group(delivered, place)
        for sample in list_samples(step.step_id, group)
        if sample not in step.finished
    ]


def list_ready(step: Step, delivered: bytes, limit: int) -> list[int]:
    """Return the places of whole, undelivered groups, up to some samples.

    At least one group is returned when one is ready, however large.
    """
    ready: list[int] = []
    count = 0
    for place, group in enumerate(step.groups):
        if has_group(delivered, place) or not _is_finished(step, group):
            continue
        if ready and count + group.samples > limit:
            break
        ready.append(place)
        count += group.samples
    return ready


def _is_finished(step: Step, group: GroupSpec) -> bool:
    return all(
        sample in step.finished for sample in list_samples(step.step_id, group)
    )
