"""A plain service's upstream that records what it runs and answers."""

import random
from collections.abc import Callable
from typing import Final

from gevent.event import AsyncResult

from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.ledger import Answer
from guavagate.measure import history as hist
from guavagate.measure.fakes import Host, World

_WAY: Final = 0.002
_WORK: Final = (0.05, 1.5)
_REFUSES: Final = 0.05
_CRASHES: Final = 0.04

Stage: Final = ('before', 'during', 'after')


class Upstream:
    """Runs whatever reaches it, each time anew, with an answer of its own.

    Attributes
    ----------
    at_stage
        Called as an instance calls it, before, during and after; faults hook
        in here.
    """

    def __init__(
        self, world: World, rng: random.Random, record: list[hist.Event]
    ) -> None:
        self._world = world
        self._rng = rng
        self._record = record
        self._runs = 0
        self.at_stage: Callable[[Host, str], None] | None = None

    def call(self, host: Host, request: str, body: str) -> Answer:
        """Call it from an instance and wait for the answer."""
        self._reach(host, 'before')
        host.clock.sleep(_WAY)
        if self._rng.random() < _REFUSES:
            raise UpstreamNotStartedError('it is leaving', 'try another')
        result: AsyncResult[Answer] = AsyncResult()
        self._world.clock.spawn(self._run, host, request, body, result)
        self._reach(host, 'during')
        answer = result.get()
        self._reach(host, 'after')
        return answer

    def _reach(self, host: Host, stage: str) -> None:
        """Let a fault happen at this stage."""
        if self.at_stage is not None:
            self.at_stage(host, stage)
            host.hold()

    def _run(
        self,
        host: Host,
        request: str,
        body: str,
        result: 'AsyncResult[Answer]',
    ) -> None:
        """Run a request, whatever becomes of the one who called."""
        self._runs += 1
        number = self._runs
        clock = self._world.clock
        self._record.append(
            hist.RanAtUpstream(
                at=clock.now(), request=request, body=body, exchange=str(number)
            )
        )
        clock.sleep(self._rng.uniform(*_WORK))
        if self._rng.random() < _CRASHES:
            error = UpstreamError('it broke off', 'ask what became of it')
            host.deliver(lambda: result.set_exception(error))
            return
        text = f'{body} done as run {number}'
        self._record.append(
            hist.AnsweredByUpstream(
                at=clock.now(), request=request, answer=text
            )
        )
        answer = Answer(status=200, body=text.encode())
        host.deliver(lambda: result.set(answer))
