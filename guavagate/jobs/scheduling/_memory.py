"""Reserves the memory of samplers' engines for texts; no network access.

Failure pattern: an engine holds the prompt and all events of each running text.
When its memory is full it preempts the newest request and reads it again from
the start later, so texts on a sampler with many long ones make no progress and
their steps are late.

Items are therefore placed only where the expected memory fits at several
moments: at each of them a text counts by the probability that it is still
running, with the events that it has by then. If each text counted with its
whole expected length, most of the memory would stay unused: they do not end at
the same moment, and most end before the mean. A prompt that several items of a
sampler share is held once.

The estimates may be far off. A sampler without any text accepts every item:
neither an estimate nor a limit that is too small leaves a sampler empty, and a
text that is larger than the whole memory runs alone.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

import msgspec

from guavagate.jobs._models import PromptPrefix
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._lengths import HORIZONS, LengthEstimator
from guavagate.models import UpstreamId

# Bounds of the tokens per event that are learnt from estimates. All estimates
# of a trainer may be ten times off. Memory that is reserved and not used costs
# more than a text that is preempted at times.
MIN_TOKENS_PER_EVENT: Final = 42.0
MAX_TOKENS_PER_EVENT: Final = 105.0


class TextMemory(msgspec.Struct, frozen=True):
    """The tokens that a text is expected to hold, at each of `HORIZONS`.

    `own` are its events and the part of its prompt that it doesn't share.
    """

    own: tuple[float, ...] = ()
    prefixes: tuple[PromptPrefix, ...] = ()


class EngineMemory(msgspec.Struct):
    """The memory of one sampler's engine in tokens; capacity 0 is no limit.

    `reserved` are the tokens at each of `HORIZONS` without shared prompts. What
    running texts reserve is `deferred` until it is asked for: most of the time
    no item starts or moves.
    """

    capacity: int = 0
    reserved: list[float] = msgspec.field(
        default_factory=lambda: [float(0)] * len(HORIZONS)
    )
    shared: int = 0
    texts: int = 0
    prefixes: set[str] = set()
    deferred: list[Callable[[], TextMemory]] = []

    @property
    def reserved_share(self) -> float:
        """Return the largest reserved share of the capacity; 0 if no limit."""
        if not self.capacity:
            return 0
        self._reserve_deferred()
        return (max(self.reserved) + self.shared) / self.capacity

    def fits(self, text: TextMemory) -> bool:
        """Return whether a text can be placed here."""
        self._reserve_deferred()
        if not (self.capacity and self.texts):
            return True
        free = self.capacity - self.shared - self._add_shared(text)
        return all(
            reserved + own <= free
            for reserved, own in zip(self.reserved, text.own, strict=False)
        )

    def is_too_small_for(self, text: TextMemory) -> bool:
        """Return whether a text doesn't fit even without others."""
        prompt = sum(each.tokens for each in text.prefixes)
        return 0 < self.capacity < max(text.own, default=0) + prompt

    def reserve(self, text: TextMemory) -> None:
        """Reserve the memory of a text."""
        self.shared += self._add_shared(text)
        self.prefixes.update(each.id for each in text.prefixes)
        self.texts += 1
        for number, own in enumerate(text.own):
            self.reserved[number] += own

    def _reserve_deferred(self) -> None:
        deferred, self.deferred = self.deferred, []
        for estimate in deferred:
            self.reserve(estimate())

    def _add_shared(self, text: TextMemory) -> int:
        """Return the tokens of a text's shared prompt that aren't here yet."""
        return sum(
            each.tokens
            for each in text.prefixes
            if each.id not in self.prefixes
        )


EstimateMemory = Callable[[JobWork, ItemProgress], TextMemory]


def estimate_no_memory(work: JobWork, progress: ItemProgress) -> TextMemory:
    """Return nothing, for engines without a known limit."""
    return TextMemory()


def make_memory_estimate(
    lengths: LengthEstimator, capacity: int, slots: int
) -> EstimateMemory:
    """Return the function that estimates the memory of texts.

    Until enough texts of a model have completed, its lengths are guesses. Then
    a text gets no more than its slot's share, so that all slots are used.

    Parameters
    ----------
    capacity
        The tokens that a sampler's engine holds; 0 if unknown.
    slots
        The slots of a sampler.
    """
    if not capacity:
        return estimate_no_memory
    share = capacity / max(slots, 1)

    def estimate(work: JobWork, progress: ItemProgress) -> TextMemory:
        model, item = work.job.model, progress.item
        tokens_per_event = min(
            max(lengths.get_tokens_per_event(model), MIN_TOKENS_PER_EVENT),
            MAX_TOKENS_PER_EVENT,
        )
        shared = sum(each.tokens for each in item.prompt_prefixes)
        prompt = max(item.prompt_tokens - shared, 0)
        done = progress.text.last_number
        limit = max(item.max_output_tokens, done * tokens_per_event)
        if not item.max_output_tokens:
            limit = math.inf
        if not lengths.is_known(model):
            limit = min(limit, max(share - prompt, done * tokens_per_event))
        return TextMemory(
            tuple(
                probability
                * (prompt + min((done + ahead) * tokens_per_event, limit))
                for ahead, probability in zip(
                    HORIZONS, lengths.survive(model, progress), strict=True
                )
            ),
            item.prompt_prefixes,
        )

    return estimate


def reserve_running(
    works: Iterable[JobWork], capacity: int, estimate: EstimateMemory
) -> Callable[[UpstreamId], EngineMemory]:
    """Return each sampler's memory with what texts and moves reserve there."""
    memories: defaultdict[UpstreamId, EngineMemory] = defaultdict(
        lambda: EngineMemory(capacity)
    )
    if not capacity:
        return memories.__getitem__
    for work in works:
        for progress in work.items.values():
            if progress.done or progress.text.complete:
                continue
            for sampler in (progress.sampler, progress.move_target):
                if sampler is not None:
                    memories[sampler].deferred.append(
                        partial(estimate, work, progress)
                    )
    return memories.__getitem__
