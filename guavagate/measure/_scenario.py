"""Helpers of all patterns: declare samplers, run requests, sum up results."""

from collections.abc import Callable, Iterable
from typing import Final

import numpy as np

from guavagate.decisions import SamplerInfo
from guavagate.measure._engine import EngineModel
from guavagate.measure._policies import Policy
from guavagate.measure._record import (
    Outcome,
    Record,
    Request,
    mean,
    percentile,
)
from guavagate.measure._simulation import Simulation
from guavagate.models import SamplerId, ZoneId

# As coach-models, the example deployment: six samplers in three availability
# zones.
ZONES: Final = (ZoneId('jhb-east'), ZoneId('jhb-west'), ZoneId('pta-north'))
SAMPLERS: Final = 6
SLOTS: Final = 8
# Time after the last arrival for admitted requests to end.
DRAIN_SECONDS: Final = 120.0

Figures = dict[str, float]
Prepare = Callable[[Simulation], None]


def declare_samplers(
    count: int = SAMPLERS, slots: int = SLOTS
) -> list[SamplerInfo]:
    """Declare samplers, spread over the zones."""
    return [
        SamplerInfo(
            id=SamplerId(f'sampler-{index}'),
            zone=ZONES[index % len(ZONES)],
            slots=slots,
        )
        for index in range(count)
    ]


def run_requests(
    policy: Policy,
    requests: Iterable[Request],
    until: float,
    *,
    seed: int,
    prepare: Prepare | None = None,
    infos: list[SamplerInfo] | None = None,
    memory_slots: int = SLOTS,
) -> Simulation:
    """Simulate requests under a policy and return the simulation.

    `prepare` is called before the run, for example to schedule faults.
    """
    infos = infos or declare_samplers()
    engines = [EngineModel(info, memory_slots) for info in infos]
    pool = policy.make_pool(infos)
    simulation = Simulation(pool, engines, np.random.default_rng(seed))
    for request in requests:
        simulation.submit(request)
    if prepare is not None:
        prepare(simulation)
    simulation.run(until)
    return simulation


def summarise(records: list[Record]) -> Figures:
    """Return the figures for callers; times are in seconds."""
    served = [
        record
        for record in records
        if record.outcome in {Outcome.IN_TIME, Outcome.LATE}
    ]
    refused = [
        record for record in records if record.outcome is Outcome.REFUSED
    ]
    latencies = [record.latency for record in served]
    admitted = [record for record in records if record.admitted]
    total = max(len(records), 1)
    in_time = count_outcome(records, Outcome.IN_TIME)
    return {
        'requests': len(records),
        'in_time_share': in_time / total,
        'refused_share': len(refused) / total,
        'late_share': count_outcome(records, Outcome.LATE) / total,
        'admitted_in_time': (
            count_outcome(admitted, Outcome.IN_TIME) / max(len(admitted), 1)
        ),
        'refusal_p99_s': percentile([record.latency for record in refused], 99),
        'p50_s': percentile(latencies, 50),
        'p99_s': percentile(latencies, 99),
        'p999_s': percentile(latencies, 99.9),
        'stretch_mean': mean([record.stretch for record in served]),
        'stretch_p95': percentile([record.stretch for record in served], 95),
    }


def count_outcome(records: Iterable[Record], outcome: Outcome) -> int:
    """Return the number of requests with this outcome."""
    return sum(record.outcome is outcome for record in records)


def select_arrivals(
    simulation: Simulation, start: float, end: float
) -> list[Record]:
    """Return the records of requests that arrived between two times."""
    return [
        record
        for record in simulation.records.values()
        if start <= record.request.at < end
    ]
