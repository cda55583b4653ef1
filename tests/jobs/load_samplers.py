"""Simulates the samplers of the load model: speeds, slots and measurement."""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from guavagate.jobs.scheduling._memory import EngineMemory
from guavagate.jobs.scheduling._schedule import SamplerSlots
from guavagate.models import UpstreamId, WeightVersion
from tests.jobs.load_parts import (
    EVENT_SECONDS,
    FULL_BATCH_SLOWDOWN,
    Slowdown,
)

# An interval is known this long after a stream's first event.
MEASURING_SECONDS: Final = 0.4
# The standard deviation of a measured interval.
MEASURING_NOISE: Final = 0.03

# An idle connection is not used after this time.
IDLE_SECONDS: Final = 9.0


class SimulatedSamplers:
    """Samplers with factors of the usual event interval.

    Parameters
    ----------
    known
        Whether the factors are known from the start and without noise. If not,
        each is measured while a text runs there.
    """

    def __init__(
        self,
        factors: Sequence[float],
        slots: int,
        slowdowns: Sequence[Slowdown],
        models: Sequence[frozenset[str]],
        rng: random.Random,
        *,
        known: bool = True,
    ) -> None:
        self.in_flight = [0] * len(factors)
        self.connections = 0
        # When each idle connection became idle, by sampler.
        self._idle: list[list[float]] = [[] for _ in factors]
        self._factors = factors
        self._slots = slots
        self._slowdowns = slowdowns
        self._models = models
        self._random = rng
        self._known = known
        self._streamed = [float(0)] * len(factors)
        self._measured: dict[int, float] = {}

    def start(self, sampler: int, now: float) -> None:
        """Start a text, on an idle connection if there is one."""
        self.in_flight[sampler] += 1
        if self.count_idle(sampler, now):
            self._idle[sampler].pop()
        else:
            self.connections += 1

    def release(self, sampler: int, now: float, *, cut: bool) -> None:
        """End a text; one that is cut off takes its connection along."""
        self.in_flight[sampler] -= 1
        if not cut:
            self._idle[sampler].append(now)

    def count_idle(self, sampler: int, now: float) -> int:
        """Return the idle connections to a sampler."""
        since = now - IDLE_SECONDS
        self._idle[sampler] = [at for at in self._idle[sampler] if at > since]
        return len(self._idle[sampler])

    def compute_interval(self, sampler: int, now: float) -> float:
        """Return the seconds per event; 0 if a sampler has stopped."""
        fill = self.in_flight[sampler] / self._slots
        return (
            EVENT_SECONDS
            * self._compute_factor(sampler, now)
            * (1 + FULL_BATCH_SLOWDOWN * fill)
        )

    def measure(self, now: float, seconds: float) -> None:
        """Measure the intervals of samplers on which texts run."""
        for sampler, texts in enumerate(self.in_flight):
            if not texts:
                continue
            before = self._streamed[sampler]
            self._streamed[sampler] += seconds
            batches = [
                int(each / MEASURING_SECONDS)
                for each in (before, self._streamed[sampler])
            ]
            if batches[0] < batches[1]:
                noise = self._random.gauss(1, MEASURING_NOISE)
                interval = self.compute_interval(sampler, now) * noise
                known = self._measured.get(sampler, interval)
                self._measured[sampler] = known + 0.3 * (interval - known)

    def list_slots(
        self,
        now: float,
        reserved: Mapping[UpstreamId, int],
        get_memory: Callable[[UpstreamId], EngineMemory],
    ) -> list[SamplerSlots]:
        """Return the samplers as the dispatcher sees them."""
        numbers = range(len(self._factors))
        if self._known:
            intervals = {
                each: self._compute_factor(each, now) for each in numbers
            }
        else:
            intervals = self._measured
        ordered = sorted(intervals.values())
        median = ordered[len(ordered) // 2] if ordered else 1
        median = median or 1
        listed = []
        for number in numbers:
            sampler = UpstreamId(str(number))
            models = self._models[number]
            free = self._slots - self.in_flight[number]
            listed.append(
                SamplerSlots(
                    id=sampler,
                    versions=dict.fromkeys(models, WeightVersion(0)),
                    free=max(free - reserved.get(sampler, 0), 0),
                    slots=self._slots,
                    relative_interval=(intervals.get(number) or median)
                    / median,
                    measured=number in intervals,
                    idle_connections=self.count_idle(number, now),
                    models=models,
                    memory=get_memory(sampler),
                )
            )
        return listed

    def _compute_factor(self, sampler: int, now: float) -> float:
        factor = self._factors[sampler]
        for slowdown in self._slowdowns:
            if slowdown.sampler == sampler and (
                slowdown.since <= now < slowdown.until
            ):
                factor *= slowdown.factor
        return factor
