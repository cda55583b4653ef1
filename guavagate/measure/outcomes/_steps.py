"""Trainer that publishes versions, submits steps and pulls their samples."""

import random
from collections.abc import Callable
from typing import Any, Final, TypeVar

import gevent

from guavagate.clock import Task
from guavagate.exceptions import GuavagateError, RefusalError
from guavagate.measure import history as hist
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._upstream import Upstream
from guavagate.models import (
    DeploymentId,
    RunId,
    SampleId,
    TeamId,
    WeightVersion,
)
from guavagate.runs import (
    RUN_COMMANDS,
    Batch,
    FinishedSample,
    GroupSpec,
    RunAddress,
    RunsClient,
    RunsState,
)
from guavagate.runtime import Runtime

_STEPS: Final = 3
_GROUPS: Final = 4
_SAMPLES_PER_GROUP: Final = 2
_WORKERS: Final = 3
_MAX_STALENESS: Final = 2
_GENERATE_SECONDS: Final = (0.1, 1.5)
_PUBLISH_SECONDS: Final = (1.0, 4.0)
_TIMEOUT_SECONDS: Final = 8.0
_CONCURRENT_SHARE: Final = 0.2

_Result = TypeVar('_Result')


class TrainerWorkload:
    """Workload of one trainer and its workers; see `Workload`."""

    def __init__(self) -> None:
        self.history: list[hist.Event] = []
        self.answered = 0
        self._clients: dict[str, RunsClient] = {}
        self._address = RunAddress(
            team=TeamId('team'),
            deployment=DeploymentId('model'),
            run=RunId('run'),
        )
        self._newest = 0
        self._exchanges = 0
        self._step = ''
        self._done = False

    def make_states(self, partition: Any) -> dict[Any, Any]:
        """Return the runs' state for one partition."""
        return dict.fromkeys(RUN_COMMANDS, RunsState())

    def start_components(self, runtime: Runtime) -> None:
        """Create the client of an instance."""
        self._clients[runtime.settings.id] = RunsClient(runtime)

    def drive(
        self, fleet: Fleet, upstream: Upstream, rng: random.Random
    ) -> list[Task]:
        """Start the trainer, its publisher and the workers."""
        self._fleet = fleet
        self._rng = rng
        spawn = fleet.clock.spawn
        for _ in range(_WORKERS):
            spawn(self._work)
        spawn(self._publish_all)
        return [spawn(self._train)]

    def _train(self) -> None:
        """Submit steps in sequence and pull each until it is complete."""
        cursor = ''
        self._retry_until(lambda: self._newest > 0)
        for number in range(_STEPS):
            self._step = f'step-{number}'
            self.history.append(
                hist.SubmittedStep(
                    at=self._fleet.clock.now(),
                    run=self._address.run,
                    step=self._step,
                    groups=_GROUPS,
                    samples_per_group=_SAMPLES_PER_GROUP,
                )
            )
            self._retry_until(self._submit)
            cursor = self._pull_all(cursor)
            self.answered += 1
        self._done = True

    def _pull_all(self, cursor: str) -> str:
        """Pull until the step is complete; return the last cursor."""
        while True:
            concurrent = 2 if self._rng.random() < _CONCURRENT_SHARE else 1
            calls = [
                self._fleet.clock.spawn(self._pull, cursor)
                for _ in range(concurrent)
            ]
            accepted = None
            for call in calls:
                call.join()
                accepted = accepted or call.value
            if accepted is None:
                # The submission may have been lost; repeating it is idempotent.
                self._fleet.clock.sleep(0.2)
                self._submit()
                continue
            cursor = accepted.cursor
            self._record(hist.Acked, cursor=cursor)
            if accepted.complete:
                self._record(hist.StepDone)
                return cursor

    def _pull(self, cursor: str) -> Batch | None:
        """Pull once from a random instance; return a batch to accept."""
        newest = self._newest
        batch = self._call(
            lambda client: client.pull(self._address, cursor, 3, 0.5)
        )
        if not isinstance(batch, Batch) or not batch.samples:
            return None
        samples = tuple(
            hist.PulledSample(
                sample=sample.sample_id,
                versions=tuple(version for version, _ in sample.versions),
                text=sample.text,
            )
            for sample in batch.samples
        )
        self._record(
            hist.PulledBatch,
            cursor=cursor,
            follows=batch.cursor,
            newest=newest,
            samples=samples,
        )
        return batch if batch.follows == cursor else None

    def _publish_all(self) -> None:
        """Publish versions while the trainer runs."""
        while not self._done:
            self._fleet.clock.sleep(self._rng.uniform(*_PUBLISH_SECONDS))
            self._retry_until(self._publish)

    def _publish(self) -> bool:
        """Publish one version; return whether it was confirmed."""
        version = self._newest + 1
        outcome = self._call(
            lambda client: client.publish(self._address, WeightVersion(version))
        )
        if outcome is None:
            return False
        self._newest = version
        self._record(
            hist.PublishedVersion, version=version, max_staleness=_MAX_STALENESS
        )
        return True

    def _submit(self) -> bool:
        """Submit the step; return whether it was confirmed."""
        groups = tuple(
            GroupSpec(
                group_id=f'g{group}',
                prompt='p',
                samples=_SAMPLES_PER_GROUP,
                max_tokens=8,
            )
            for group in range(_GROUPS)
        )
        return (
            self._call(
                lambda client: client.submit_step(
                    self._address, self._step, groups, _MAX_STALENESS
                )
            )
            is not None
        )

    def _work(self) -> None:
        """Generate samples of the step; repeat some and never send others."""
        while not self._done:
            step = self._step
            version = self._newest
            if not step or not version:
                self._fleet.clock.sleep(0.5)
                continue
            self._exchanges += 1
            exchange = f'x{self._exchanges}'
            group = f'g{self._rng.randrange(_GROUPS)}'
            name = f'{step}/{group}/{self._rng.randrange(_SAMPLES_PER_GROUP)}'
            self._fleet.clock.sleep(self._rng.uniform(*_GENERATE_SECONDS))
            self.history.append(
                hist.GeneratedPiece(
                    at=self._fleet.clock.now(),
                    exchange=exchange,
                    version=version,
                    text=exchange,
                    sample=name,
                )
            )
            sample = FinishedSample(
                sample_id=SampleId(name),
                group_id=group,
                text=exchange,
                versions=((WeightVersion(version), 8),),
            )
            if self._rng.random() < 0.9:
                self._finish(step, sample)

    def _finish(self, step: str, sample: FinishedSample) -> None:
        """Send a finished sample to a random instance."""
        address = self._address
        self._call(
            lambda client: client.finish(
                address.deployment_key, address.run, step, sample
            )
        )

    def _retry_until(self, act: Callable[[], bool]) -> None:
        """Repeat an action until it succeeds."""
        while not act():
            self._fleet.clock.sleep(0.3)

    def _call(self, call: Callable[[RunsClient], _Result]) -> _Result | None:
        """Call a random running instance; return `None` on failure."""
        running = self._fleet.list_running()
        if not running:
            self._fleet.clock.sleep(0.5)
            return None
        name = self._rng.choice(running)
        task = self._fleet.host(name).clock.spawn(
            self._call_client, call, self._clients[name]
        )
        try:
            with self._fleet.clock.timeout(_TIMEOUT_SECONDS, TimeoutError):
                task.join()
        except TimeoutError:
            return None
        answer = task.value
        # The task of a killed instance ends with `GreenletExit` as its value.
        if isinstance(answer, gevent.GreenletExit):
            return None
        if isinstance(answer, RefusalError):
            if answer.reason == 'unknown_step':
                self._submit()
            return None
        if isinstance(answer, GuavagateError):
            return None
        return answer

    def _call_client(
        self, call: Callable[[RunsClient], Any], client: RunsClient
    ) -> Any:
        """Call a client; return an error rather than raise it."""
        try:
            return call(client)
        except GuavagateError as error:
            return error

    def _record(self, kind: Any, **fields: Any) -> None:
        """Record an event of the trainer."""
        if kind is not hist.PublishedVersion:
            fields['step'] = self._step
        self.history.append(
            kind(
                at=self._fleet.clock.now(),
                run=self._address.run,
                who='trainer',
                **fields,
            )
        )
