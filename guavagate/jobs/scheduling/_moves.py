"""Decides which texts move from slow samplers to faster ones; no network.

Failure pattern: a third of the samplers is slower, which is unknown when the
first items start, and the longest texts of a step run there while faster
samplers idle. A short text loses little by that; a long one makes its step
late, and all later steps of its trainer. A sampler reads a prompt and partial
text a hundred times faster than it generates them, so a move costs little: a
connection, and the time of an event. Each text moves a few times at most, those
that gain most first.

Waiting items get free slots before moves do. But while a step starts, some
items always wait, and the slot that a text leaves is free for one of them. So
a text moves before shorter waiting ones if its step would otherwise be late.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final

import msgspec

from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._memory import EstimateMemory, estimate_no_memory
from guavagate.jobs.scheduling._schedule import (
    UNMEASURED_COST,
    SamplerSlots,
    count_demands,
    find_sampler,
)
from guavagate.models import UpstreamId

# A fuller batch alone explains a smaller difference.
MIN_MOVE_RATIO: Final = 1.25
# The least gain of a move; connecting and reading the prompt cost a tenth of
# it.
MIN_MOVE_GAIN_SECONDS: Final = 0.5
# The least expected gain for a text that would make its step late.
MIN_URGENT_GAIN_SECONDS: Final = 0.3
# A text that ends earlier than its step is due, by this share of the step's
# objective, delays nothing where it runs, and a move costs a connection. It
# moves for a large gain only.
MOVE_SLACK_RATIO: Final = 0.3
LARGE_GAIN_SECONDS: Final = 1.0
# Most items end sooner; one that runs for longer is one of the long ones.
MOVE_AFTER_SECONDS: Final = 1.5
MAX_MOVES: Final = 2
# Allows one more move where the current sampler is this many times slower.
EXTRA_MOVE_RATIO: Final = 2.0


class RemainingTime(msgspec.Struct, frozen=True):
    """The remaining seconds of an item at median speed; 0 if unknown."""

    typical: float = 0
    conservative: float = 0


EstimateTime = Callable[[JobWork, ItemProgress], RemainingTime]


class Move(msgspec.Struct, frozen=True):
    """A text to move, to which sampler, and the seconds that it gains.

    The gain is 0 if lengths are unknown. The move is `urgent` if the text's
    step would be late without it.
    """

    progress: ItemProgress
    target: UpstreamId
    gain: float
    urgent: bool


class _Candidate(msgspec.Struct):
    work: JobWork
    progress: ItemProgress
    current: SamplerSlots
    remaining: RemainingTime

    def may_gain(self, fastest: float, now: float) -> bool:
        """Return whether a move to the fastest sampler could be worthwhile."""
        if not self.remaining.typical:
            return True
        saved = self.current.relative_interval - fastest
        gain = self.remaining.typical * saved
        if gain < MIN_URGENT_GAIN_SECONDS:
            return False
        slack = MOVE_SLACK_RATIO * self.work.job.objective
        late = self._find_end(now) > self.work.due - slack
        return late or gain >= LARGE_GAIN_SECONDS

    def is_urgent(self, now: float) -> bool:
        """Return whether the text may make its step late where it runs."""
        if not self.work.is_wanted(self.progress.item.group):
            return False
        return (
            self.remaining.typical > 0 and self._find_end(now) > self.work.due
        )

    def _find_end(self, now: float) -> float:
        """Return when the text ends at the latest where it runs."""
        seconds = self.remaining.conservative * self.current.relative_interval
        return now + seconds


def find_urgent_moves(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    now: float,
    estimate: EstimateTime,
    estimate_memory: EstimateMemory = estimate_no_memory,
    sources: Sequence[SamplerSlots] = (),
) -> list[Move]:
    """Return the moves that come before the start of waiting items.

    Reserves their slots and memory in `samplers`. Only texts that would make
    their steps late move, and only if longer waiting items leave a slot free.

    Parameters
    ----------
    sources
        Samplers that texts may leave, but none may move to.
    """
    demands = count_demands(works, now)
    crowded = {each for each, demand in demands.items() if demand.waiting}
    waiting: Mapping[str, list[float]] | None = None
    moves: list[Move] = []
    for candidate in _list_candidates(
        works, samplers, now, estimate, crowded, sources
    ):
        if not candidate.is_urgent(now):
            continue
        if waiting is None:
            waiting = _list_waiting(works, now, estimate)
        conservative = candidate.remaining.conservative
        queued = waiting[candidate.work.job.model]
        longer = [each for each in queued if each > conservative]
        free = [sampler.free for sampler in samplers]
        if len(longer) >= sum(free):
            continue
        move = _make_move(candidate, samplers, now, estimate_memory)
        if move is not None:
            moves.append(move)
    return moves


def find_moves(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    now: float,
    estimate: EstimateTime,
    estimate_memory: EstimateMemory = estimate_no_memory,
    sources: Sequence[SamplerSlots] = (),
) -> list[Move]:
    """Return the moves of texts whose models have no waiting items."""
    demands = count_demands(works, now)
    models = {each for each, demand in demands.items() if not demand.waiting}
    moves = []
    for candidate in _list_candidates(
        works, samplers, now, estimate, models, sources
    ):
        move = _make_move(candidate, samplers, now, estimate_memory)
        if move is not None:
            moves.append(move)
    return moves


def _list_candidates(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    now: float,
    estimate: EstimateTime,
    models: set[str],
    sources: Sequence[SamplerSlots],
) -> list[_Candidate]:
    """Return the texts on slow samplers, those with the most time left first.

    Slow is what is slower than the fastest sampler with a free slot.
    """
    intervals = [
        sampler.relative_interval for sampler in samplers if sampler.free > 0
    ]
    fastest = min(intervals, default=0)
    slow_interval = MIN_MOVE_RATIO * fastest
    slow_samplers = {
        sampler.id: sampler
        for sampler in (*samplers, *sources)
        if sampler.relative_interval >= slow_interval
    }
    if not intervals or not slow_samplers or not models:
        return []
    candidates = [
        _Candidate(work, progress, current, estimate(work, progress))
        for work in works
        if work.job.model in models
        for progress, current in _list_movable(work, slow_samplers)
    ]
    candidates = [each for each in candidates if each.may_gain(fastest, now)]
    candidates.sort(
        key=lambda each: (
            -each.remaining.typical * each.current.relative_interval
        )
    )
    return candidates


def _list_movable(
    work: JobWork, samplers: Mapping[UpstreamId, SamplerSlots]
) -> Iterator[tuple[ItemProgress, SamplerSlots]]:
    for progress in work.items.values():
        if progress.sampler is None or progress.run is None:
            continue
        current = samplers.get(progress.sampler)
        if current is not None and progress.move_target is None:
            yield progress, current


def _list_waiting(
    works: Sequence[JobWork], now: float, estimate: EstimateTime
) -> Mapping[str, list[float]]:
    """Return the remaining seconds of the waiting items by model."""
    waiting: dict[str, list[float]] = {}
    for work in works:
        waiting.setdefault(work.job.model, []).extend(
            estimate(work, progress).conservative
            for progress in work.items.values()
            if progress.is_waiting(now)
        )
    return waiting


def _make_move(
    candidate: _Candidate,
    samplers: Sequence[SamplerSlots],
    now: float,
    estimate_memory: EstimateMemory,
) -> Move | None:
    """Return a text's move, if any, and reserve its slot."""
    progress, current = candidate.progress, candidate.current
    memory = estimate_memory(candidate.work, progress)
    target = find_sampler(candidate.work, progress, samplers, memory)
    urgent = candidate.is_urgent(now)
    if target is None or not _is_move_worthwhile(
        progress, current, target, candidate.remaining, now, urgent=urgent
    ):
        return None
    target.reserve(progress.item, memory)
    saved = current.relative_interval - _expect_interval(target)
    gain = candidate.remaining.typical * saved
    return Move(progress, target.id, gain, urgent)


