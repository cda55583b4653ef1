"""One run: its steps and the delivery of their samples to the trainer.

The trainer's cursor is the commit point. The state stores the last presented
cursor and returns the batch that follows it; the same cursor returns the same
samples as long as they are fresh. A trainer accepts only an answer that follows
its current cursor, so it drops a late second answer.
"""

import msgspec

from guavagate.models import RunId, SampleId, WeightVersion
from guavagate.runs._commands import (
    Batch,
    FinishedSample,
    PullBatch,
    Verdict,
    VersionTokens,
)
from guavagate.runs._cursor import (
    START_CURSOR,
    Cursor,
    add_groups,
    decode_cursor,
    encode_cursor,
    has_group,
)
from guavagate.runs._step import (
    PendingSample,
    Step,
    find_group_index,
    list_pending,
    list_ready,
    list_sample_ids,
)


class Run(msgspec.Struct, kw_only=True):
    """The state of one run.

    `cursor` is the last presented cursor and `offered` the newest batch that
    follows it. `confirmed` is set once the trainer has presented a cursor of
    this incarnation, and `issued` is the number of cursors issued so far.
    `kept` stores the cursors of consumers that don't keep their own.
    `regenerated` counts finished samples that were stale.
    """

    run: RunId
    incarnation: str
    steps: dict[str, Step] = msgspec.field(default_factory=dict)
    digests: dict[str, str] = msgspec.field(default_factory=dict)
    cursor: Cursor = START_CURSOR
    offered: Batch | None = None
    issued: int = 0
    confirmed: bool = False
    kept: dict[str, str] = msgspec.field(default_factory=dict)
    regenerated: int = 0


def count_versions_behind(
    versions: tuple[VersionTokens, ...],
    published: list[WeightVersion],
) -> int | None:
    """Return how far the oldest piece lags behind the newest version.

    Returns None if a piece has a version that was never published, since such
    a sample can't be proven fresh.
    """
    indexes = {version: index for index, version in enumerate(published)}
    known = [indexes[version] for version, _ in versions if version in indexes]
    if not known or len(known) != len(versions):
        return None
    return len(published) - 1 - min(known)


def is_fresh(
    sample: FinishedSample,
    published: list[WeightVersion],
    bound: int,
) -> bool:
    """Return whether a sample is within the staleness bound."""
    lag = count_versions_behind(sample.versions, published)
    return lag is not None and lag <= bound


def list_pending_samples(run: Run) -> list[PendingSample]:
    """Return the samples still to be generated, earlier steps first.

    Within a step, the longest samples come first: a long sample that starts
    last would delay the whole step while the other slots are idle.
    """
    pending: list[PendingSample] = []
    for step in run.steps.values():
        step_samples = list_pending(step, _get_delivered(run.cursor, step))
        step_samples.sort(key=lambda sample: -sample.group.max_tokens)
        pending.extend(step_samples)
    return pending


def is_delivered(run: Run, step: Step, group_id: str) -> bool:
    """Return whether the trainer has committed a group."""
    index = find_group_index(step, group_id)
    return index is not None and has_group(
        _get_delivered(run.cursor, step), index
    )


def pull(run: Run, command: PullBatch, published: list[WeightVersion]) -> Batch:
    """Commit the presented cursor and return the batch that follows it."""
    presented = decode_cursor(command.cursor)
    if presented != run.cursor:
        if not _may_advance_to(run, presented):
            return Batch(verdict=Verdict.SUPERSEDED, follows=command.cursor)
        if _is_step_missing(run, presented):
            return Batch(
                verdict=Verdict.UNKNOWN_STEP,
                follows=command.cursor,
                step_id=presented.step_id,
            )
        _commit(run, presented)
    dropped = _drop_stale(run, published)
    offered = run.offered
    if offered is not None:
        return offered
    step = next(iter(run.steps.values()), None)
    indexes = step and list_ready(
        step,
        _get_delivered(run.cursor, step),
        command.max_samples,
    )
    if step is None or not indexes:
        return make_empty_batch(run, command, dropped)
    run.offered = _make_batch(run, step, indexes, command.cursor, dropped)
    return run.offered


