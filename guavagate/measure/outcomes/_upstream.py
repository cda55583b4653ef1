"""Fake upstream of a plain service that records its runs and answers."""

import random
from collections.abc import Callable
from typing import Final

from gevent.event import AsyncResult

from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.ledger import Answer
from guavagate.measure import history as hist
from guavagate.measure.fakes import Host, World

_DELAY_SECONDS: Final = 0.002
_WORK_SECONDS: Final = (0.05, 1.5)
_REFUSAL_SHARE: Final = 0.05
_CRASH_SHARE: Final = 0.04

STAGES: Final = ('before', 'during', 'after')


class Upstream:
    """Upstream that runs every request it receives, with a unique answer.

    Attributes
    ----------
    on_stage
        Called before, during and after each call by an instance; a hook for
        fault injection.
    """

    def __init__(
        self, world: World, rng: random.Random, history: list[hist.Event]
    ) -> None:
        self._world = world
        self._rng = rng
        self._history = history
        self._runs = 0
        self.on_stage: Callable[[Host, str], None] | None = None

    def call(self, host: Host, request: str, body: str) -> Answer:
        """Call the upstream from an instance and wait for the answer."""
        self._call_stage_hook(host, 'before')
        host.clock.sleep(_DELAY_SECONDS)
        if self._rng.random() < _REFUSAL_SHARE:
            raise UpstreamNotStartedError(
                'the upstream is shutting down', 'try another upstream'
            )
        result: AsyncResult[Answer] = AsyncResult()
        self._world.clock.spawn(self._run, host, request, body, result)
        self._call_stage_hook(host, 'during')
        answer = result.get()
        self._call_stage_hook(host, 'after')
        return answer

    def _call_stage_hook(self, host: Host, stage: str) -> None:
        """Call the hook that injects a fault at a stage."""
        if self.on_stage is not None:
            self.on_stage(host, stage)
            host.wait_until_running()

    def _run(
        self,
        host: Host,
        request: str,
        body: str,
        result: 'AsyncResult[Answer]',
    ) -> None:
        """Run a request, even if the calling instance stops meanwhile."""
        self._runs += 1
        number = self._runs
        clock = self._world.clock
        self._history.append(
            hist.RanAtUpstream(
                at=clock.now(), request=request, body=body, exchange=str(number)
            )
        )
        clock.sleep(self._rng.uniform(*_WORK_SECONDS))
        if self._rng.random() < _CRASH_SHARE:
            error = UpstreamError(
                'the upstream crashed', 'check whether the request ran'
            )
            host.deliver(lambda: result.set_exception(error))
            return
        text = f'{body} done as run {number}'
        self._history.append(
            hist.AnsweredByUpstream(
                at=clock.now(), request=request, answer=text
            )
        )
        answer = Answer(status=200, body=text.encode())
        host.deliver(lambda: result.set(answer))