def _expect_interval(sampler: SamplerSlots) -> float:
    """Return a relative interval; a sampler not yet measured may be slow."""
    if sampler.measured:
        return sampler.relative_interval
    return sampler.relative_interval + UNMEASURED_COST


def _is_move_worthwhile(
    progress: ItemProgress,
    current: SamplerSlots,
    target: SamplerSlots,
    remaining: RemainingTime,
    now: float,
    *,
    urgent: bool,
) -> bool:
    """Return whether an item gains from a move.

    If lengths are unknown, an item that has run for long counts as a long one.
    An item that has just moved stays for a while: measured intervals are noisy,
    and if it used up its moves at once it could end up on a slow sampler.
    """
    if progress.started_at is None or progress.moves > MAX_MOVES:
        return False
    target_interval = _expect_interval(target)
    ratio = current.relative_interval / target_interval
    min_ratio = (
        MIN_MOVE_RATIO if progress.moves < MAX_MOVES else EXTRA_MOVE_RATIO
    )
    if ratio < min_ratio:
        return False
    settled = now - progress.started_at > MOVE_AFTER_SECONDS
    if remaining.typical and (settled or not progress.moves):
        saved = current.relative_interval - target_interval
        min_gain = MIN_URGENT_GAIN_SECONDS if urgent else MIN_MOVE_GAIN_SECONDS
        return remaining.typical * saved >= min_gain
    return settled and not remaining.typical
