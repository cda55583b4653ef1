"""The replicated state of all runs in one partition."""

from typing import Final, cast

import msgspec

from guavagate.helpers.decoding import decode_msgpack
from guavagate.models import DeploymentId, RunId, SampleId, WeightVersion
from guavagate.partitions import Command, Outcome
from guavagate.runs._commands import (
    ConfirmOrder,
    FinishSample,
    KeepCursor,
    PublishVersion,
    PullBatch,
    RunCommand,
    RunOutcome,
    SubmitStep,
    Verdict,
)
from guavagate.runs._cursor import is_older
from guavagate.runs._run import (
    Run,
    is_delivered,
    is_empty_pull,
    is_fresh,
    list_pending_samples,
    make_empty_batch,
    pull,
)
from guavagate.runs._step import PendingSample, has_sample, make_step

# The samples of an open step are kept in memory and in the store. The limit
# prevents a trainer that never pulls from exhausting the memory.
MAX_OPEN_STEPS: Final = 16
# Digests of past steps, so that a late repeated submission is recognised as a
# duplicate.
MAX_STEP_DIGESTS: Final = 1024
# Older versions are beyond any staleness bound that the settings allow.
MAX_PUBLISHED_VERSIONS: Final = 256

PendingSamples = dict[SampleId, PendingSample]

RUN_COMMANDS: Final[tuple[type[RunCommand], ...]] = (
    PublishVersion,
    SubmitStep,
    FinishSample,
    PullBatch,
    KeepCursor,
    ConfirmOrder,
)


class Lineage(msgspec.Struct, kw_only=True):
    """A deployment's published versions, oldest first, and its runs.

    `publish_seconds` is the time between the last two versions.
    """

    published: list[WeightVersion] = msgspec.field(default_factory=list)
    published_at: float = 0
    publish_seconds: float | None = None
    runs: dict[RunId, Run] = msgspec.field(default_factory=dict)


class _Snapshot(msgspec.Struct, kw_only=True):
    """The encoded form of the state."""

    lineages: dict[DeploymentId, Lineage]


