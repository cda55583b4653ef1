"""Delivery of samples to a trainer, under random orders and losses."""

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
    """A trainer that keeps a cursor and takes what follows it, once.

    Answers wait in `answers` and may be taken late, in any order, or never.
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

    def make(self, kind: type, **fields: object) -> Any:
        """Make a command."""
        self.clock += 1
        return kind(at=self.clock, deployment=_DEPLOYMENT, run=_RUN, **fields)

    def tell(self, kind: type, **fields: object) -> Batch | RunOutcome:
        """Apply one command."""
        outcome = self.state.apply(self.make(kind, **fields))
        assert isinstance(outcome, Batch | RunOutcome)
        return outcome

    def publish(self) -> None:
        """Publish the next version."""
        self.newest += 1
        self.tell(PublishVersion, version=WeightVersion(self.newest))

    def submit(self, step_id: str) -> Verdict:
        """Submit a step."""
        if step_id not in self.submitted:
            self.submitted.append(step_id)
        return self.tell(
            SubmitStep,
            step_id=step_id,
            digest=step_id,
            groups=_GROUPS,
            max_staleness=_BOUND,
        ).verdict

    def finish(self, rng: random.Random) -> None:
        """Generate one pending sample on weights of some age."""
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
        self.tell(
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
        """Pull; the answer is under way, and was fresh when handed out."""
        batch = self.tell(PullBatch, cursor=self.cursor, max_samples=4)
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
        """Take some answer if it follows the cursor held, else drop it."""
        if not self.answers:
            return
        batch = self.answers.pop(rng.randrange(len(self.answers)))
        if batch.follows != self.cursor or not batch.samples:
            return
        self.cursor = batch.cursor
        self.taken.extend(sample.sample_id for sample in batch.samples)

    def lose_everything(self) -> None:
        """Remove the record; the trainer submits and publishes again."""
        self.state = RunsState()
        for version in range(1, self.newest + 1):
            self.tell(PublishVersion, version=WeightVersion(version))
        for step_id in self.submitted:
            self.submit(step_id)

    def check_pending(self) -> None:
        """Compare what is kept of the pending samples with a new count."""
        copy = RunsState()
        copy.restore(self.state.snapshot())
        kept = self.state.list_pending_by_run(_DEPLOYMENT)
        assert kept == copy.list_pending_by_run(_DEPLOYMENT)

    def drain(self, rng: random.Random) -> None:
        """Go on without faults until nothing is left."""
        for _ in range(60):
            for _ in range(4):
                self.finish(rng)
            self.answers.clear()
            self.pull()
            self.take(rng)

    def expected(self) -> set[str]:
        """Return the ids of all samples submitted."""
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


def test_a_submit_that_repeats_with_other_groups_is_refused() -> None:
    """The first step stands; the second is told of the conflict."""
    trainer = Trainer()
    assert trainer.submit('s0') is Verdict.ACCEPTED
    assert trainer.submit('s0') is Verdict.DUPLICATE
    other = trainer.tell(
        SubmitStep,
        step_id='s0',
        digest='other',
        groups=_GROUPS[:1],
        max_staleness=_BOUND,
    )
    assert other.verdict is Verdict.CONFLICT


def test_a_version_that_was_never_published_is_not_fresh() -> None:
    """A sample of unknown weights is made again, not delivered."""
    trainer = Trainer()
    trainer.submit('s0')
    sample = FinishedSample(
        sample_id=SampleId('s0/g0/0'),
        group_id='g0',
        text='x',
        versions=((WeightVersion(77), 8),),
    )
    entered = trainer.tell(FinishSample, step_id='s0', sample=sample)
    assert entered.verdict is Verdict.STALE


def test_a_late_duplicate_of_a_pull_sets_nothing_back() -> None:
    """A pull that lay in the network arrives after the next one.

    The trainer has gone on to its second batch. Taking the old cursor again
    would hand out the first batch's groups a second time.
    """
    trainer, rng = Trainer(), random.Random(1)
    trainer.submit('s0')
    for _ in range(40):
        trainer.finish(rng)
    trainer.pull()
    trainer.take(rng)
    trainer.pull()
    late = trainer.tell(PullBatch, cursor='', max_samples=4)
    assert late.verdict is Verdict.SUPERSEDED


def test_a_consumers_cursor_is_never_set_back() -> None:
    """An acknowledgement that arrives late changes nothing."""
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
        kept = trainer.tell(KeepCursor, consumer='c', cursor=cursor)
        assert isinstance(kept, RunOutcome)
        assert kept.cursor == cursors[1]


def test_a_pull_that_finds_nothing_is_not_written() -> None:
    """A trainer asks ten times a second until its first group is whole.

    Each time in the record would be a write to the store. A pull that commits
    what was taken, or finds samples that have gone stale, is written.
    """
    trainer, rng = Trainer(), random.Random(1)
    trainer.publish()
    trainer.submit('s0')
    waiting = trainer.make(PullBatch, cursor='', max_samples=4)
    assert trainer.state.preview(waiting) == trainer.state.apply(waiting)
    while not (trainer.answers and trainer.answers[-1].samples):
        trainer.finish(rng)
        trainer.pull()
    handed = trainer.make(PullBatch, cursor='', max_samples=4)
    assert trainer.state.preview(handed) is None


def test_a_run_whose_record_was_removed_is_told_of() -> None:
    """The trainer holds a cursor of a step that nobody knows any more.

    An operator has removed the record from the store. An empty batch would
    have the trainer pull nothing for ever; told that the step is not known,
    it submits again.
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
    pulled = trainer.tell(PullBatch, cursor=trainer.cursor, max_samples=4)
    assert pulled.verdict is Verdict.UNKNOWN_STEP
    assert trainer.submit('s0') is Verdict.ACCEPTED
