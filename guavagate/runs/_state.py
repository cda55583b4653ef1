"""The runs of one partition as a state of it."""

from typing import Final, cast

import msgspec

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

# A step in work holds its samples in memory and in the store; more steps than
# this are refused rather than let a trainer that never pulls fill the memory.
MAX_STEPS_IN_WORK: Final = 16
# Ids of past steps, so that a submit repeated late is answered as a duplicate.
MAX_STEP_DIGESTS: Final = 1024
# Published versions kept; older ones are beyond any bound that settings allow.
MAX_VERSIONS_KEPT: Final = 256

Pending = dict[SampleId, PendingSample]

RUN_COMMANDS: Final[tuple[type[RunCommand], ...]] = (
    PublishVersion,
    SubmitStep,
    FinishSample,
    PullBatch,
    KeepCursor,
    ConfirmOrder,
)


class Lineage(msgspec.Struct, kw_only=True):
    """The versions published for a deployment, oldest first, and its runs."""

    published: list[WeightVersion] = msgspec.field(default_factory=list)
    published_at: float = 0
    publish_seconds: float | None = None
    runs: dict[RunId, Run] = msgspec.field(default_factory=dict)


class _Snapshot(msgspec.Struct, kw_only=True):
    """The whole state on the wire."""

    lineages: dict[DeploymentId, Lineage]


class RunsState:
    """All deployments' lineages and runs of one partition."""

    def __init__(self) -> None:
        self.lineages: dict[DeploymentId, Lineage] = {}
        self._pending: dict[tuple[DeploymentId, RunId], Pending] = {}

    def apply(self, command: Command) -> Outcome:
        """Apply one command and return its outcome."""
        command = cast(RunCommand, command)
        lineage = self.lineages.setdefault(command.deployment, Lineage())
        if isinstance(command, PublishVersion):
            return _publish(lineage, command)
        if isinstance(command, ConfirmOrder):
            return _outcome(lineage, Verdict.ACCEPTED)
        run = lineage.runs.get(command.run)
        if run is None:
            run = Run(run=command.run, incarnation=f'{command.at:.6f}')
            lineage.runs[command.run] = run
        before = _mark(run)
        outcome = _apply_to_run(lineage, run, command)
        key = (command.deployment, run.run)
        if _mark(run) != before:
            self._pending.pop(key, None)
        elif isinstance(command, FinishSample):
            self._forget_finished(key, run, command)
        return outcome

    def preview(self, command: Command) -> Outcome | None:
        """Return an empty batch if there is nothing to hand out.

        A trainer that waits asks ten times a second; each time in the record
        would be a write to the store. That there is nothing yet does no harm
        where another instance has meanwhile gone on: it asks again.
        """
        if not isinstance(command, PullBatch):
            return None
        lineage = self.lineages.get(command.deployment)
        run = lineage and lineage.runs.get(command.run)
        if not run or not is_empty_pull(run, command):
            return None
        return make_empty_batch(run, command)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(_Snapshot(lineages=self.lineages))

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""
        decoded = msgspec.msgpack.decode(snapshot, type=_Snapshot)
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
    ) -> dict[RunId, Pending]:
        """Return what has still to be generated, by run, in its order.

        Kept between calls and made anew only after a step has come or gone or
        samples have gone stale: the driver asks twenty times a second, and
        listing a step's samples each time would cost it a tenth of a core.
        """
        lineage = self.lineages.get(deployment, Lineage())
        found: dict[RunId, Pending] = {}
        for run in lineage.runs.values():
            key = (deployment, run.run)
            if key not in self._pending:
                self._pending[key] = {
                    sample.sample_id: sample
                    for sample in list_pending_samples(run)
                }
            found[run.run] = self._pending[key]
        return found

    def _forget_finished(
        self,
        key: tuple[DeploymentId, RunId],
        run: Run,
        command: FinishSample,
    ) -> None:
        step = run.steps.get(command.step_id)
        sample_id = command.sample.sample_id
        if step is not None and sample_id in step.finished:
            self._pending.get(key, {}).pop(sample_id, None)


def _mark(run: Run) -> tuple[object, ...]:
    """Return what differs whenever more than one sample is no longer pending.

    A stale sample raises `regenerated`, a step that comes or goes the number
    of steps and digests, and a committed cursor is itself another one.
    """
    return (run.cursor, run.regenerated, len(run.steps), len(run.digests))


def _apply_to_run(lineage: Lineage, run: Run, command: RunCommand) -> Outcome:
    if isinstance(command, SubmitStep):
        return _outcome(lineage, _submit(run, command))
    if isinstance(command, FinishSample):
        return _outcome(lineage, _finish(run, command, lineage.published))
    if isinstance(command, PullBatch):
        return pull(run, command, lineage.published)
    return _keep(run, cast(KeepCursor, command), lineage)


def _outcome(
    lineage: Lineage, verdict: Verdict, cursor: str = ''
) -> RunOutcome:
    newest = lineage.published[-1] if lineage.published else None
    return RunOutcome(verdict=verdict, newest=newest, cursor=cursor)


def _publish(lineage: Lineage, command: PublishVersion) -> RunOutcome:
    if command.version in lineage.published:
        return _outcome(lineage, Verdict.DUPLICATE)
    if lineage.published and command.version < lineage.published[-1]:
        return _outcome(lineage, Verdict.CONFLICT)
    lineage.published.append(command.version)
    if lineage.published_at:
        lineage.publish_seconds = command.at - lineage.published_at
    lineage.published_at = command.at
    del lineage.published[:-MAX_VERSIONS_KEPT]
    return _outcome(lineage, Verdict.ACCEPTED)


def _submit(run: Run, command: SubmitStep) -> Verdict:
    known = run.digests.get(command.step_id)
    if known is not None:
        same = known == command.digest
        return Verdict.DUPLICATE if same else Verdict.CONFLICT
    if len(run.steps) >= MAX_STEPS_IN_WORK:
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


def _keep(run: Run, command: KeepCursor, lineage: Lineage) -> RunOutcome:
    kept = run.kept.get(command.consumer, '')
    if command.cursor and not is_older(command.cursor, kept):
        run.kept[command.consumer] = command.cursor
        kept = command.cursor
    return _outcome(lineage, Verdict.ACCEPTED, kept)
