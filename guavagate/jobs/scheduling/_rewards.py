"""Requests the rewards of complete texts and decides their order.

Failure pattern: most texts of a step are short and complete together, so a
wave of reward requests meets upstreams that accept a few at once. A trainer
continues with complete groups, so a reward for a group that still has
unfinished texts would take the place of one that completes a group. Groups that
lack only rewards therefore go first, and among them the one with the fewest
missing rewards. The order needs no network access.
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
from guavagate.models import Regions, ServiceId
from guavagate.ports.rewards import (
    RewardClient,
    RewardKind,
    RewardOutcome,
    RewardRoute,
)
from guavagate.residency import combine_regions
from guavagate.util.backoff import compute_backoff

_LOGGER: Final = logging.getLogger(__name__)

# The backoff after a failed request is about the duration of a request. It
# doubles each time, because an outage of all upstreams lasts for seconds.
RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 0.8
# A request whose answers were lost this often may be what ends the upstreams.
# It is owed and never given up for that, but callers need the upstreams too.
MAX_LOST_ANSWERS: Final = 3
MAX_LOST_RETRY_SECONDS: Final = 5.0
# A missing route may return with the next configuration, which takes effect
# within two seconds; the lookup is cheap.
ROUTE_CHECK_SECONDS: Final = 0.5

Finish = Callable[[JobWork, Result], None]


class RewardDispatcher:
    """Sends the reward requests of a job owner, each in its own task."""

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
        """Queue a complete text for its reward, or finish it without one."""
        if progress.item.reward is None:
            self._finish(work, _make_result(progress, ''))
            return
        progress.completed_at = self._clock.now()
        write(
            _LOGGER,
            events.TEXT_COMPLETE,
            job=work.job.id,
            item=progress.item.id,
            reward=progress.item.reward.id,
            events=progress.text.last_number,
        )
        self._wake()

    def dispatch(self, works: Sequence[JobWork], now: float) -> None:
        """Start the requests that the upstreams have capacity for."""
        capacities: dict[tuple[ServiceId, Regions], int] = {}
        for work, progress in order_pending_rewards(works, now):
            if progress.item.reward is None:
                self.handle_complete_text(work, progress)
                continue
            route = self._client.find_route(progress.item.reward)
            if route is None:
                self._postpone(progress, now)
                continue
            regions = combine_regions(work.regions, route.regions)
            key = route.service, regions
            capacity = capacities.get(key)
            if capacity is None:
                capacity = self._client.count_available(route.service, regions)
            capacities[key] = capacity - 1
            if capacity > 0:
                progress.reward_task = self._clock.spawn(
                    self._request_reward, work, progress, route
                )

    def _request_reward(
        self, work: JobWork, progress: ItemProgress, route: RewardRoute
    ) -> None:
        started_at = self._clock.now()
        reward = progress.item.reward
        assert reward is not None
        try:
            outcome = self._client.send(reward, work.regions)
        finally:
            progress.reward_task = None
        if progress.done or work.ended:
            return
        seconds = self._clock.now() - started_at
        self._metrics.observe(
            names.REWARD_SECONDS, seconds, outcome=outcome.kind.value
        )
        progress.reward_failures += outcome.failures
        if outcome.kind is RewardKind.SUCCEEDED:
            self._finish_rated(work, progress, outcome, seconds)
        else:
            self._handle_failure(work, progress, route, outcome, seconds)
        self._wake()

    def _finish_rated(
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
            events.REWARD_RECEIVED,
            job=work.job.id,
            item=progress.item.id,
            reward=progress.item.reward.id,
            seconds=round(seconds, 3),
            since_whole=round(waited, 3),
        )
        self._finish(work, _make_result(progress, outcome.signature))

    def _handle_failure(
        self,
        work: JobWork,
        progress: ItemProgress,
        route: RewardRoute,
        outcome: RewardOutcome,
        seconds: float,
    ) -> None:
        assert progress.item.reward is not None
        progress.reward_attempts += 1
        progress.reward_losses += outcome.lost
        progress.reward_retry_at = self._clock.now() + _compute_backoff(
            progress
        )
        max_failures = max(work.job.max_attempts, route.max_failures)
        gives_up = progress.reward_failures >= max_failures
        write(
            _LOGGER,
            events.REWARD_FAILED,
            job=work.job.id,
            item=progress.item.id,
            reward=progress.item.reward.id,
            seconds=round(seconds, 3),
            failures=progress.reward_failures,
            given_up=gives_up,
            reason=outcome.reason or outcome.kind.value,
        )
        if gives_up:
            result = Result(progress.item.id, ResultState.ERRORED, '', [])
            self._finish(work, result)

    def _postpone(self, progress: ItemProgress, now: float) -> None:
        """Check again later for a missing route; log it once."""
        progress.reward_retry_at = now + ROUTE_CHECK_SECONDS
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
    """Return the complete texts that lack a reward, in request order."""
    ordered: list[tuple[JobWork, ItemProgress]] = []
    for work in sorted(works, key=lambda each: each.due):
        pending = [
            each
            for each in work.items.values()
            if each.is_ready_for_reward(now)
        ]
        if pending:
            ordered += [(work, each) for each in _order_items(work, pending)]
    return ordered


def _order_items(
    work: JobWork, pending: list[ItemProgress]
) -> list[ItemProgress]:
    rank: dict[GroupId, int] = {}
    unfinished: dict[GroupId, int] = {}
    for progress in work.items.values():
        group = progress.item.group
        rank.setdefault(group, len(rank))
        complete = progress.done or progress.text.complete
        unfinished[group] = unfinished.get(group, 0) + (not complete)
    return sorted(
        pending,
        key=lambda each: (
            unfinished[each.item.group],
            work.count_missing(each.item.group),
            rank[each.item.group],
        ),
    )


def _compute_backoff(progress: ItemProgress) -> float:
    """Return in how many seconds a reward is requested again."""
    is_lost = progress.reward_losses > MAX_LOST_ANSWERS
    longest = MAX_LOST_RETRY_SECONDS if is_lost else MAX_RETRY_SECONDS
    return compute_backoff(RETRY_SECONDS, progress.reward_attempts, longest)


def _make_result(progress: ItemProgress, signature: str) -> Result:
    text = progress.text
    return Result(
        progress.item.id,
        ResultState.COMPLETED,
        text.join(),
        text.versions,
        signature,
    )
