"""Client for the runs: submits commands to a run's partition."""

import hashlib
from typing import Final, TypeVar

import msgspec

from guavagate.exceptions import (
    NotAppliedError,
    OutcomeUnknownError,
    RefusalError,
)
from guavagate.models import DeploymentId, NotRun, RunId, TeamId, WeightVersion
from guavagate.partitions import Outcome
from guavagate.runs._commands import (
    Batch,
    FinishedSample,
    FinishSample,
    GroupSpec,
    KeepCursor,
    PublishVersion,
    PullBatch,
    RunCommand,
    RunOutcome,
    SubmitStep,
    Verdict,
)
from guavagate.runs._cursor import decode_cursor
from guavagate.runtime import Runtime

COMMAND_TIMEOUT_SECONDS: Final = 5.0
POLL_INTERVAL_SECONDS: Final = 0.1

Result = TypeVar('Result', bound=Outcome)


class RunAddress(msgspec.Struct, frozen=True, kw_only=True):
    """A run, its team and the deployment that serves it."""

    team: TeamId
    deployment: DeploymentId
    run: RunId

    @property
    def deployment_key(self) -> DeploymentId:
        """Return TEAM/DEPLOYMENT, which is unique across teams."""
        return DeploymentId(f'{self.team}/{self.deployment}')


def partition_key(deployment_key: DeploymentId) -> str:
    """Return the key that determines the partition of a deployment's runs.

    All runs of a deployment share one partition, so that the staleness check
    always compares with the newest published version.
    """
    return f'runs/{deployment_key}'


class RunsClient:
    """Submits run commands and raises refusals for failed verdicts."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime

    def publish(
        self, address: RunAddress, version: WeightVersion
    ) -> RunOutcome:
        """Record a published version; the call is idempotent."""
        outcome = self._submit(
            PublishVersion(
                at=self._wall_time(),
                deployment=address.deployment_key,
                run=address.run,
                version=version,
            ),
            RunOutcome,
        )
        if outcome.verdict is Verdict.CONFLICT:
            raise RefusalError(
                f'version {version} is below the newest, {outcome.newest}',
                'publish versions in rising order',
                reason='version_order',
                status=409,
            )
        return outcome

    def submit_step(
        self,
        address: RunAddress,
        step_id: str,
        groups: tuple[GroupSpec, ...],
        max_staleness: int,
    ) -> RunOutcome:
        """Submit a step; the call is idempotent."""
        digest = hashlib.sha256(msgspec.msgpack.encode(groups)).hexdigest()
        outcome = self._submit(
            SubmitStep(
                at=self._wall_time(),
                deployment=address.deployment_key,
                run=address.run,
                step_id=step_id,
                digest=digest,
                groups=groups,
                max_staleness=max_staleness,
            ),
            RunOutcome,
        )
        _check_submitted(outcome.verdict, step_id)
        return outcome

    def finish(
        self,
        deployment_key: DeploymentId,
        run: RunId,
        step_id: str,
        sample: FinishedSample,
    ) -> Verdict:
        """Record a complete sample; the first result of each sample wins."""
        return self._submit(
            FinishSample(
                at=self._wall_time(),
                deployment=deployment_key,
                run=run,
                step_id=step_id,
                sample=sample,
            ),
            RunOutcome,
        ).verdict

    def pull(
        self,
        address: RunAddress,
        cursor: str,
        max_samples: int,
        wait: float,
    ) -> Batch:
        """Return the next batch; wait up to `wait` seconds for samples."""
        decode_cursor(cursor)
        deadline = self._runtime.clock.now() + wait
        while True:
            batch = self._submit(
                PullBatch(
                    at=self._wall_time(),
                    deployment=address.deployment_key,
                    run=address.run,
                    cursor=cursor,
                    max_samples=max_samples,
                ),
                Batch,
            )
            _check_pulled(batch)
            if batch.samples or self._runtime.clock.now() >= deadline:
                return batch
            self._runtime.clock.sleep(POLL_INTERVAL_SECONDS)

    def store_cursor(
        self, address: RunAddress, consumer: str, cursor: str
    ) -> str:
        """Store a consumer's cursor and return the newest stored one."""
        decode_cursor(cursor)
        return self._submit(
            KeepCursor(
                at=self._wall_time(),
                deployment=address.deployment_key,
                run=address.run,
                consumer=consumer,
                cursor=cursor,
            ),
            RunOutcome,
        ).cursor

    def _wall_time(self) -> float:
        return self._runtime.clock.wall()

    def _submit(self, command: RunCommand, kind: type[Result]) -> Result:
        key = partition_key(command.deployment)
        try:
            return self._runtime.partitions.submit(
                key, command, kind, COMMAND_TIMEOUT_SECONDS
            )
        except NotAppliedError as error:
            raise RefusalError(
                error.problem,
                'retry; the command was not applied',
                reason='partition_unavailable',
                retry_after=1.0,
            ) from error
        except OutcomeUnknownError as error:
            raise RefusalError(
                error.problem,
                'repeat the same call; a repeat is harmless',
                reason='outcome_unknown',
                not_run=NotRun.UNKNOWN,
                retry_after=1.0,
            ) from error


def _check_submitted(verdict: Verdict, step_id: str) -> None:
    if verdict is Verdict.CONFLICT:
        raise RefusalError(
            f'step {step_id!r} was submitted before with other groups',
            'give the new step another step_id',
            reason='step_conflict',
            status=409,
        )
    if verdict is Verdict.FULL:
        raise RefusalError(
            'too many steps are in work for this run',
            'pull the earlier steps, then submit again',
            reason='too_many_steps',
            status=429,
            retry_after=5.0,
        )


def _check_pulled(batch: Batch) -> None:
    if batch.verdict is Verdict.SUPERSEDED:
        raise RefusalError(
            'a later cursor has been presented already',
            'present the cursor of the batch that was taken last',
            reason='cursor_superseded',
            status=409,
        )
    if batch.verdict is Verdict.UNKNOWN_STEP:
        raise RefusalError(
            f'step {batch.step_id!r} is not known; its record was removed',
            'publish your newest version and submit your steps again, then'
            ' pull with the same cursor',
            reason='unknown_step',
            status=409,
        )
