"""Worker that generates samples, has them scored and records them."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Task
from guavagate.decisions import Work, WorkKind
from guavagate.events import write
from guavagate.events.runs import (
    SAMPLE_FAILED,
    SAMPLE_RECORDED,
    SAMPLE_STARTED,
)
from guavagate.exceptions import GuavagateError, RefusalError
from guavagate.links import Message, expect
from guavagate.models import (
    CallerId,
    DeploymentId,
    InstanceId,
    RequestId,
    RunId,
    SampleId,
    ServiceId,
    TeamId,
    UpstreamId,
)
from guavagate.permits import (
    AnswerSource,
    PermitClient,
    PoolChooser,
    Progress,
    QueueOwner,
    estimate_tokens,
    hash_prefixes,
)
from guavagate.ports.engine import Generation, ModelEngine
from guavagate.runs._client import RunsClient
from guavagate.runs._commands import FinishedSample, Verdict
from guavagate.runs._driver import find_deployment
from guavagate.runs._messages import (
    CancelSample,
    GenerateSample,
    SampleEnded,
)
from guavagate.runs._race import SampleRace
from guavagate.runtime import Runtime
from guavagate.settings import DeploymentSettings
from guavagate.util.units import parse_duration

_LOGGER = logging.getLogger(__name__)

# A sample that takes longer is abandoned and reassigned. At the size that the
# project is designed for, the longest steps have to be complete within twelve
# minutes.
SAMPLE_TIMEOUT_SECONDS: Final = 720.0
# A finished sample is retained and recorded again for this long; if the store
# is unavailable for longer, the sample is lost.
RECORD_TIMEOUT_SECONDS: Final = 60.0
RECORD_RETRY_SECONDS: Final = 0.5
SCORE_ATTEMPTS: Final = 3
SCORE_RETRY_SECONDS: Final = 0.2

# Scores a sample with one of its team's services; called with the team, the
# service, the sample's id, the prompt and the text.
Scorer = Callable[[TeamId, ServiceId, SampleId, str, str], float]
_AttemptKey = tuple[RunId, SampleId, int]


class SampleWorker:
    """Generates the samples that primaries assign to this instance."""

    def __init__(
        self,
        runtime: Runtime,
        queue_owner: QueueOwner,
        permits: PermitClient,
        chooser: PoolChooser,
        engine: ModelEngine,
        score: Scorer,
        runs: RunsClient,
    ) -> None:
        self._runtime = runtime
        self._queue_owner = queue_owner
        self._permits = permits
        self._chooser = chooser
        self._engine = engine
        self._score = score
        self._runs = runs
        self._tasks: dict[_AttemptKey, Task] = {}
        runtime.bus.register(GenerateSample, self.start_sample)
        runtime.bus.register(CancelSample, self.cancel_sample)

    def start_sample(self, sender: InstanceId, message: Message) -> None:
        """Start generating a sample unless this attempt is in progress."""
        request = expect(message, GenerateSample)
        key = (request.run, request.sample_id, request.attempt)
        if key not in self._tasks:
            self._tasks[key] = self._runtime.clock.spawn(
                self._run, sender, request
            )

    def cancel_sample(self, sender: InstanceId, message: Message) -> None:
        """Stop an attempt because another one finished first."""
        request = expect(message, CancelSample)
        task = self._tasks.pop(
            (request.run, request.sample_id, request.attempt), None
        )
        if task is not None:
            task.kill(block=False)

    def count_active(self) -> int:
        """Return the number of samples in progress."""
        return len(self._tasks)

    def _run(self, sender: InstanceId, request: GenerateSample) -> None:
        verdict: Verdict | None = None
        try:
            verdict = self._generate_and_record(request)
        except GuavagateError as error:
            write(
                _LOGGER,
                SAMPLE_FAILED,
                sample=request.sample_id,
                run=request.run,
                error=str(error),
            )
        finally:
            key = (request.run, request.sample_id, request.attempt)
            self._tasks.pop(key, None)
            self._report_end(sender, request, verdict)

    def _report_end(
        self,
        sender: InstanceId,
        request: GenerateSample,
        verdict: Verdict | None,
    ) -> None:
        self._runtime.bus.send(
            sender,
            SampleEnded(
                lineage=DeploymentId(f'{request.team}/{request.deployment}'),
                run=request.run,
                sample_id=request.sample_id,
                attempt=request.attempt,
                verdict=verdict,
            ),
        )

    def _generate_and_record(self, request: GenerateSample) -> Verdict:
        deployment_key = DeploymentId(f'{request.team}/{request.deployment}')
        deployment = find_deployment(self._runtime, deployment_key)
        if deployment is None:
            raise GuavagateError(
                f'deployment {deployment_key} is not declared here',
                'declare it with `guavagate settings apply`',
            )
        generation = _make_generation(request)
        work = self._make_work(request, generation)
        write(
            _LOGGER,
            SAMPLE_STARTED,
            sample=request.sample_id,
            run=request.run,
            attempt=request.attempt,
        )
        progress = self._generate(request, deployment, work, generation)
        sample = FinishedSample(
            sample_id=request.sample_id,
            group_id=request.group.group_id,
            text=progress.text,
            versions=tuple(progress.versions),
            score=self._score_with_retries(deployment, request, progress.text),
        )
        return self._record(
            request, deployment_key, sample, tuple(progress.samplers)
        )

    def _record(
        self,
        request: GenerateSample,
        deployment_key: DeploymentId,
        sample: FinishedSample,
        samplers: tuple[UpstreamId, ...],
    ) -> Verdict:
        verdict = self._record_with_retries(request, deployment_key, sample)
        write(
            _LOGGER,
            SAMPLE_RECORDED,
            sample=request.sample_id,
            run=request.run,
            versions=sample.versions,
            samplers=samplers,
            verdict=verdict.value,
        )
        return verdict

    def _record_with_retries(
        self,
        request: GenerateSample,
        deployment_key: DeploymentId,
        sample: FinishedSample,
    ) -> Verdict:
        """Record a sample, retrying while the store is unavailable.

        Recording is idempotent, while generating the sample again would take
        seconds of a sampler's time.
        """
        clock = self._runtime.clock
        deadline = clock.now() + RECORD_TIMEOUT_SECONDS
        while True:
            try:
                return self._runs.finish(
                    deployment_key, request.run, request.step_id, sample
                )
            except RefusalError:
                if clock.now() >= deadline:
                    raise
                clock.sleep(RECORD_RETRY_SECONDS)

    def _generate(
        self,
        request: GenerateSample,
        deployment: DeploymentSettings,
        work: Work,
        generation: Generation,
    ) -> Progress:
        pool = self._chooser.choose(
            self._queue_owner.specs(), request.team, deployment.id, work
        )
        source = AnswerSource(
            client=self._permits,
            engine=self._engine,
            pool=pool,
            token_timeout=parse_duration(deployment.token_timeout),
        )
        race = SampleRace(self._runtime.clock, source, work, generation)
        return race.run()

    def _make_work(
        self,
        request: GenerateSample,
        generation: Generation,
    ) -> Work:
        return Work(
            id=generation.exchange,
            team=request.team,
            caller=CallerId(request.run),
            kind=WorkKind.ROLLOUT,
            deadline=self._runtime.clock.now() + SAMPLE_TIMEOUT_SECONDS,
            prefix_keys=hash_prefixes(request.group.prompt),
            prompt_tokens=estimate_tokens(request.group.prompt),
            expected_tokens=request.group.max_tokens,
            min_version=request.oldest,
            run=request.run,
            step=request.step_order,
            weight=request.weight,
            zone=self._runtime.settings.availability_zone,
        )

    def _score_with_retries(
        self,
        deployment: DeploymentSettings,
        request: GenerateSample,
        text: str,
    ) -> float | None:
        if not deployment.scoring_service:
            return None
        for attempt in range(SCORE_ATTEMPTS - 1):
            try:
                return self._score_once(deployment, request, text)
            except GuavagateError:
                self._runtime.clock.sleep(SCORE_RETRY_SECONDS * 2**attempt)
        return self._score_once(deployment, request, text)

    def _score_once(
        self,
        deployment: DeploymentSettings,
        request: GenerateSample,
        text: str,
    ) -> float:
        return self._score(
            request.team,
            ServiceId(deployment.scoring_service),
            request.sample_id,
            request.group.prompt,
            text,
        )


def _make_generation(request: GenerateSample) -> Generation:
    return Generation(
        exchange=RequestId(
            f'{request.run}/{request.sample_id}#{request.attempt}'
        ),
        prompt=request.group.prompt,
        max_tokens=request.group.max_tokens,
        temperature=request.group.temperature,
    )
