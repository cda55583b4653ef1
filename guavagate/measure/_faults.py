"""Fault patterns: slow, flapping, failing and leaving samplers."""

from collections.abc import Callable
from typing import Final

import numpy as np
from msgspec import structs

from guavagate.measure._engine import EngineModel
from guavagate.measure._policies import Policy
from guavagate.measure._record import Outcome, Record, Request, mean
from guavagate.measure._scenario import (
    DRAIN_SECONDS,
    SAMPLERS,
    SLOTS,
    Figures,
    count_outcome,
    declare_samplers,
    run_requests,
    select_arrivals,
    summarise,
)
from guavagate.measure._simulation import Simulation
from guavagate.measure._workload import (
    Rng,
    Stream,
    compute_capacity,
    draw_requests,
)

_CALLERS: Final = 10
_MEAN_TOKENS: Final = 100
_FAULT_START_SECONDS: Final = 30.0
_FAULT_END_SECONDS: Final = 60.0
_LOAD_END_SECONDS: Final = 90.0
_SLOWDOWN_FACTOR: Final = 10.0
_FLAP_INTERVAL_SECONDS: Final = 3.0
# Callers have recovered after this many consecutive one-second windows with
# normal results.
_RECOVERY_WINDOWS: Final = 3
_RECOVERED_IN_TIME_SHARE: Final = 0.95
_RECOVERED_LATENCY_FACTOR: Final = 1.25


def measure_slow_upstream(policy: Policy, seed: int) -> Figures:
    """One of six samplers becomes ten times as slow after 30 s, for good."""
    requests = _draw_requests(
        np.random.default_rng(seed), 0.6, timeout_seconds=30
    )
    healthy = run_requests(
        policy,
        requests,
        _LOAD_END_SECONDS + DRAIN_SECONDS,
        seed=seed,
        infos=declare_samplers(SAMPLERS - 1),
    )

    def prepare(simulation: Simulation) -> None:
        engine = _list_engines(simulation)[0]
        simulation.call_at(
            _FAULT_START_SECONDS,
            simulation.set_slowdown,
            engine,
            _SLOWDOWN_FACTOR,
        )

    simulation = run_requests(
        policy,
        requests,
        _LOAD_END_SECONDS + DRAIN_SECONDS,
        seed=seed,
        prepare=prepare,
    )
    figures = summarise(
        select_arrivals(simulation, _FAULT_START_SECONDS, _LOAD_END_SECONDS)
    )
    healthy_p99 = summarise(
        select_arrivals(healthy, _FAULT_START_SECONDS, _LOAD_END_SECONDS)
    )['p99_s']
    figures['p99_five_healthy_s'] = healthy_p99
    figures['p99_of_five'] = figures['p99_s'] / healthy_p99
    figures['extra_work'] = _compute_extra_work(simulation)
    return figures


def measure_flapping(policy: Policy, seed: int) -> Figures:
    """One of six samplers fails and serves in turn, three seconds each."""

    def prepare(simulation: Simulation) -> None:
        engine = _list_engines(simulation)[0]
        for turn in range(
            int(
                (_FAULT_END_SECONDS - _FAULT_START_SECONDS)
                / _FLAP_INTERVAL_SECONDS
            )
        ):
            when = _FAULT_START_SECONDS + turn * _FLAP_INTERVAL_SECONDS
            simulation.call_at(when, _set_failing, engine, turn % 2 == 0)
        simulation.call_at(_FAULT_END_SECONDS, _set_failing, engine, False)

    requests = _draw_requests(np.random.default_rng(seed), 0.6)
    simulation = run_requests(
        policy,
        requests,
        _LOAD_END_SECONDS + DRAIN_SECONDS,
        seed=seed,
        prepare=prepare,
    )
    figures = summarise(
        select_arrivals(simulation, _FAULT_START_SECONDS, _FAULT_END_SECONDS)
    )
    figures['extra_work'] = _compute_extra_work(simulation)
    return figures


