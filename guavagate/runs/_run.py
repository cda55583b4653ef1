"""One run: its steps, and the delivery of their samples to its trainer.

The trainer's cursor is the commit point. The state keeps the cursor that was
presented last and hands out what follows it; the same cursor gets the same
samples for as long as they are fresh. A trainer takes only an answer that
follows the cursor it holds, so a second answer that arrives late is dropped.
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
    START,
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
    list_samples,
)


class Run(msgspec.Struct, kw_only=True):
    """The state of one run.

    `cursor` is the one presented last; `offered` the newest batch that
    follows it. `confirmed` says that the trainer has presented a cursor of
    this incarnation. `kept` holds the cursors of consumers that keep none.
    """

    run: RunId
    incarnation: str
    steps: dict[str, Step] = msgspec.field(default_factory=dict)
    digests: dict[str, str] = msgspec.field(default_factory=dict)
    cursor: Cursor = START
    offered: Batch | None = None
    issued: int = 0
    confirmed: bool = False
    kept: dict[str, str] = msgspec.field(default_factory=dict)
    regenerated: int = 0


def count_versions_behind(
    versions: tuple[VersionTokens, ...],
    published: list[WeightVersion],
) -> int | None:
    """Return how many versions the oldest piece lags the newest published.

    Nothing is returned when a piece has a version that was never published:
    such a sample can't be shown to be fresh.
    """
    places = {version: place for place, version in enumerate(published)}
    known = [places[version] for version, _ in versions if version in places]
    if not known or len(known) != len(versions):
        return None
    return len(published) - 1 - min(known)


def is_fresh(
    sample: FinishedSample,
    published: list[WeightVersion],
    bound: int,
) -> bool:
    """Tell whether a sample may be handed out."""
    lag = count_versions_behind(sample.versions, published)
    return lag is not None and lag <= bound


def list_pending_samples(run: Run) -> list[PendingSample]:
    """Return what has still to be generated, earlier steps first.

    Within a step the longest come first: a long one that starts last holds up
    the whole step while the other slots are idle.
    """
    pending: list[PendingSample] = []
    for step in run.steps.values():
        left = list_pending(step, _bitmap(run.cursor, step))
        left.sort(key=lambda sample: -sample.group.max_tokens)
        pending.extend(left)
    return pending


def is_delivered(run: Run, step: Step, group_id: str) -> bool:
    """Tell whether the trainer has committed a group."""
    place = find_group_index(step, group_id)
    return place is not None and has_group(_bitmap(run.cursor, step), place)


def pull(run: Run, command: PullBatch, published: list[WeightVersion]) -> Batch:
    """Hand out what follows the presented cursor."""
    presented = decode_cursor(command.cursor)
    if presented != run.cursor:
        if not _may_follow(run, presented):
            return Batch(verdict=Verdict.SUPERSEDED, follows=command.cursor)
        if _lacks_step(run, presented):
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
    places = step and list_ready(
        step,
        _bitmap(run.cursor, step),
        command.max_samples,
    )
    if step is None or not places:
        return make_empty_batch(run, command, dropped)
    run.offered = _make_batch(run, step, places, command.cursor, dropped)
    return run.offered


def is_empty_pull(run: Run, command: PullBatch) -> bool:
    """Tell whether a pull would find nothing and change nothing.

    Only newly published versions make samples stale, and those that are have
    to be dropped by the pull itself, so that they are made again.
    """
    if run.offered is not None or command.cursor != encode_cursor(run.cursor):
        return False
    step = next(iter(run.steps.values()), None)
    if step is None:
        return True
    finished = any(each.finished for each in run.steps.values())
    return not finished


def make_empty_batch(run: Run, command: PullBatch, dropped: int = 0) -> Batch:
    """Return what a pull gives while no group is whole."""
    step = next(iter(run.steps.values()), None)
    return Batch(
        verdict=Verdict.ACCEPTED,
        follows=command.cursor,
        cursor=command.cursor,
        step_id=step.step_id if step else '',
        regenerated=dropped,
    )


def _may_follow(run: Run, presented: Cursor) -> bool:
    """Tell whether a cursor can be newer than the one presented last.

    One of this incarnation is newer when it was issued later. One of an
    earlier incarnation, whose record an operator has removed from the store,
    is all that is known of what the trainer has: it is adopted until the
    trainer has presented one of this incarnation, and from then on can only
    be a late duplicate.
    """
    if presented.incarnation != run.incarnation:
        return not run.confirmed
    return not run.confirmed or presented.sequence > run.cursor.sequence


def _lacks_step(run: Run, presented: Cursor) -> bool:
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
    _forget_delivered(run.steps[presented.step_id], presented.delivered)


def _forget_delivered(step: Step, delivered: bytes) -> None:
    for place, group in enumerate(step.groups):
        if not has_group(delivered, place):
            continue
        for sample in list_samples(step.step_id, group):
            step.finished.pop(sample, None)


def _drop_stale(run: Run, published: list[WeightVersion]) -> int:
    """Forget finished samples beyond the bound, to be generated again.

    A batch that was offered and has gone stale is withdrawn too: if its answer
    is still under way, the trainer takes whichever comes first and drops the
    other, since both follow the same cursor.
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
            _withdraw(run, set(stale))
    run.regenerated += dropped
    return dropped


def _withdraw(run: Run, stale: set[SampleId]) -> None:
    offered = run.offered
    if offered and any(s.sample_id in stale for s in offered.samples):
        run.offered = None


def _bitmap(cursor: Cursor, step: Step) -> bytes:
    return cursor.delivered if cursor.step_id == step.step_id else b''


def _make_batch(
    run: Run,
    step: Step,
    places: list[int],
    follows: str,
    dropped: int,
) -> Batch:
    samples = tuple(
        step.finished[sample]
        for place in places
        for sample in list_samples(step.step_id, step.groups[place])
    )
    bitmap = add_groups(_bitmap(run.cursor, step), places, len(step.groups))
    complete = all(
        has_group(bitmap, place) for place in range(len(step.groups))
    )
    run.issued += 1
    # An empty bitmap beside a step's id means that the whole step is done.
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
