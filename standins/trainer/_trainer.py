"""Runs one step after another and records the pulled batches."""

import random
import time

import gevent
import msgspec
from gevent.event import Event

from guavagate.measure.history import (
    Acked,
    PublishedVersion,
    PulledBatch,
    PulledSample,
    StepDone,
    SubmittedStep,
)
from guavagate.measure.history import (
    Event as HistoryEvent,
)
from standins._balancer import Balancer
from standins.history import Recorder, now
from standins.text import tag_prompt
from standins.trainer._api import Batch, RunApi, Sample


class TrainerOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of a trainer; times in seconds.

    Parameters
    ----------
    train_s
        Duration of the training on one batch.
    lose_answers
        Share of the pulls whose response is discarded as if it was lost; the
        trainer presents the same cursor again, at another instance.
    limit_s
        Time limit for pulling the last step after the stop.
    """

    run: str
    deployment: str
    token: str
    platform: str
    credential: str = ''
    groups: int = 12
    samples: int = 4
    max_tokens: int = 48
    max_samples: int = 16
    max_staleness: int = 2
    publish_every_s: float = 6
    train_s: float = 0.05
    timeout_s: float = 10
    limit_s: float = 30
    lose_answers: float = 0
    history: str = ''
    seed: int = 0


class Trainer:
    """State of one trainer.

    Parameters
    ----------
    options
        Steps, timing and faults of the trainer.
    """

    def __init__(self, options: TrainerOptions) -> None:
        self._options = options
        self._recorder = Recorder(options.history, f'trainer-{options.run}')
        self._balancer = Balancer(options.platform, options.credential)
        self._api = RunApi(
            self._balancer, options.run, options.token, options.timeout_s
        )
        self._cursor: str | None = None
        self._newest = 0
        self._rng = random.Random(options.seed)

    def run(self, stopped: Event) -> None:
        """Run steps until `stopped` is set, then finish the last one."""
        self._publish(1, stopped)
        publisher = gevent.spawn(self._publish_periodically, stopped)
        number = 0
        while not stopped.is_set():
            number += 1
            self._run_step(f'step-{number}', stopped)
        publisher.join()
        self._balancer.close()

    def _publish_periodically(self, stopped: Event) -> None:
        """Publish a new version every `publish_every_s`."""
        while not stopped.wait(self._options.publish_every_s):
            self._publish(self._newest + 1, stopped)

    def _publish(self, version: int, stopped: Event) -> None:
        """Publish a version and record its confirmation."""
        if not self._api.publish(version, stopped):
            return
        self._newest = version
        self._record(
            PublishedVersion(
                at=now(),
                who=self._options.run,
                run=self._options.run,
                version=version,
                max_staleness=self._options.max_staleness,
            )
        )

    def _run_step(self, step: str, stopped: Event) -> None:
        """Submit a step and pull until it is complete."""
        options = self._options
        if not self._api.submit(self._make_step(step), stopped):
            return
        self._record(
            SubmittedStep(
                at=now(),
                who=options.run,
                run=options.run,
                step=step,
                groups=options.groups,
                samples_per_group=options.samples,
            )
        )
        deadline: float | None = None
        while not self._pull(step):
            if deadline is None and stopped.is_set():
                deadline = time.monotonic() + options.limit_s
            if deadline is not None and time.monotonic() > deadline:
                return
        self._record(
            StepDone(at=now(), who=options.run, run=options.run, step=step)
        )

    def _pull(self, step: str) -> bool:
        """Pull one batch and train on it; return whether the step is complete.

        The cursor advances only with a complete response. After a lost one,
        the trainer pulls again with the same cursor at another instance.
        """
        presented, newest = self._cursor, self._newest
        batch = self._api.pull(
            {
                'cursor': presented,
                'consumer': None,
                'max_samples': self._options.max_samples,
                'wait_s': 2.0,
            }
        )
        if batch is None:
            return False
        if batch.samples:
            self._record_batch(step, presented, newest, batch)
            if self._rng.random() < self._options.lose_answers:
                return False
            self._train(step, batch)
        self._cursor = batch.cursor
        return batch.complete

    def _record_batch(
        self, step: str, presented: str | None, newest: int, batch: Batch
    ) -> None:
        """Record a pulled batch."""
        run = self._options.run
        self._record(
            PulledBatch(
                at=now(),
                who=run,
                run=run,
                step=step,
                cursor=presented or '',
                follows=batch.cursor or '',
                newest=newest,
                samples=tuple(map(_make_pulled_sample, batch.samples)),
            )
        )

    def _train(self, step: str, batch: Batch) -> None:
        """Acknowledge a batch in the history and train on it."""
        run = self._options.run
        self._record(
            Acked(
                at=now(), who=run, run=run, step=step, cursor=batch.cursor or ''
            )
        )
        gevent.sleep(self._options.train_s)

    def _make_step(self, step: str) -> dict[str, object]:
        """Return the body that submits a step."""
        options = self._options
        return {
            'step_id': step,
            'deployment': options.deployment,
            'groups': [
                {
                    'group_id': f'{step}-group-{number}',
                    'prompt': tag_prompt(
                        f'Ruling {number} of {options.run}',
                        f'{options.run}/{step}-group-{number}',
                    ),
                    'samples': options.samples,
                    'max_tokens': options.max_tokens,
                }
                for number in range(options.groups)
            ],
        }

    def _record(self, event: HistoryEvent) -> None:
        """Write an event to the history."""
        self._recorder.record(event)


def _make_pulled_sample(sample: Sample) -> PulledSample:
    """Convert a sample to its history record."""
    return PulledSample(
        sample=sample.sample_id,
        versions=tuple(version for version, _ in sample.versions),
        text=sample.text,
    )


def run(options: TrainerOptions, stopped: Event) -> None:
    """Run a trainer until `stopped` is set."""
    Trainer(options).run(stopped)
