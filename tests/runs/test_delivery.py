"""Delivery of samples to a trainer with reordered and lost answers."""

import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from guavagate.models import DeploymentId, RunId, SampleId, WeightVersion
from guavagate.runs import (
    Batch,
    FinishedSample,
    FinishSample,
    GroupSpec,
    KeepCursor,
    PublishVersion,
    PullBatch,
    RunOutcome,
    RunsState,
    SubmitStep,
    Verdict,
)

_DEPLOYMENT = DeploymentId('trust/coach-models')
_RUN = RunId('plan-batches')
_GROUPS = tuple(
    GroupSpec(group_id=f'g{n}', prompt=f'p{n}', samples=2, max_tokens=8)
    for n in range(3)
)
_BOUND = 1


class Trainer:
    """A trainer that accepts each batch that follows its cursor once.

    Answers are queued in `answers`; they may be accepted late, in any order,
    or never.
    """

    def __init__(self) -> None:
        self.state = RunsState()
        self.cursor = ''
        self.taken: list[SampleId] = []
        self.answers: list[Batch] = []
        self.newest = 0
        self.submitted: list[str] = []
        self.clock = 0
        self.publish()

    def make_command(self, kind: type, **fields: object) -> Any:
        """Make a command."""
        self.clock += 1
        return kind(at=self.clock, deployment=_DEPLOYMENT, run=_RUN, **fields)

    def apply(self, kind: type, **fields: object) -> Batch | RunOutcome:
        """Apply one command."""
        outcome = self.state.apply(self.make_command(kind, **fields))
        assert isinstance(outcome, Batch | RunOutcome)
        return outcome

    def publish(self) -> None:
        """Publish the next version."""
        self.newest += 1
        self.apply(PublishVersion, version=WeightVersion(self.newest))

    def submit(self, step_id: str) -> Verdict:
        """Submit a step."""
        if step_id not in self.submitted:
            self.submitted.append(step_id)
        return self.apply(
            SubmitStep,
            step_id=step_id,
            digest=step_id,
            groups=_GROUPS,
            max_staleness=_BOUND,
        ).verdict

    def finish(self, rng: random.Random) -> None:
        """Generate one pending sample with recent or stale versions."""
        pending = list(
            self.state.list_pending_by_run(_DEPLOYMENT)[_RUN].values()
        )
        if not pending:
            return
        wanted = rng.choice(pending)
        first = rng.randint(max(self.newest - 2, 1), self.newest)
        versions = tuple(
            (WeightVersion(version), 4)
            for version in range(first, min(first + 2, self.newest + 1))
        )
        self.apply(
            FinishSample,
            step_id=wanted.step_id,
            sample=FinishedSample(
                sample_id=wanted.sample_id,
                group_id=wanted.group.group_id,
                text='x',
                versions=versions,
            ),
        )

    def pull(self) -> None:
        """Pull a batch, check that it is fresh and queue the answer."""
        batch = self.apply(PullBatch, cursor=self.cursor, max_samples=4)
        assert isinstance(batch, Batch)
        if batch.verdict is Verdict.UNKNOWN_STEP:
            self.submit(batch.step_id)
            return
        assert batch.verdict is Verdict.ACCEPTED
        for sample in batch.samples:
            oldest = min(version for version, _ in sample.versions)
            assert self.newest - oldest <= _BOUND
        self.answers.append(batch)

    def take(self, rng: random.Random) -> None:
        """Accept a random answer if it follows the cursor, else drop it."""
        if not self.answers:
            return
        batch = self.answers.pop(rng.randrange(len(self.answers)))
        if batch.follows != self.cursor or not batch.samples:
            return
        self.cursor = batch.cursor
        self.taken.extend(sample.sample_id for sample in batch.samples)

    def lose_everything(self) -> None:
        """Remove the run's record, then publish and submit everything again."""
        self.state = RunsState()
        for version in range(1, self.newest + 1):
            self.apply(PublishVersion, version=WeightVersion(version))
        for step_id in self.submitted:
            self.submit(step_id)

    def check_pending(self) -> None:
        """Compare the cached pending samples with a rebuilt list."""
        restored = RunsState()
        restored.restore(self.state.snapshot())
        cached = self.state.list_pending_by_run(_DEPLOYMENT)
        assert cached == restored.list_pending_by_run(_DEPLOYMENT)

    def drain(self, rng: random.Random) -> None:
        """Continue without faults until every sample is delivered."""
        for _ in range(60):
            for _ in range(4):
                self.finish(rng)
            self.answers.clear()
            self.pull()
            self.take(rng)

    def expected(self) -> set[str]:
        """Return the ids of all submitted samples."""
        names = [f'g{place}/{index}' for place in range(3) for index in (0, 1)]
        return {f'{step}/{name}' for step in self.submitted for name in names}


