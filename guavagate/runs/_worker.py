"""A worker: generates samples, has them scored, enters them."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Task
from guavagate.decisions import Kind, Work
from guavagate.events import write
from guavagate.events.runs import (
    SAMPLE_ENTERED,
    SAMPLE_FAILED,
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

# A sample that has not come after this is given up and assigned anew; the
# longest steps of two years are whole in twelve minutes.
SAMPLE_LIMIT: Final = 720.0
# How long a finished sample is kept while it can't be entered, and between
# two tries; a store that is away for longer costs the sample.
ENTER_LIMIT: Final = 60.0
ENTER_PAUSE: Final = 0.5
SCORE_ATTEMPTS: Final = 3
SCORE_PAUSE: Final = 0.2

# Scores a sample of a team by one of its services.
Score = Callable[[TeamId, ServiceId, SampleId, str, str], float]
_Key = tuple[RunId, SampleId, int]


class SampleWorker:
    """Generates the samples that primaries ask this instance for."""

    def __init__(
        self,
        runtime: Runtime,
        queue_owner: QueueOwner,
        permits: PermitClient,
        chooser: PoolChooser,
        engine: ModelEngine,
        scoring: Score,
        runs: RunsClient,
    ) -> None:
        self._runtime = runtime
        self._queue_owner = queue_owner
        self._permits = permits
        self._chooser = chooser
        self._engine = engine
        self._score = scoring
        self._runs = runs
        self._tasks: dict[_Key, Task] = {}
        runtime.bus.register(GenerateSample, self.start_sample)
        runtime.bus.register(CancelSample, self.cancel_sample)

    def start_sample(self, sender: InstanceId, message: Message) -> None:
        """Start generating a sample, unless it is in work already."""
        order = expect(message, GenerateSample)
        key = (order.run, order.sample_id, order.attempt)
        if key not in self._tasks:
            self._tasks[key] = self._runtime.clock.spawn(
                self._work, sender, order
            )

    def cancel_sample(self, sender: InstanceId, message: Message) -> None:
        """Stop an attempt that another was faster than."""
        order = expect(message, CancelSample)
        task = self._tasks.pop(
            (order.run, order.sample_id, order.attempt), None
        )
        if task is not None:
            task.kill(block=False)

    def count_active(self) -> int:
        """Return how many samples are in work."""
        return len(self._tasks)

    def _work(self, sender: InstanceId, order: GenerateSample) -> None:
        verdict: Verdict | None = None
        try:
            verdict = self._make(order)
        except GuavagateError as error:
            write(
                _LOGGER,
                SAMPLE_FAILED,
                sample=order.sample_id,
                run=order.run,
                error=str(error),
            )
        finally:
            key = (order.run, order.sample_id, order.attempt)
            self._tasks.pop(key, None)
            self._report(sender, order, verdict)

    def _report(
        self,
        sender: InstanceId,
        order: GenerateSample,
        verdict: Verdict | None,
    ) -> None:
        self._runtime.bus.send(
            sender,
            SampleEnded(
                lineage=DeploymentId(f'{order.team}/{order.deployment}'),
                run=order.run,
                sample_id=order.sample_id,
                attempt=order.attempt,
                verdict=verdict,
            ),
        )

    def _make(self, order: GenerateSample) -> Verdict:
        lineage = DeploymentId(f'{order.team}/{order.deployment}')
        deployment = find_deployment(self._runtime, lineage)
        if deployment is None:
            raise GuavagateError(
                f'deployment {lineage} is not declared here',
                'declare it with `guavagate settings apply`',
            )
        work = self._describe(order)
        write(
            _LOGGER,
            SAMPLE_STARTED,
            sample=order.sample_id,
            run=order.run,
            attempt=order.attempt,
        )
        progress = self._generate(order, deployment, work)
        sample = FinishedSample(
            sample_id=order.sample_id,
            group_id=order.group.group_id,
            text=progress.text,
            versions=tuple(progress.versions),
            score=self._rate(deployment, order, progress.text),
        )
        return self._enter(order, lineage, sample, tuple(progress.samplers))

    def _enter(
        self,
        order: GenerateSample,
        lineage: DeploymentId,
        sample: FinishedSample,
        samplers: tuple[UpstreamId, ...],
    ) -> Verdict:
        verdict = self._finish(order, lineage, sample)
        write(
            _LOGGER,
            SAMPLE_ENTERED,
            sample=order.sample_id,
            run=order.run,
            versions=sample.versions,
            samplers=samplers,
            verdict=verdict.value,
        )
        return verdict

    def _finish(
        self,
        order: GenerateSample,
        lineage: DeploymentId,
        sample: FinishedSample,
    ) -> Verdict:
        """Have a sample entered, also when the store is away for a while.

        Entering one again is harmless, making it again takes seconds of a
        sampler.
        """
        clock = self._runtime.clock
        until = clock.now() + ENTER_LIMIT
        while True:
            try:
                return self._runs.finish(
                    lineage, order.run, order.step_id, sample
                )
            except RefusalError:
                if clock.now() >= until:
                    raise
                clock.sleep(ENTER_PAUSE)

    def _generate(
        self,
        order: GenerateSample,
        deployment: DeploymentSettings,
        work: Work,
    ) -> Progress:
        pool = self._chooser.choose(
            self._queue_owner.specs(), order.team, deployment.id, work
        )
        source = AnswerSource(
            client=self._permits,
            engine=self._engine,
            pool=pool,
            token_timeout=parse_duration(deployment.token_timeout),
        )
        generation = Generation(
            exchange=work.id,
            prompt=order.group.prompt,
            max_tokens=order.group.max_tokens,
            temperature=order.group.temperature,
        )
        race = SampleRace(self._runtime.clock, source, work, generation)
        return race.run()

    def _describe(self, order: GenerateSample) -> Work:
        return Work(
            id=RequestId(f'{order.run}/{order.sample_id}#{order.attempt}'),
            team=order.team,
            caller=CallerId(order.run),
            kind=Kind.ROLLOUT,
            deadline=self._runtime.clock.now() + SAMPLE_LIMIT,
            prefix_keys=hash_prefixes(order.group.prompt),
            prompt_tokens=estimate_tokens(order.group.prompt),
            expected_tokens=order.group.max_tokens,
            min_version=order.oldest,
            run=order.run,
            step=order.step_order,
            weight=order.weight,
            zone=self._runtime.settings.availability_zone,
        )

    def _rate(
        self,
        deployment: DeploymentSettings,
        order: GenerateSample,
        text: str,
    ) -> float | None:
        if not deployment.scoring_service:
            return None
        for attempt in range(SCORE_ATTEMPTS - 1):
            try:
                return self._score_once(deployment, order, text)
            except GuavagateError:
                self._runtime.clock.sleep(SCORE_PAUSE * 2**attempt)
        return self._score_once(deployment, order, text)

    def _score_once(
        self,
        deployment: DeploymentSettings,
        order: GenerateSample,
        text: str,
    ) -> float:
        return self._score(
            order.team,
            ServiceId(deployment.scoring_service),
            order.sample_id,
            order.group.prompt,
            text,
        )
