"""Load and failures: long texts while a third of the samplers is slow.

Each test plays half a minute of trainers that each have two steps open. Which
samplers are slow is unknown at the start.
"""

import statistics
from collections.abc import Sequence

from tests.jobs.load_engines import EngineProfile
from tests.jobs.load_model import LoadModel
from tests.jobs.load_parts import TrainerProfile

SEEDS = (1, 2)
# The three trainers' steps of 88, 80 and 104 items; the longest texts take the
# whole time of a step.
PROFILES = [
    TrainerProfile(11, 8, 24),
    TrainerProfile(5, 16, 17),
    TrainerProfile(13, 8, 24),
]
ITEMS_PER_STEP = 88 + 80 + 104


def make_factors(slow: float, samplers: int = 24) -> list[float]:
    """Return intervals of which a third is longer, in each model's share."""
    return [slow if number // 3 % 3 == 2 else 1 for number in range(samplers)]


def play(factors: Sequence[float], **fields: object) -> list[LoadModel]:
    """Return models of 32 s, each with another seed."""
    values = {'slots': 8, 'shared': False, 'known_intervals': False} | fields
    models = [
        LoadModel(PROFILES, factors=factors, seed=seed, **values)  # type: ignore[arg-type]
        for seed in SEEDS
    ]
    for model in models:
        model.run(32)
    return models


def compute_in_time_share(models: Sequence[LoadModel]) -> float:
    """Return the share of the requested groups that was in time."""
    outcomes = [each.outcome for each in models]
    return statistics.mean(each.in_time / each.requested for each in outcomes)


def compute_value(models: Sequence[LoadModel]) -> float:
    """Return the share of the requested value."""
    return statistics.mean(each.outcome.value for each in models)


def test_slow_samplers_unknown_at_the_start_delay_no_step() -> None:
    """A third is 1.3 times slower, and half of the items has no estimate.

    Texts that turned out long were assumed to be nearly done and stayed on slow
    samplers: 0.96 of the groups were in time, and trainers fell behind.
    """
    models = play(make_factors(1.3), estimated_share=0.5)
    assert compute_in_time_share(models) >= 0.985
    assert all(max(each.outcome.lags.values()) == 0 for each in models)


def test_texts_without_any_estimate_are_mostly_in_time() -> None:
    """Each of them starts anywhere, and moves once it turns out to be long."""
    models = play(make_factors(1.3), estimated_share=0)
    assert compute_in_time_share(models) >= 0.975


def test_samplers_far_slower_are_left_early() -> None:
    """A third has 2.4 times the interval of the others."""
    models = play(make_factors(2.4), estimated_share=0.5)
    assert compute_in_time_share(models) >= 0.985


def test_estimates_ten_times_off_cost_little() -> None:
    """Half of the estimates is ten times too long; half of the items has one.

    Used as they are, they start short texts first and keep long ones waiting.
    """
    models = play(
        make_factors(1.3), estimated_share=0.5, estimate_errors=(1, 10)
    )
    assert compute_in_time_share(models) >= 0.95


def test_few_texts_move() -> None:
    """A move costs a connection; among equal samplers it gains nothing."""
    models = play([1.0] * 24, estimated_share=0.5)
    assert not any(each.moves for each in models)
    models = play(make_factors(1.3), estimated_share=0.5)
    steps = 32 / 4
    assert max(each.moves for each in models) < 0.05 * steps * ITEMS_PER_STEP


def test_full_memory_preempts_fewer_texts() -> None:
    """Engines hold 200 events, and their eight slots could need thousands.

    An engine that is full preempts its newest texts, which then make no
    progress. Their memory is reserved, so more of the steps are in time.
    """
    tight = EngineProfile(12_000, 12_000, prompt=500)
    unaware = EngineProfile(12_000, 0, prompt=500)
    aware_models = play(make_factors(1.3), estimated_share=0.5, engine=tight)
    models = play(make_factors(1.3), estimated_share=0.5, engine=unaware)
    preemptions = sum(each.engines.preemptions for each in aware_models)
    assert preemptions < 0.75 * sum(each.engines.preemptions for each in models)
    value = compute_value(aware_models)
    assert value >= compute_value(models)


def test_memory_that_is_large_enough_costs_nothing() -> None:
    """Engines hold 487 events, as those of the large deployment do."""
    engine = EngineProfile(29_200, 29_200, prompt=500)
    models = play(make_factors(1.3), estimated_share=0.5, engine=engine)
    assert compute_in_time_share(models) >= 0.985


def test_a_memory_limit_half_too_small_costs_little() -> None:
    """The engines hold twice what the configuration says."""
    engine = EngineProfile(29_200, 14_600, prompt=500)
    models = play(make_factors(1.3), estimated_share=0.5, engine=engine)
    assert compute_value(models) >= 0.97


def test_estimates_ten_times_too_long_leave_no_memory_unused() -> None:
    """All of them are; engines have memory for 200 events."""
    engine = EngineProfile(12_000, 12_000, prompt=500)
    models = play(
        make_factors(1.3),
        estimated_share=0.5,
        estimate_errors=(10,),
        engine=engine,
    )
    assert compute_value(models) >= 0.6
