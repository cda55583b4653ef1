"""Defines the load model's trainers, slowdowns, planners and outcomes."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

from guavagate.jobs._models import GroupId, JobItem
from guavagate.jobs._work import JobWork
from guavagate.jobs.scheduling._forecast import GroupPlan, forecast
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._schedule import SamplerSlots
from guavagate.jobs.scheduling._slots import sum_slots_by_model

EVENT_SECONDS: Final = 0.04
# The share by which a full batch slows each event.
FULL_BATCH_SLOWDOWN: Final = 0.08
OBJECTIVE_SECONDS: Final = 7.5
# A group counts as in time until a little after the objective, and has no value
# past the trainer's deadline.
IN_TIME_SECONDS: Final = 8.2
DEADLINE_SECONDS: Final = 12.0
IN_TIME_VALUE: Final = 4.0
LATE_VALUE: Final = 1.5
LONG_SHARE: Final = 0.1
LONG_RATIO: Final = 5
# The spread of estimates around the true length (sigma of a lognormal).
ESTIMATE_SPREAD: Final = 0.5
TOKENS_PER_EVENT: Final = 60

Planner = Callable[
    [Sequence[JobWork], Sequence[SamplerSlots], LengthEstimator, float],
    list[GroupPlan],
]


def plan_forecast(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    lengths: LengthEstimator,
    now: float,
) -> list[GroupPlan]:
    """Plan as the job owner does."""
    slots = sum_slots_by_model(samplers)
    return forecast(works, slots, EVENT_SECONDS, lengths, now).groups


def plan_by_due(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    lengths: LengthEstimator,
    now: float,
) -> list[GroupPlan]:
    """Plan by due times alone."""
    return forecast(works, {}, 0, lengths, now).groups


@dataclasses.dataclass(frozen=True)
class TrainerProfile:
    """The size of one trainer's steps; times in seconds."""

    groups: int = 4
    size: int = 16
    mean_events: float = 20
    period: float = 4
    training: float = 0.5


@dataclasses.dataclass
class Slowdown:
    """A period in which a sampler is slower; with factor 0 it stops."""

    sampler: int
    since: float
    until: float
    factor: float


@dataclasses.dataclass
class Step:
    """An open step of a trainer."""

    number: int
    requested_at: float
    work: JobWork
    completed_at: dict[GroupId, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Trainer:
    """One trainer and the results of its steps."""

    name: str
    profile: TrainerProfile
    steps: list[Step] = dataclasses.field(default_factory=list)
    trained_at: dict[int, float] = dataclasses.field(default_factory=dict)
    unfinished: list[list[JobItem]] = dataclasses.field(default_factory=list)
    next_step: int = 0
    in_time: int = 0
    late: int = 0
    requested_steps: int = 0
    last_late_at: float = 0


@dataclasses.dataclass
class Outcome:
    """The results of all trainers; groups are counted.

    `shares` is each trainer's achieved share of the value that it requested,
    and `lags` the seconds by which its steps are late on their schedule.
    """

    shares: dict[str, float]
    in_time: int
    late: int
    requested: int
    lags: dict[str, float]

    @property
    def value(self) -> float:
        """Return the mean achieved share of the requested value."""
        return sum(self.shares.values()) / len(self.shares)