def is_empty_pull(run: Run, command: PullBatch) -> bool:
    """Return whether a pull would return no samples and change no state.

    A pull must also be applied while any finished sample exists: a newly
    published version may have made it stale, and the pull drops stale samples
    so that they are generated again.
    """
    if run.offered is not None or command.cursor != encode_cursor(run.cursor):
        return False
    step = next(iter(run.steps.values()), None)
    if step is None:
        return True
    finished = any(each.finished for each in run.steps.values())
    return not finished


def make_empty_batch(run: Run, command: PullBatch, dropped: int = 0) -> Batch:
    """Return the batch for a pull while no group is complete."""
    step = next(iter(run.steps.values()), None)
    return Batch(
        verdict=Verdict.ACCEPTED,
        follows=command.cursor,
        cursor=command.cursor,
        step_id=step.step_id if step else '',
        regenerated=dropped,
    )


def _may_advance_to(run: Run, presented: Cursor) -> bool:
    """Return whether a cursor may be newer than the last presented one.

    Cursors of this incarnation are ordered by their sequence numbers. If an
    operator removed the run's record from the store, a cursor of an earlier
    incarnation is the only evidence of what the trainer has received. It is
    adopted until the trainer presents a cursor of this incarnation; after that,
    it can only be a late duplicate.
    """
    if presented.incarnation != run.incarnation:
        return not run.confirmed
    return not run.confirmed or presented.sequence > run.cursor.sequence


def _is_step_missing(run: Run, presented: Cursor) -> bool:
    return bool(presented.delivered) and presented.step_id not in run.steps


def _commit(run: Run, presented: Cursor) -> None:
    run.cursor = presented
    run.offered = None
    run.confirmed = run.confirmed or presented.incarnation == run.incarnation
    if presented.step_id not in run.steps:
        return
    for step_id in list(run.steps):
        if step_id == presented.step_id:
            break
        run.steps.pop(step_id)
    if not presented.delivered:
        run.steps.pop(presented.step_id)
        return
    _remove_delivered(run.steps[presented.step_id], presented.delivered)


def _remove_delivered(step: Step, delivered: bytes) -> None:
    for index, group in enumerate(step.groups):
        if not has_group(delivered, index):
            continue
        for sample_id in list_sample_ids(step.step_id, group):
            step.finished.pop(sample_id, None)


def _drop_stale(run: Run, published: list[WeightVersion]) -> int:
    """Drop finished samples beyond the bound, to be generated again.

    An offered batch that contains one of them is withdrawn. If its answer is
    still in transit, the trainer accepts whichever answer arrives first and
    drops the other, since both follow the same cursor.
    """
    dropped = 0
    for step in run.steps.values():
        stale = [
            sample_id
            for sample_id, sample in step.finished.items()
            if not is_fresh(sample, published, step.max_staleness)
        ]
        for sample_id in stale:
            step.finished.pop(sample_id)
        dropped += len(stale)
        if run.offered and run.offered.step_id == step.step_id and stale:
            _withdraw_batch(run, set(stale))
    run.regenerated += dropped
    return dropped


def _withdraw_batch(run: Run, stale: set[SampleId]) -> None:
    offered = run.offered
    if offered and any(sample.sample_id in stale for sample in offered.samples):
        run.offered = None


def _get_delivered(cursor: Cursor, step: Step) -> bytes:
    return cursor.delivered if cursor.step_id == step.step_id else b''


def _make_batch(
    run: Run,
    step: Step,
    indexes: list[int],
    follows: str,
    dropped: int,
) -> Batch:
    samples = tuple(
        step.finished[sample_id]
        for index in indexes
        for sample_id in list_sample_ids(step.step_id, step.groups[index])
    )
    bitmap = add_groups(
        _get_delivered(run.cursor, step), indexes, len(step.groups)
    )
    complete = all(
        has_group(bitmap, index) for index in range(len(step.groups))
    )
    run.issued += 1
    # A step id with an empty bitmap means that the step is complete.
    following = Cursor(
        incarnation=run.incarnation,
        sequence=run.issued,
        step_id=step.step_id,
        delivered=b'' if complete else bitmap,
    )
    return Batch(
        verdict=Verdict.ACCEPTED,
        follows=follows,
        cursor=encode_cursor(following),
        step_id=step.step_id,
        samples=samples,
        complete=complete,
        regenerated=dropped,
    )
