"""Races the main run of a sample against speculative runs.

Near the end of a step, idle slots start speculative runs of the samples that
would finish last. The first complete answer wins and the other run is
cancelled; the sample names the weight versions of the winner.
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
    """Runs a sample, and speculatively again if its pool offers a slot."""

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
        """Return the first complete answer.

        Raises
        ------
        RefusalError
            No sampler returned a complete answer.
        """
        client = self._source.client
        client.accept_speculative_runs(
            self._work.id, self._start_speculative_run
        )
        self._tasks.append(self._clock.spawn(self._run_main))
        try:
            progress: Progress = self._first.get()
        finally:
            client.decline_speculative_runs(self._work.id)
            for task in self._tasks:
                task.kill(block=False)
        return progress

    def _start_speculative_run(self, permit: Permit) -> None:
        self._tasks.append(self._clock.spawn(self._run_speculative, permit))

    def _run_main(self) -> None:
        progress = Progress()
        try:
            exhaust(
                stream_answer(
                    self._source, self._work, self._generation, progress
                )
            )
        except GuavagateError as error:
            self._resolve(None, error)
            return
        self._resolve(progress, None)

    def _run_speculative(self, permit: Permit) -> None:
        try:
            progress = run_speculatively(
                self._source, permit, self._work, self._generation
            )
        except UpstreamError:
            return
        self._resolve(progress, None)

    def _resolve(
        self, progress: Progress | None, error: GuavagateError | None
    ) -> None:
        if self._first.ready():
            return
        if error is None:
            self._first.set(progress)
        else:
            self._first.set_exception(error)
