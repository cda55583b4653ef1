"""Which texts are placed together in an engine's memory."""

import msgspec
import pytest

from guavagate.jobs._models import PromptPrefix
from guavagate.jobs._work import JobWork
from guavagate.jobs.scheduling._forecast import forecast
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._memory import (
    make_memory_estimate,
    reserve_running,
)
from guavagate.jobs.scheduling._moves import RemainingTime, find_moves
from guavagate.jobs.scheduling._schedule import Placements, SamplerSlots, place
from guavagate.models import UpstreamId, WeightVersion
from tests.jobs.samplers import MODEL
from tests.jobs.scheduling.test_forecast import NOW, make_lengths, make_work

SLOTS = 4
# Each text has 100 events of 84 tokens at its end.
TEXT_TOKENS = 8400


class Engines:
    """Samplers whose engines hold a number of tokens each."""

    def __init__(self, capacity: int, names: str = 'x') -> None:
        self.capacity = capacity
        self.names = names
        self.lengths = make_lengths(100, TEXT_TOKENS)
        self.works: list[JobWork] = []

    def add(self, name: str, items: int, **fields: object) -> JobWork:
        """Add a job of one group."""
        work = make_work(name, tokens=TEXT_TOKENS, groups=1, size=items)
        for progress in work.items.values():
            progress.item = msgspec.structs.replace(progress.item, **fields)
        self.works.append(work)
        return work

    def list_samplers(self) -> list[SamplerSlots]:
        """Return the samplers with what their texts reserve."""
        estimate = make_memory_estimate(self.lengths, self.capacity, SLOTS)
        get_memory = reserve_running(self.works, self.capacity, estimate)
        running = [
            progress.sampler
            for work in self.works
            for progress in work.items.values()
        ]
        return [
            SamplerSlots(
                id=UpstreamId(name),
                versions={MODEL: WeightVersion(1)},
                free=SLOTS - running.count(UpstreamId(name)),
                slots=SLOTS,
                models=frozenset((MODEL,)),
                memory=get_memory(UpstreamId(name)),
            )
            for name in self.names
        ]

    def place(self) -> Placements:
        """Start what can start now."""
        estimate = make_memory_estimate(self.lengths, self.capacity, SLOTS)
        planned = forecast(self.works, {MODEL: 8}, 0, self.lengths, NOW)
        placements = place(
            planned.groups, self.list_samplers(), self.lengths, estimate
        )
        by_id = {work.job.id: work for work in self.works}
        for each in placements.started:
            by_id[each.job].items[each.item].sampler = each.sampler
        return placements


def test_texts_are_placed_where_their_expected_ends_fit() -> None:
    """Two of three long texts fit into an engine.

    With a third one the engine is full before they end. It preempts the newest
    text, which is read again and again, and is late.
    """
    engines = Engines(2 * TEXT_TOKENS + 100)
    engines.add('a', 3)
    placements = engines.place()
    assert len(placements.started) == 2
    assert len(placements.without_memory) == 1


def test_engines_without_a_known_limit_use_all_slots() -> None:
    """The configuration names no memory; nothing changes for the service."""
    engines = Engines(0)
    engines.add('a', 6)
    assert len(engines.place().started) == SLOTS


def test_a_groups_prompt_counts_once() -> None:
    """Its items share a prompt as large as a text, which is read once."""
    prefixes = (PromptPrefix('g', TEXT_TOKENS),)
    engines = Engines(4 * TEXT_TOKENS + 100)
    engines.add('a', 4, prompt_tokens=TEXT_TOKENS, prompt_prefixes=prefixes)
    assert len(engines.place().started) == 3


def test_a_prompt_of_its_own_counts_for_each_text() -> None:
    """Each text needs twice the memory that its events take."""
    engines = Engines(4 * TEXT_TOKENS + 100)
    engines.add('a', 4, prompt_tokens=TEXT_TOKENS)
    assert len(engines.place().started) == 2


def test_a_text_larger_than_all_memory_runs_alone() -> None:
    """Else it would never start, or crash the engine together with others."""
    engines = Engines(TEXT_TOKENS // 2)
    engines.add('a', 2)
    placements = engines.place()
    assert len(placements.started) == len(placements.alone) == 1
    assert not engines.place().started


def test_small_texts_do_not_starve_a_large_one() -> None:
    """A text that needs half of the memory waits while small ones come.

    Each that ends makes room for the next small one, but never for the large
    one. One sampler is therefore left to it until it fits.
    """
    engines = Engines(2 * TEXT_TOKENS + 100)
    work = engines.add('a', 3)
    first, second, large = work.items.values()
    engines.place()
    assert large.sampler is None
    engines.add('later', 1, expected_tokens=84)
    assert not engines.place().started
    first.sampler = None
    first.done = True
    engines.place()
    assert large.sampler == second.sampler


def test_progress_frees_memory_that_is_not_needed() -> None:
    """A text with a low estimate has ended; others may start."""
    engines = Engines(2 * TEXT_TOKENS + 100)
    work = engines.add('a', 3)
    engines.place()
    first = next(iter(work.items.values()))
    first.text.complete = True
    first.sampler = None
    assert len(engines.place().started) == 1


@pytest.mark.parametrize('estimate', [TEXT_TOKENS, 10 * TEXT_TOKENS])
def test_all_slots_are_used_while_lengths_are_unknown(estimate: int) -> None:
    """After a start, estimates may be ten times too long.

    Used as they are, one text would occupy a sampler until enough texts have
    completed, which takes the time of the first steps.
    """
    engines = Engines(TEXT_TOKENS)
    engines.lengths = LengthEstimator()
    engines.add('a', 6, expected_tokens=estimate)
    assert len(engines.place().started) == SLOTS


def test_a_text_moves_only_where_it_fits() -> None:
    """The faster sampler has a free slot and no memory.

    The engine would preempt the moved text first, as it is its newest.
    """
    engines = Engines(TEXT_TOKENS + 100, 'xy')
    work = engines.add('a', 2)
    engines.place()
    slow = next(
        each for each in work.items.values() if each.sampler == UpstreamId('x')
    )
    slow.run = object()  # type: ignore[assignment]
    slow.started_at = NOW
    estimate = make_memory_estimate(engines.lengths, engines.capacity, SLOTS)

    def find(samplers: list[SamplerSlots]) -> int:
        samplers[0].relative_interval = 2
        time = RemainingTime(4, 4)
        moves = find_moves([work], samplers, NOW, lambda *_: time, estimate)
        return len(moves)

    assert find(engines.list_samplers()) == 0
    engines.capacity *= 2
    assert find(engines.list_samplers()) == 1


def test_a_move_reserves_memory_at_both_samplers() -> None:
    """Until its run has ended at the one, no text takes its place there."""
    engines = Engines(TEXT_TOKENS + 100, 'xy')
    work = engines.add('a', 1)
    engines.place()
    moving = next(iter(work.items.values()))
    moving.move_target = UpstreamId('y')
    engines.add('b', 1)
    assert not engines.place().started
    moving.sampler = None
    started = engines.place().started
    assert {each.sampler for each in started} == {'x', 'y'}
