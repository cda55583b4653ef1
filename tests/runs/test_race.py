"""A sample and its speculative run: the first complete answer wins."""

from collections.abc import Iterator

from guavagate.clock import PausedClock
from guavagate.decisions import Work
from guavagate.exceptions import UpstreamError
from guavagate.models import (
    CallerId,
    RequestId,
    TeamId,
    UpstreamId,
    WeightVersion,
)
from guavagate.permits import AnswerSource, Permit, Progress
from guavagate.ports.engine import Generation, Piece
from guavagate.runs._race import SampleRace


def _ignore_permit(permit: object) -> None:
    """Ignore a permit while no speculative run is accepted."""


class Samplers:
    """A fake engine and permit client with answer times by address."""

    def __init__(self, clock: PausedClock, seconds: dict[str, float]) -> None:
        self.clock = clock
        self.seconds = seconds
        self.cancelled: list[str] = []
        self.ended: list[tuple[str, int]] = []
        self.start_run = _ignore_permit

    def now(self) -> float:
        """Return the virtual time."""
        return self.clock.now()

    def accept_speculative_runs(
        self, work_id: RequestId, start_run: object
    ) -> None:
        """Store the function that starts a speculative run."""
        self.start_run = start_run  # type: ignore[assignment]

    def decline_speculative_runs(self, work_id: RequestId) -> None:
        """Accept the call."""

    def acquire(self, pool: str, work: Work, failed: object) -> Permit:
        """Return a permit for the first sampler."""
        return make_permit('first')

    def release(
        self, permit: Permit, ended: object, **measured: object
    ) -> None:
        """Accept the call."""

    def drop(self, permit: Permit) -> None:
        """Accept the call."""

    def record_failure(
        self, permit: Permit, work: Work, error: object, seconds: float
    ) -> None:
        """Ignore what failed attempts tell of their samplers."""

    def end_speculative_run(self, permit: Permit, **measured: int) -> None:
        """Record the tokens of a speculative run."""
        self.ended.append((permit.address, measured.get('tokens', 0)))

    def generate(
        self, address: str, generation: Generation, token_timeout: float
    ) -> Iterator[Piece]:
        """Answer after the address's time; a negative time fails."""
        complete = False
        try:
            self.clock.sleep(abs(self.seconds[address]))
            complete = True
        finally:
            if not complete:
                self.cancelled.append(address)
        if self.seconds[address] < 0:
            raise UpstreamError('reset', 'ask another')
        yield Piece(
            exchange=generation.exchange,
            text=address,
            tokens=1,
            version=WeightVersion(1),
            finish='stop',
        )


def make_permit(address: str) -> Permit:
    """Return a permit for an address."""
    return Permit(
        pool='p',
        work_id=RequestId('w'),
        upstream=UpstreamId(address),
        address=address,
    )


def run_race(seconds: dict[str, float]) -> tuple[Progress, Samplers]:
    """Run a race that is offered a speculative run after one second."""
    clock = PausedClock()
    samplers = Samplers(clock, seconds)
    source = AnswerSource(
        client=samplers,  # type: ignore[arg-type]
        engine=samplers,  # type: ignore[arg-type]
        pool='p',
        token_timeout=5,
    )
    work = Work(id=RequestId('w'), team=TeamId('t'), caller=CallerId('c'))
    generation = Generation(exchange=work.id, prompt='x', max_tokens=4)
    race = SampleRace(clock, source, work, generation)
    task = clock.spawn(race.run)
    clock.advance(1)
    samplers.start_run(make_permit('second'))  # type: ignore[arg-type]
    clock.run_until(task.ready, 100)
    clock.settle()
    return task.get(block=False), samplers


def test_the_faster_run_wins_and_the_slower_is_cancelled() -> None:
    """The answer comes from the speculative run alone.

    The first sampler is stuck and the pool offers an idle slot after one
    second. The speculative run completes first and the first stream is closed.
    """
    progress, samplers = run_race({'first': 50, 'second': 2})
    assert progress.text == 'second'
    assert progress.samplers == [UpstreamId('second')]
    assert samplers.cancelled == ['first']
    assert samplers.ended == [('second', 1)]


def test_a_speculative_run_that_loses_or_fails_is_ignored() -> None:
    """The first sampler's answer is used; a failed run releases its slot."""
    progress, samplers = run_race({'first': 5, 'second': 50})
    assert (progress.text, samplers.cancelled) == ('first', ['second'])
    progress, samplers = run_race({'first': 5, 'second': -1})
    assert (progress.text, samplers.ended) == ('first', [('second', 0)])
