"""Measures how well an assignment of samplers fits the models' work.

Load pattern: a third of a service's samplers takes 1.3 to 2.4 times as long for
an event as the others. Shares by count give some models mostly slow samplers;
their longest texts then take longer than a step has. Capacity is therefore
counted as slots at the median event interval, once for all samplers of a model
and once for the fast ones alone, because long texts need these.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

from guavagate.models import UpstreamId, WeightVersion

# The ratio between two speed classes. Those of equal samplers differ by less
# than two classes: a fuller batch alone explains as much.
SPEED_RATIO: Final = 1.12
# A sampler's speed class changes only if its interval is this many classes off,
# so that noise in measured intervals moves no sampler.
CLASS_TOLERANCE: Final = 0.8
# The fastest samplers, by their share of all, to which others are compared.
_FAST_QUANTILE: Final = 0.25
# A trainer that is behind gets capacity to catch up within this many steps, and
# at most this much more: the other trainers' steps must stay in time.
CATCH_UP_STEPS: Final = 4.0
MAX_CATCH_UP: Final = 0.5


class SamplerCapacity(msgspec.Struct, frozen=True, kw_only=True):
    """A sampler's slots, its loaded versions, and its event interval.

    `relative_interval` is relative to the median; 0 while unknown.
    """

    slots: int
    versions: Mapping[str, WeightVersion] = {}
    relative_interval: float = 0


class ModelWork(msgspec.Struct, frozen=True, kw_only=True):
    """The work of a model; 0 stands for unknown.

    `workload` is the work in a job by the trainer's estimates, `events` the
    expected events of a job by the texts that completed. `steps_behind` is how
    far the trainer is behind its schedule, in steps.
    """

    workload: float = 0
    events: float = 0
    steps_behind: float = 0


# Slots, and the power of `SPEED_RATIO` by which a sampler is slower than the
# median.
SpeedClass = tuple[int, int]
Fleet = Mapping[UpstreamId, SamplerCapacity]
Speeds = dict[UpstreamId, int]


def classify(sampler: SamplerCapacity) -> SpeedClass:
    """Return a sampler's speed class; an unknown speed is the median."""
    return max(sampler.slots, 1), round(_compute_power(sampler))


def update_speeds(fleet: Fleet, speeds: Speeds) -> Fleet:
    """Update the speed classes; return the fleet with intervals of these."""
    for name in speeds.keys() - fleet.keys():
        speeds.pop(name)
    steady = {}
    for name, sampler in fleet.items():
        power = _compute_power(sampler)
        if abs(power - speeds.get(name, 0)) > CLASS_TOLERANCE:
            speeds[name] = round(power)
        interval = SPEED_RATIO ** speeds.get(name, 0)
        steady[name] = msgspec.structs.replace(
            sampler, relative_interval=interval
        )
    return steady


def _compute_power(sampler: SamplerCapacity) -> float:
    if sampler.relative_interval <= 0:
        return 0
    return math.log(sampler.relative_interval, SPEED_RATIO)


def compute_capacity(kind: SpeedClass) -> float:
    """Return a sampler's slots, counted at the median event interval."""
    slots, power = kind
    return float(slots / SPEED_RATIO**power)


def weigh_models(works: Mapping[str, ModelWork]) -> dict[str, float]:
    """Return each model's work, increased while its trainer is behind.

    Only differences between the trainers count: there is nothing to shift if
    all are equally late.
    """
    by_events = all(each.events for each in works.values())
    least = min((each.steps_behind for each in works.values()), default=0)
    weights = {}
    for model, work in works.items():
        behind = (work.steps_behind - least) / CATCH_UP_STEPS
        amount = work.events if by_events else work.workload
        weights[model] = amount * (1 + min(behind, MAX_CATCH_UP))
    return weights


class CapacityScore:
    """Computes the quotients of work and capacity of assignments.

    Parameters
    ----------
    weights
        The work of each model.
    kinds
        The speed classes of all samplers.
    """

    def __init__(
        self, weights: Mapping[str, float], kinds: Iterable[SpeedClass]
    ) -> None:
        self._weights = weights
        ordered = sorted(kinds, key=_get_power)
        fastest = ordered[int(len(ordered) * _FAST_QUANTILE)]
        self._fast_power = _get_power(fastest) + 1
        self._capacities = {kind: compute_capacity(kind) for kind in ordered}
        total = sum(self._capacities[kind] for kind in ordered)
        fast = sum(
            self._capacities[kind] for kind in ordered if self._is_fast(kind)
        )
        self._fast_share = fast / total

    def compute_quotient(
        self, model: str, counts: Mapping[SpeedClass, int]
    ) -> float:
        """Return a model's work per capacity, or per fast capacity if higher.

        The fast capacity is scaled so that a model with its share of the fast
        samplers has the same quotient by both.
        """
        total = float(0)
        fast = float(0)
        for kind, count in counts.items():
            capacity = self._capacities[kind] * count
            total += capacity
            fast += capacity if self._is_fast(kind) else 0
        least = min(total, fast / self._fast_share)
        return self._weights[model] / least if least else math.inf

    def compute_quotients(
        self, counts: Mapping[str, Counter[SpeedClass]]
    ) -> dict[str, float]:
        """Return the quotient of each model."""
        return {
            model: self.compute_quotient(model, own)
            for model, own in counts.items()
        }

    def _is_fast(self, kind: SpeedClass) -> bool:
        return _get_power(kind) <= self._fast_power


def _get_power(kind: SpeedClass) -> int:
    return kind[1]
