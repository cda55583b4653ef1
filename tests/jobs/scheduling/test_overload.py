"""Overload: trainers request more than the samplers can generate.

Each test names its load. The best possible share is the samplers' time divided
by the trainers' work; the goal under overload is half of that in time.
"""

import statistics

import pytest

from tests.jobs.load_model import LoadModel
from tests.jobs.load_parts import (
    Outcome,
    Planner,
    Slowdown,
    TrainerProfile,
    plan_by_due,
    plan_forecast,
)

SEEDS = range(1, 5)
LARGE = TrainerProfile(4, 16, 24)
SMALL = TrainerProfile(8, 4, 24)


def _play(
    profiles: list[TrainerProfile], planner: Planner, **fields: object
) -> list[Outcome]:
    return [
        LoadModel(profiles, seed=seed, planner=planner, **fields).run()  # type: ignore[arg-type]
        for seed in SEEDS
    ]


def _compute_in_time_share(outcomes: list[Outcome]) -> float:
    return statistics.mean(each.in_time / each.requested for each in outcomes)


def _compute_value(outcomes: list[Outcome]) -> float:
    return statistics.mean(each.value for each in outcomes)


@pytest.mark.parametrize(('samplers', 'load'), [(5, 1.6), (7, 1.1)])
def test_overload_leaves_a_share_in_time(samplers: int, load: float) -> None:
    """Three trainers request 1.6 and 1.1 times what the samplers generate.

    Ordered by due times alone, each step completes just after it was due. The
    forecast has to get more in time, without starving one of the trainers.
    """
    profiles = [LARGE, LARGE, SMALL]
    baseline = _play(profiles, plan_by_due, samplers=samplers)
    outcomes = _play(profiles, plan_forecast, samplers=samplers)
    assert _compute_in_time_share(outcomes) >= 0.5 / load
    assert _compute_in_time_share(outcomes) > _compute_in_time_share(baseline)
    assert _compute_value(outcomes) > _compute_value(baseline)
    for outcome in outcomes:
        assert min(outcome.shares.values()) >= outcome.value / 2


def test_forecast_keeps_the_value_of_a_load_that_fits() -> None:
    """Three trainers request four fifths of what the samplers generate."""
    profiles = [LARGE, LARGE, SMALL]
    baseline = _play(profiles, plan_by_due, samplers=10)
    outcomes = _play(profiles, plan_forecast, samplers=10)
    assert _compute_value(outcomes) >= _compute_value(baseline) - 0.02
    assert _compute_value(outcomes) >= 0.85


def test_one_slow_sampler_of_five_costs_little_value() -> None:
    """For ten seconds one is three times slower, at a load that fits."""
    slowdowns = [Slowdown(0, 10, 20, 3)]
    outcomes = _play(
        [SMALL, SMALL], plan_forecast, samplers=5, slowdowns=slowdowns
    )
    baseline = _play(
        [SMALL, SMALL], plan_by_due, samplers=5, slowdowns=slowdowns
    )
    assert _compute_value(outcomes) >= max(
        _compute_value(baseline) - 0.02, 0.75
    )


def test_a_large_trainer_does_not_delay_small_ones() -> None:
    """It requests three times as much, and only its own steps are late.

    Each trainer's model has three of the nine samplers.
    """
    large = TrainerProfile(8, 12, 24)
    small = TrainerProfile(4, 8, 24)
    outcomes = _play(
        [large, small, small], plan_forecast, samplers=9, shared=False
    )
    for outcome in outcomes:
        assert outcome.shares['m1'] >= 0.8
        assert outcome.shares['m2'] >= 0.8


def test_backlog_clears_within_one_step_after_a_slowdown() -> None:
    """All samplers are four times slower for ten seconds, then recover.

    Steps requested later than one deadline after that are in time again.
    """
    slowdowns = [Slowdown(number, 5, 15, 4) for number in range(8)]
    model = LoadModel([SMALL, SMALL], samplers=8, slowdowns=slowdowns)
    outcome = model.run()
    assert model.find_last_late() < 15 + 12
    assert outcome.value >= 0.5
