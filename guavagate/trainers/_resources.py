"""HTTP resources for weight versions, steps and batches of runs."""

import logging
from typing import Annotated, Final

import falcon
import msgspec

from guavagate.auth import Authenticator, Identity
from guavagate.events import write
from guavagate.events.runs import (
    BATCH_DELIVERED,
    STEP_SUBMITTED,
    VERSION_PUBLISHED,
)
from guavagate.exceptions import RefusalError
from guavagate.models import RunId, WeightVersion
from guavagate.runs import Batch, GroupSpec, RunAddress, RunsClient
from guavagate.runtime import Runtime
from guavagate.settings import DeploymentSettings, Role
from guavagate.web import decode_body, read_body

_LOGGER = logging.getLogger(__name__)

MAX_STEP_SAMPLES: Final = 65_536
MAX_WAIT_SECONDS: Final = 30.0

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_encode = msgspec.json.Encoder().encode


class GroupBody(msgspec.Struct, frozen=True, kw_only=True):
    """One group of a submitted step."""

    group_id: _Name
    prompt: str
    samples: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=131_072)] = 256
    temperature: Annotated[float, msgspec.Meta(ge=0, le=2)] = 1.0


class StepBody(msgspec.Struct, frozen=True, kw_only=True):
    """The request body of a submitted step."""

    step_id: _Name
    deployment: str | None = None
    groups: Annotated[list[GroupBody], msgspec.Meta(min_length=1)]


class VersionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The request body of a published version."""

    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class BatchBody(msgspec.Struct, frozen=True, kw_only=True):
    """The request body of a pull."""

    cursor: str | None = None
    consumer: _Name | None = None
    max_samples: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 256
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_SECONDS)] = 0


class TrainerContext(msgspec.Struct, frozen=True, kw_only=True):
    """The dependencies of the routes."""

    runtime: Runtime
    authenticator: Authenticator
    runs: RunsClient


class VersionsResource:
    """``POST /v1/runs/{run}/versions``."""

    def __init__(self, context: TrainerContext) -> None:
        self._context = context

    def on_post(
        self, request: falcon.Request, response: falcon.Response, run: str
    ) -> None:
        """Record a published version."""
        address, _ = _find_run(self._context, request, run)
        body = decode_body(read_body(request), VersionBody)
        version = WeightVersion(body.version)
        outcome = self._context.runs.publish(address, version)
        write(_LOGGER, VERSION_PUBLISHED, run=run, version=version)
        response.data = _encode(
            {'verdict': outcome.verdict, 'newest': outcome.newest}
        )


class StepsResource:
    """``POST /v1/runs/{run}/steps``."""

    def __init__(self, context: TrainerContext) -> None:
        self._context = context

    def on_post(
        self, request: falcon.Request, response: falcon.Response, run: str
    ) -> None:
        """Submit a step; the call is idempotent."""
        address, deployment = _find_run(self._context, request, run)
        body = decode_body(read_body(request), StepBody)
        _check_step(body, deployment)
        outcome = self._context.runs.submit_step(
            address,
            body.step_id,
            tuple(_make_group(group) for group in body.groups),
            deployment.max_staleness,
        )
        write(_LOGGER, STEP_SUBMITTED, run=run, step=body.step_id)
        response.data = _encode(
            {'step_id': body.step_id, 'verdict': outcome.verdict}
        )


class BatchesResource:
    """``POST /v1/runs/{run}/batches``."""

    def __init__(self, context: TrainerContext) -> None:
        self._context = context

    def on_post(
        self, request: falcon.Request, response: falcon.Response, run: str
    ) -> None:
        """Return the batch that follows the trainer's cursor."""
        address, _ = _find_run(self._context, request, run)
        body = decode_body(read_body(request), BatchBody)
        cursor = _choose_cursor(self._context, address, body)
        batch = self._context.runs.pull(
            address, cursor, body.max_samples, body.wait_s
        )
        write(
            _LOGGER,
            BATCH_DELIVERED,
            run=run,
            step=batch.step_id,
            samples=len(batch.samples),
            regenerated=batch.regenerated,
        )
        response.data = _encode(_render_batch(batch))


def _find_run(
    context: TrainerContext, request: falcon.Request, run: str
) -> tuple[RunAddress, DeploymentSettings]:
    identity = context.authenticator.identify(
        request.get_header('Authorization')
    )
    identity.require(Role.TRAINER)
    return find_run(context.runtime, identity, RunId(run))


def find_run(
    runtime: Runtime, identity: Identity, run: RunId
) -> tuple[RunAddress, DeploymentSettings]:
    """Return a run's address and its deployment.

    Raises
    ------
    RefusalError
        No deployment of the identity's team declares the run.
    """
    team = runtime.teams.get(identity.team)
    for deployment in team.deployments if team else ():
        if any(declared.id == run for declared in deployment.runs):
            address = RunAddress(
                team=identity.team, deployment=deployment.id, run=run
            )
            return address, deployment
    raise RefusalError(
        f'run {run!r} is not declared by a deployment of your team',
        'declare it under the deployment with `guavagate settings apply`',
        reason='unknown_run',
        status=404,
    )


def _check_step(body: StepBody, deployment: DeploymentSettings) -> None:
    if body.deployment not in {None, deployment.id}:
        raise RefusalError(
            f'the run belongs to deployment {deployment.id!r}',
            f'name {deployment.id!r}, or leave the deployment out',
            reason='wrong_deployment',
            status=422,
        )
    names = {group.group_id for group in body.groups}
    if len(names) < len(body.groups):
        raise RefusalError(
            'two groups have the same group_id',
            'give each group of a step its own group_id',
            reason='duplicate_group',
            status=422,
        )
    count = sum(group.samples for group in body.groups)
    if count > MAX_STEP_SAMPLES:
        raise RefusalError(
            f'the step has {count} samples',
            f'submit at most {MAX_STEP_SAMPLES} in a step',
            reason='step_too_large',
            status=413,
        )


def _make_group(group: GroupBody) -> GroupSpec:
    return GroupSpec(
        group_id=group.group_id,
        prompt=group.prompt,
        samples=group.samples,
        max_tokens=group.max_tokens,
        temperature=group.temperature,
    )


def _choose_cursor(
    context: TrainerContext, address: RunAddress, body: BatchBody
) -> str:
    """Return the cursor to pull with, storing a named consumer's cursor.

    A named consumer acknowledges a batch by sending the batch's cursor with the
    next pull. The cursor is stored first, so that the consumer need not keep
    it.
    """
    if body.consumer is None:
        return body.cursor or ''
    return context.runs.store_cursor(address, body.consumer, body.cursor or '')


def _render_batch(batch: Batch) -> dict[str, object]:
    return {
        'follows': batch.follows or None,
        'cursor': batch.cursor or None,
        'step_id': batch.step_id or None,
        'samples': batch.samples,
        'complete': batch.complete,
        'regenerated': batch.regenerated,
    }