@given(
    seed=st.integers(0, 2**32),
    moves=st.sampled_from(('ppfffffffffttuv', 'ppppffffffffftttuvvx')),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_each_sample_is_delivered_once_whatever_is_lost(
    seed: int, moves: str
) -> None:
    """Pulls repeat, answers cross or come late, versions and losses between.

    The trainer takes an answer only if it follows the cursor it holds. After
    all replicas are lost it submits its steps again; the cursor that it
    presents says what it has. At the end every sample came exactly once.
    """
    trainer, rng = Trainer(), random.Random(seed)
    trainer.submit('s0')
    steps = {
        'p': trainer.pull,
        'f': lambda: trainer.finish(rng),
        't': lambda: trainer.take(rng),
        'u': lambda: trainer.submit(f's{rng.randrange(3)}'),
        'v': trainer.publish,
        'x': trainer.lose_everything,
    }
    for move in rng.choices(moves, k=80):
        steps[move]()
        trainer.check_pending()
    trainer.drain(rng)
    assert len(trainer.taken) == len(set(trainer.taken))
    assert set(trainer.taken) == trainer.expected()


def test_a_step_id_with_different_groups_is_refused() -> None:
    """The first step remains; the second submission gets CONFLICT."""
    trainer = Trainer()
    assert trainer.submit('s0') is Verdict.ACCEPTED
    assert trainer.submit('s0') is Verdict.DUPLICATE
    other = trainer.apply(
        SubmitStep,
        step_id='s0',
        digest='other',
        groups=_GROUPS[:1],
        max_staleness=_BOUND,
    )
    assert other.verdict is Verdict.CONFLICT


def test_a_sample_of_an_unpublished_version_is_stale() -> None:
    """A sample with unknown weights is generated again, not delivered."""
    trainer = Trainer()
    trainer.submit('s0')
    sample = FinishedSample(
        sample_id=SampleId('s0/g0/0'),
        group_id='g0',
        text='x',
        versions=((WeightVersion(77), 8),),
    )
    outcome = trainer.apply(FinishSample, step_id='s0', sample=sample)
    assert outcome.verdict is Verdict.STALE


def test_a_late_duplicate_pull_is_superseded() -> None:
    """A delayed pull arrives after the trainer's next one.

    The trainer has already moved on to its second batch. Accepting the old
    cursor again would deliver the groups of the first batch twice.
    """
    trainer, rng = Trainer(), random.Random(1)
    trainer.submit('s0')
    for _ in range(40):
        trainer.finish(rng)
    trainer.pull()
    trainer.take(rng)
    trainer.pull()
    late = trainer.apply(PullBatch, cursor='', max_samples=4)
    assert late.verdict is Verdict.SUPERSEDED


def test_a_consumers_cursor_never_moves_back() -> None:
    """A late acknowledgement doesn't replace a newer cursor."""
    trainer, rng = Trainer(), random.Random(1)
    trainer.submit('s0')
    cursors = []
    for _ in range(2):
        for _ in range(40):
            trainer.finish(rng)
        trainer.pull()
        trainer.take(rng)
        cursors.append(trainer.cursor)
    for cursor in (cursors[1], cursors[0], ''):
        stored = trainer.apply(KeepCursor, consumer='c', cursor=cursor)
        assert isinstance(stored, RunOutcome)
        assert stored.cursor == cursors[1]


def test_an_empty_pull_is_not_recorded() -> None:
    """A trainer polls ten times a second until its first group is complete.

    Recording each poll would write to the store each time. A pull that commits
    a cursor or drops stale samples must still be recorded.
    """
    trainer, rng = Trainer(), random.Random(1)
    trainer.publish()
    trainer.submit('s0')
    empty_pull = trainer.make_command(PullBatch, cursor='', max_samples=4)
    assert trainer.state.preview(empty_pull) == trainer.state.apply(empty_pull)
    while not (trainer.answers and trainer.answers[-1].samples):
        trainer.finish(rng)
        trainer.pull()
    delivering_pull = trainer.make_command(PullBatch, cursor='', max_samples=4)
    assert trainer.state.preview(delivering_pull) is None


def test_a_pull_after_its_record_was_removed_names_the_step() -> None:
    """The trainer's cursor names a step that the new state doesn't know.

    An operator has removed the record from the store. With empty batches, the
    trainer would poll forever; UNKNOWN_STEP makes it submit the step again.
    """
    trainer, rng = Trainer(), random.Random(1)
    trainer.publish()
    trainer.submit('s0')
    while not trainer.cursor:
        trainer.finish(rng)
        trainer.pull()
        trainer.take(rng)
    trainer.state = RunsState()
    trainer.publish()
    pulled = trainer.apply(PullBatch, cursor=trainer.cursor, max_samples=4)
    assert pulled.verdict is Verdict.UNKNOWN_STEP
    assert trainer.submit('s0') is Verdict.ACCEPTED