def measure_retry_storm(policy: Policy, seed: int) -> Figures:
    """Three of six samplers fail everything for 30 s at 70 % load."""

    def prepare(simulation: Simulation) -> None:
        for engine in _list_engines(simulation)[: SAMPLERS // 2]:
            simulation.call_at(_FAULT_START_SECONDS, _set_failing, engine, True)
            simulation.call_at(_FAULT_END_SECONDS, _set_failing, engine, False)

    requests = _draw_requests(np.random.default_rng(seed), 0.7)
    simulation = run_requests(
        policy,
        requests,
        _LOAD_END_SECONDS + DRAIN_SECONDS,
        seed=seed,
        prepare=prepare,
    )
    during = select_arrivals(
        simulation, _FAULT_START_SECONDS, _FAULT_END_SECONDS
    )
    figures = summarise(during)
    figures['extra_work'] = _compute_extra_work(simulation, during)
    figures['normal_after_s'] = _find_recovery(simulation)
    return figures


def measure_sampler_leaves(policy: Policy, seed: int) -> Figures:
    """One of six samplers leaves after 30 s and is gone after 60 s."""
    running_counts: list[int] = []

    def prepare(simulation: Simulation) -> None:
        simulation.call_at(
            _FAULT_START_SECONDS, _mark_leaving, simulation, running_counts
        )

    requests = _draw_requests(
        np.random.default_rng(seed), 0.6, prompt_tokens=2000
    )
    simulation = run_requests(
        policy,
        requests,
        _LOAD_END_SECONDS + DRAIN_SECONDS,
        seed=seed,
        prepare=prepare,
    )
    figures = summarise(
        select_arrivals(simulation, _FAULT_START_SECONDS, _LOAD_END_SECONDS)
    )
    figures['running_when_it_left'] = running_counts[0]
    figures['cut'] = sum(
        record.started is not None and record.outcome is Outcome.REFUSED
        for record in simulation.records.values()
    )
    before = select_arrivals(
        simulation, _FAULT_START_SECONDS - 20, _FAULT_START_SECONDS
    )
    after = select_arrivals(
        simulation, _FAULT_START_SECONDS, _FAULT_START_SECONDS + 20
    )
    figures['hit_share_before'] = compute_hit_share(before)
    figures['hit_share_after'] = compute_hit_share(after)
    return figures


def compute_hit_share(records: list[Record]) -> float:
    """Return the cached share of all prompt tokens."""
    prompts = sum(record.prompt for record in records)
    return sum(record.cached for record in records) / max(prompts, 1)


def _draw_requests(
    rng: Rng, load: float, timeout_seconds: float = 10, prompt_tokens: int = 0
) -> list[Request]:
    rate = load * compute_capacity(
        _MEAN_TOKENS, SAMPLERS, SLOTS, prompt_tokens / 4
    )
    draw_prefixes: Callable[[int], np.ndarray] | None = None
    if prompt_tokens:

        def draw_prefixes(size: int) -> np.ndarray:
            return rng.integers(0, 48, size)

    requests = []
    for caller in range(_CALLERS):
        stream = Stream(
            caller=f'caller-{caller}',
            rate=rate / _CALLERS,
            timeout_seconds=timeout_seconds,
            prompt_tokens=prompt_tokens,
        )
        requests += draw_requests(
            rng, stream, 0, _LOAD_END_SECONDS, draw_prefixes
        )
    return requests


def _list_engines(simulation: Simulation) -> list[EngineModel]:
    return list(simulation.engines.values())


def _set_failing(engine: EngineModel, failing: bool) -> None:
    engine.failing = failing


def _mark_leaving(simulation: Simulation, running_counts: list[int]) -> None:
    engine = _list_engines(simulation)[0]
    running_counts.append(len(engine))
    infos = [
        structs.replace(other.info, leaving=other is engine)
        for other in _list_engines(simulation)
    ]
    simulation.pool.set_samplers(infos, simulation.now)


def _compute_extra_work(
    simulation: Simulation, records: list[Record] | None = None
) -> float:
    """Return the number of further attempts per attempted request."""
    if records is None:
        records = list(simulation.records.values())
    attempted = [record for record in records if record.attempts]
    extra = sum(record.attempts - 1 for record in attempted)
    return extra / max(len(attempted), 1)


def _find_recovery(simulation: Simulation) -> float:
    """Return the seconds from the end of the fault to normal results."""
    before = select_arrivals(
        simulation, _FAULT_START_SECONDS - 20, _FAULT_START_SECONDS
    )
    usual_latency = mean([record.latency for record in before])
    normal_windows = 0
    for second in range(int(_LOAD_END_SECONDS - _FAULT_END_SECONDS)):
        start = _FAULT_END_SECONDS + second
        if _is_normal(
            select_arrivals(simulation, start, start + 1), usual_latency
        ):
            normal_windows += 1
        else:
            normal_windows = 0
        if normal_windows == _RECOVERY_WINDOWS:
            return float(second + 1 - _RECOVERY_WINDOWS)
    return _LOAD_END_SECONDS - _FAULT_END_SECONDS


def _is_normal(window: list[Record], usual_latency: float) -> bool:
    if not window:
        return True
    share = count_outcome(window, Outcome.IN_TIME) / len(window)
    latency = mean([record.latency for record in window])
    return (
        share >= _RECOVERED_IN_TIME_SHARE
        and latency <= _RECOVERED_LATENCY_FACTOR * usual_latency
    )