class RunsState:
    """State machine for the deployments and runs of one partition."""

    def __init__(self) -> None:
        self.lineages: dict[DeploymentId, Lineage] = {}
        self._pending: dict[tuple[DeploymentId, RunId], PendingSamples] = {}

    def apply(self, command: Command) -> Outcome:
        """Apply one command and return its outcome."""
        command = cast(RunCommand, command)
        lineage = self.lineages.setdefault(command.deployment, Lineage())
        if isinstance(command, PublishVersion):
            return _publish(lineage, command)
        if isinstance(command, ConfirmOrder):
            return _make_outcome(lineage, Verdict.ACCEPTED)
        run = lineage.runs.get(command.run)
        if run is None:
            run = Run(run=command.run, incarnation=f'{command.at:.6f}')
            lineage.runs[command.run] = run
        before = _fingerprint_pending(run)
        outcome = _apply_to_run(lineage, run, command)
        key = (command.deployment, run.run)
        if _fingerprint_pending(run) != before:
            self._pending.pop(key, None)
        elif isinstance(command, FinishSample):
            self._remove_finished(key, run, command)
        return outcome

    def preview(self, command: Command) -> Outcome | None:
        """Return an empty batch if there are no samples to deliver.

        A waiting trainer polls ten times a second, and recording every pull
        would write to the store each time. An empty answer is harmless even if
        another instance has taken over meanwhile: the trainer polls again.
        """
        if not isinstance(command, PullBatch):
            return None
        lineage = self.lineages.get(command.deployment)
        run = lineage and lineage.runs.get(command.run)
        if not run or not is_empty_pull(run, command):
            return None
        return make_empty_batch(run, command)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return msgspec.msgpack.encode(_Snapshot(lineages=self.lineages))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot."""
        decoded = decode_msgpack(snapshot, _Snapshot)
        self.lineages = decoded.lineages
        self._pending.clear()

    def find_newest_version(
        self, deployment: DeploymentId
    ) -> WeightVersion | None:
        """Return the newest published version."""
        lineage = self.lineages.get(deployment)
        if lineage is None or not lineage.published:
            return None
        return lineage.published[-1]

    def list_pending_by_run(
        self, deployment: DeploymentId
    ) -> dict[RunId, PendingSamples]:
        """Return the samples still to be generated, by run and in order.

        The result is cached and rebuilt only after a step was added or removed
        or samples became stale. The driver calls this 20 times a second, and
        listing a step's samples each time would take a tenth of a core.
        """
        lineage = self.lineages.get(deployment, Lineage())
        found: dict[RunId, PendingSamples] = {}
        for run in lineage.runs.values():
            key = (deployment, run.run)
            if key not in self._pending:
                self._pending[key] = {
                    sample.sample_id: sample
                    for sample in list_pending_samples(run)
                }
            found[run.run] = self._pending[key]
        return found

    def _remove_finished(
        self,
        key: tuple[DeploymentId, RunId],
        run: Run,
        command: FinishSample,
    ) -> None:
        step = run.steps.get(command.step_id)
        sample_id = command.sample.sample_id
        if step is not None and sample_id in step.finished:
            self._pending.get(key, {}).pop(sample_id, None)


def _fingerprint_pending(run: Run) -> tuple[object, ...]:
    """Return a value that changes when the cached samples must be rebuilt.

    A stale sample increments `regenerated`, adding or removing a step changes
    the number of steps or digests, and a commit changes the cursor. A single
    finished sample changes none of them; it is removed from the cache instead.
    """
    return (run.cursor, run.regenerated, len(run.steps), len(run.digests))


def _apply_to_run(lineage: Lineage, run: Run, command: RunCommand) -> Outcome:
    if isinstance(command, SubmitStep):
        return _make_outcome(lineage, _submit(run, command))
    if isinstance(command, FinishSample):
        return _make_outcome(lineage, _finish(run, command, lineage.published))
    if isinstance(command, PullBatch):
        return pull(run, command, lineage.published)
    return _store_cursor(run, cast(KeepCursor, command), lineage)


def _make_outcome(
    lineage: Lineage, verdict: Verdict, cursor: str = ''
) -> RunOutcome:
    newest = lineage.published[-1] if lineage.published else None
    return RunOutcome(verdict=verdict, newest=newest, cursor=cursor)


def _publish(lineage: Lineage, command: PublishVersion) -> RunOutcome:
    if command.version in lineage.published:
        return _make_outcome(lineage, Verdict.DUPLICATE)
    if lineage.published and command.version < lineage.published[-1]:
        return _make_outcome(lineage, Verdict.CONFLICT)
    lineage.published.append(command.version)
    if lineage.published_at:
        lineage.publish_seconds = command.at - lineage.published_at
    lineage.published_at = command.at
    del lineage.published[:-MAX_PUBLISHED_VERSIONS]
    return _make_outcome(lineage, Verdict.ACCEPTED)


def _submit(run: Run, command: SubmitStep) -> Verdict:
    known_digest = run.digests.get(command.step_id)
    if known_digest is not None:
        same = known_digest == command.digest
        return Verdict.DUPLICATE if same else Verdict.CONFLICT
    if len(run.steps) >= MAX_OPEN_STEPS:
        return Verdict.FULL
    run.digests[command.step_id] = command.digest
    if len(run.digests) > MAX_STEP_DIGESTS:
        run.digests.pop(next(iter(run.digests)))
    run.steps[command.step_id] = make_step(command)
    return Verdict.ACCEPTED


def _finish(
    run: Run,
    command: FinishSample,
    published: list[WeightVersion],
) -> Verdict:
    step = run.steps.get(command.step_id)
    if step is None or not has_sample(step, command.sample):
        return Verdict.UNKNOWN_STEP
    if is_delivered(run, step, command.sample.group_id):
        return Verdict.DUPLICATE
    if command.sample.sample_id in step.finished:
        return Verdict.DUPLICATE
    if not is_fresh(command.sample, published, step.max_staleness):
        run.regenerated += 1
        return Verdict.STALE
    step.finished[command.sample.sample_id] = command.sample
    return Verdict.ACCEPTED


def _store_cursor(
    run: Run, command: KeepCursor, lineage: Lineage
) -> RunOutcome:
    stored_cursor = run.kept.get(command.consumer, '')
    if command.cursor and not is_older(command.cursor, stored_cursor):
        run.kept[command.consumer] = command.cursor
        stored_cursor = command.cursor
    return _make_outcome(lineage, Verdict.ACCEPTED, stored_cursor)
