"""One sample from whichever copy of it is whole first.

Near the end of a step idle slots take second copies of what would end last.
The first whole answer wins and the other copy is cancelled; the sample names
the versions of the one that won.
"""

from gevent.event import AsyncResult

from guavagate.clock import Clock, Task
from guavagate.decisions import Work
from guavagate.exceptions import GuavagateError, UpstreamError
from guavagate.permits import (
    AnswerSource,
    Permit,
    Progress,
    exhaust,
    run_speculatively,
    stream_answer,
)
from guavagate.ports.engine import Generation


class SampleRace:
    """Runs one sample, and a second copy when its pool offers a slot."""

    def __init__(
        self,
        clock: Clock,
        source: AnswerSource,
        work: Work,
        generation: Generation,
    ) -> None:
        self._clock = clock
        self._source = source
        self._work = work
        self._generation = generation
        self._first: AsyncResult = AsyncResult()
        self._tasks: list[Task] = []

    def run(self) -> Progress:
        """Return the first whole answer.

        Raises
        ------
        RefusalError
            No sampler gave a whole answer.
        """
        client = self._source.client
        client.accept_speculative_runs(self._work.id, self._take_copy)
        self._tasks.append(self._clock.spawn(self._run_main))
        try:
            progress: Progress = self._first.get()
        finally:
            client.decline_speculative_runs(self._work.id)
            for task in self._tasks:
                task.kill(block=False)
        return progress

    def _take_copy(self, permit: Permit) -> None:
        self._tasks.append(self._clock.spawn(self._run_copy, permit))

    def _run_main(self) -> None:
        progress = Progress()
        try:
            exhaust(
                stream_answer(
                    self._source, self._work, self._generation, progress
                )
            )
        except GuavagateError as error:
            self._settle(None, error)
            return
        self._settle(progress, None)

    def _run_copy(self, permit: Permit) -> None:
        try:
            progress = run_speculatively(self._source, permit, self._generation)
        except UpstreamError:
            return
        self._settle(progress, None)

    def _settle(
        self, progress: Progress | None, error: GuavagateError | None
    ) -> None:
        if self._first.ready():
            return
        if error is None:
            self._first.set(progress)
        else:
            self._first.set_exception(error)
