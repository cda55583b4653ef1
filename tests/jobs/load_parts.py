"""What the load model plays: trainers' shapes, troubles, plans, outcomes."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

from guavagate.jobs._forecast import GroupPlan, forecast
from guavagate.jobs._lengths import LengthEstimator
from guavagate.jobs._models import GroupId, JobItem
from guavagate.jobs._schedule import SamplerSlots
from guavagate.jobs._slots import sum_slots_by_model
from guavagate.jobs._work import JobWork

EVENT_SECONDS: Final = 0.04
# What a full batch makes each event slower by.
FULL_SLOWER: Final = 0.08
OBJECTIVE: Final = 7.5
# A group counts as in time until a little later, and is of no use past the
# trainer's deadline.
IN_TIME: Final = 8.2
DEADLINE: Final = 12.0
WORTH: Final = 4.0
LATE_WORTH: Final = 1.5
LONG_SHARE: Final = 0.1
LONG_RATIO: Final = 5
# An estimate is right at the median and off by this much, as a logarithm.
HINT_SPREAD: Final = 0.5
# Tokens of an estimate for each event.
HINT_TOKENS: Final = 60

Plan = Callable[
    [Sequence[JobWork], Sequence[SamplerSlots], LengthEstimator, float],
    list[GroupPlan],
]


def plan_forecast(
    works: Sequence[JobWork],
    samplers: Sequence[SamplerSlots],
    lengths: LengthEstimator,
    now: float,
) -> list[GroupPlan]:
    """Plan as the owner does."""
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
class Shape:
    """What one trainer asks for with each step; times in seconds."""

    groups: int = 4
    size: int = 16
    mean_events: float = 20
    period: float = 4
    training: float = 0.5


@dataclasses.dataclass
class Trouble:
    """A sampler that makes events slower for a while; 0: none at all."""

    sampler: int
    since: float
    until: float
    ratio: float


@dataclasses.dataclass
class Step:
    """An open step of a trainer."""

    number: int
    asked_at: float
    work: JobWork
    whole_at: dict[GroupId, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Trainer:
    """One trainer, and what its steps came to."""

    name: str
    shape: Shape
    steps: list[Step] = dataclasses.field(default_factory=list)
    trained_at: dict[int, float] = dataclasses.field(default_factory=dict)
    left: list[list[JobItem]] = dataclasses.field(default_factory=list)
    next_step: int = 0
    in_time: int = 0
    late: int = 0
    asked: int = 0
    last_late: float = 0


@dataclasses.dataclass
class Outcome:
    """What trainers got; `shares` is each one's part of what it is owed."""

    shares: dict[str, float]
    in_time: int
    late: int
    owed: int
    behind: dict[str, float]

    @property
    def worth(self) -> float:
        """Return the mean part of what was owed."""
        return sum(self.shares.values()) / len(self.shares)
