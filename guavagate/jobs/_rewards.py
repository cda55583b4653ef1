"""Asks for the rewards of whole texts; which goes first needs no network.

Load pattern: most texts of a step are short and end together, so a wave of
reward requests meets upstreams that take a few at once. A trainer goes on with
whole groups, so a group of which only rewards are missing goes before one of
which texts are still in the making, and the first of those with the fewest
rewards to go.
"""

import logging
from collections.abc import Callable, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs._models import GroupId, Result, ResultState
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId
from guavagate.ports.rewards import (
    RewardClient,
    RewardKind,
    RewardOutcome,
    RewardRoute,
)

_LOGGER: Final = logging.getLogger(__name__)

# A request that no upstream took is sent again after about one request's work;
# doubled each time, as an outage of all of them lasts for seconds.
RETRY_SECONDS: Final = 0.1
LONGEST_RETRY_SECONDS: Final = 0.8
# A route may come back with the next configuration, which is in force within
# two seconds; looking is cheap.
NO_ROUTE_SECONDS: Final = 0.5

Finish = Callable[[JobWork, Result], None]


class RewardDispatcher:
    """Sends reward requests for an owner; each is a task of its own."""

    def __init__(
        self,
        clock: Clock,
        client: RewardClient,
        metrics: Metrics,
        finish: Finish,
        wake: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._client = client
        self._metrics = metrics
        self._finish = finish
        self._wake = wake

    def handle_complete_text(
        self, work: JobWork, progress: ItemProgress
    ) -> None:
        """Take a text that is whole; one without a reward is a result."""
        if progress.item.reward is None:
            self._finish(work, _complete(progress, ''))
            return
        progress.completed_at = self._clock.now()
        write(
            _LOGGER,
            events.TEXT_WHOLE,
            job=work.job.id,
            item=progress.item.id,
            reward=progress.item.reward.id,
            events=progress.text.last_number,
        )
        self._wake()

    def dispatch(self, works: Sequence[JobWork], now: float) -> None:
        """Start the requests for which the upstreams have room."""
        rooms: dict[ServiceId, int] = {}
        for work, progress in order_pending_rewards(works, now):
            if progress.item.reward is None:
                self.handle_complete_text(work, progress)
                continue
            route = self._client.find_route(progress.item.reward)
            if route is None:
                self._note_no_route(progress, now)
                continue
            service = route.service
            room = rooms.get(service)
            if room is None:
                room = self._client.count_room(service)
            rooms[service] = room - 1
            if room > 0:
                progress.reward_task = self._clock.spawn(
                    self._ask, work, progress, route
                )

    def _ask(
        self, work: JobWork, progress: ItemProgress, route: RewardRoute
    ) -> None:
        began = self._clock.now()
        reward = progress.item.reward
        assert reward is not None
        try:
            outcome = self._client.send(reward)
        finally:
            progress.reward_task = None
        if progress.done or work.ended:
            return
        seconds = self._clock.now() - began
        self._metrics.observe(
            names.REWARD_SECONDS, seconds, outcome=outcome.kind.value
        )
        progress.reward_failures += outcome.failures
        if outcome.kind is RewardKind.GIVEN:
            self._note_given(work, progress, outcome, seconds)
        else:
            self._note_failed(work, progress, route, outcome, seconds)
        self._wake()

    def _note_given(
        self,
        work: JobWork,
        progress: ItemProgress,
        outcome: RewardOutcome,
        seconds: float,
    ) -> None:
        assert progress.item.reward is not None
        waited = float(0)
        if progress.completed_at is not None:
            waited = self._clock.now() - progress.completed_at
        write(
            _LOGGER,
            events.REWARD_GIVEN,
            job=work.job.id,
            item=progress.item.id,
            reward=progress.item.reward.id,
            seconds=round(seconds, 3),
            since_whole=round(waited, 3),
        )
        self._finish(work, _complete(progress, outcome.signature))

    def _note_failed(
        self,
        work: JobWork,
        progress: ItemProgress,
        route: RewardRoute,
        outcome: RewardOutcome,
        seconds: float,
    ) -> None:
        assert progress.item.reward is not None
        progress.reward_attempts += 1
        pause = RETRY_SECONDS * 2 ** (min(progress.reward_attempts, 4) - 1)
        progress.reward_retry_at = self._clock.now() + min(
            pause, LONGEST_RETRY_SECONDS
        )
        most = max(work.job.max_attempts, route.most_failures)
        hopeless = progress.reward_failures >= most
        write(
            _LOGGER,
            events.REWARD_FAILED,
            job=work.job.id,
            item=progress.item.id,
            reward=progress.item.reward.id,
            seconds=round(seconds, 3),
            failures=progress.reward_failures,
            given_up=hopeless,
            reason=outcome.reason or outcome.kind.value,
        )
        if hopeless:
            result = Result(progress.item.id, ResultState.ERRORED, '', [])
            self._finish(work, result)

    def _note_no_route(self, progress: ItemProgress, now: float) -> None:
        progress.reward_retry_at = now + NO_ROUTE_SECONDS
        if progress.reward_attempts:
            return
        progress.reward_attempts = 1
        reward = progress.item.reward
        assert reward is not None
        write(
            _LOGGER,
            events.REWARD_WITHOUT_ROUTE,
            item=progress.item.id,
            reward=reward.id,
            host=reward.host,
            path=reward.path,
        )


def order_pending_rewards(
    works: Sequence[JobWork], now: float
) -> list[tuple[JobWork, ItemProgress]]:
    """Return the whole texts without a reward, in the order to ask for it."""
    ordered: list[tuple[JobWork, ItemProgress]] = []
    for work in sorted(works, key=lambda each: each.due):
        unrated = [
            each
            for each in work.items.values()
            if each.is_ready_for_reward(now)
        ]
        if unrated:
            ordered += [(work, each) for each in _order(work, unrated)]
    return ordered


def _order(work: JobWork, unrated: list[ItemProgress]) -> list[ItemProgress]:
    rank: dict[GroupId, int] = {}
    in_making: dict[GroupId, int] = {}
    for progress in work.items.values():
        group = progress.item.group
        rank.setdefault(group, len(rank))
        made = progress.done or progress.text.complete
        in_making[group] = in_making.get(group, 0) + (not made)
    return sorted(
        unrated,
        key=lambda each: (
            in_making[each.item.group],
            work.count_missing(each.item.group),
            rank[each.item.group],
        ),
    )


def _complete(progress: ItemProgress, signature: str) -> Result:
    text = progress.text
    return Result(
        progress.item.id,
        ResultState.COMPLETED,
        text.join(),
        text.versions,
        signature,
    )
