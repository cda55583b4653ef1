"""Runs step after step and records what was pulled."""

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
    """How a trainer behaves; times in seconds.

    Parameters
    ----------
    train_s
        Time that it trains on one batch.
    lose_answers
        Share of the pulls whose answer is taken for lost: the same cursor is
        presented again, at another instance.
    limit_s
        How long it goes on pulling its last step once told to stop.
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
    """One trainer's state.

    Parameters
    ----------
    options
        How it behaves.
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
        self._draw = random.Random(options.seed)

    def run(self, stopped: Event) -> None:
        """Run steps until told to stop, and see the last one through."""
        self._publish(1, stopped)
        publisher = gevent.spawn(self._publish_on, stopped)
        number = 0
        while not stopped.is_set():
            number += 1
            self._run_step(f'step-{number}', stopped)
        publisher.join()
        self._balancer.close()

    def _publish_on(self, stopped: Event) -> None:
        """Publish a version every so often."""
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
        if not self._api.submit(self._describe(step), stopped):
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
        until: float | None = None
        while not self._pull(step):
            if until is None and stopped.is_set():
                until = time.monotonic() + options.limit_s
            if until is not None and time.monotonic() > until:
                return
        self._record(
            StepDone(at=now(), who=options.run, run=options.run, step=step)
        )

    def _pull(self, step: str) -> bool:
        """Pull one batch and take it in; tell whether the step is complete.

        The cursor moves only with a whole answer: a lost one is asked for
        again, at another instance, under the same cursor.
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
            self._note_batch(step, presented, newest, batch)
            if self._draw.random() < self._options.lose_answers:
                return False
            self._take(step, batch)
        self._cursor = batch.cursor
        return batch.complete

    def _note_batch(
        self, step: str, presented: str | None, newest: int, batch: Batch
    ) -> None:
        """Record a batch as it came."""
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
                samples=tuple(map(_record_sample, batch.samples)),
            )
        )

    def _take(self, step: str, batch: Batch) -> None:
        """Take a batch in and train on it."""
        run = self._options.run
        self._record(
            Acked(
                at=now(), who=run, run=run, step=step, cursor=batch.cursor or ''
            )
        )
        gevent.sleep(self._options.train_s)

    def _describe(self, step: str) -> dict[str, object]:
        """Return a step as it is submitted."""
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
        """Record one event."""
        self._recorder.record(event)


def _record_sample(sample: Sample) -> PulledSample:
    """Return a sample as the history keeps it."""
    return PulledSample(
        sample=sample.sample_id,
        versions=tuple(version for version, _ in sample.versions),
        text=sample.text,
    )


def run(options: TrainerOptions, stopped: Event) -> None:
    """Run a trainer until told to stop."""
    Trainer(options).run(stopped)
