"""Patterns of faults: slow, flapping, failing and leaving samplers."""

from collections.abc import Callable
from typing import Final

import numpy as np
from msgspec import structs

from guavagate.measure._engine import EngineModel
from guavagate.measure._policies import Policy
from guavagate.measure._record import Outcome, Record, Request, mean
from guavagate.measure._scenario import (
    DRAIN_S,
    SAMPLERS,
    SLOTS,
    Figures,
    between,
    count,
    declare_samplers,
    run_requests,
    summarise,
)
from guavagate.measure._simulation import Simulation
from guavagate.measure._workload import (
    Rng,
    Stream,
    capacity,
    draw_requests,
)

_CALLERS: Final = 10
_TOKENS: Final = 100
_START_S: Final = 30.0
_END_S: Final = 60.0
_LAST_S: Final = 90.0
_SLOW: Final = 10.0
_FLAP_S: Final = 3.0
# Back to normal: this many windows of a second in a row are as before.
_GOOD_WINDOWS: Final = 3
_GOOD_SHARE: Final = 0.95
_GOOD_LATENCY: Final = 1.25


def measure_slow_upstream(policy: Policy, seed: int) -> Figures:
    """One of six samplers becomes ten times as slow after 30 s, for good."""
    requests = _draw(np.random.default_rng(seed), 0.6, patience=30)
    healthy = run_requests(
        policy,
        requests,
        _LAST_S + DRAIN_S,
        seed=seed,
        infos=declare_samplers(SAMPLERS - 1),
    )

    def prepare(simulation: Simulation) -> None:
        engine = _engines(simulation)[0]
        simulation.at(_START_S, simulation.change, engine, _SLOW)

    simulation = run_requests(
        policy, requests, _LAST_S + DRAIN_S, seed=seed, prepare=prepare
    )
    figures = summarise(between(simulation, _START_S, _LAST_S))
    five = summarise(between(healthy, _START_S, _LAST_S))['p99_s']
    figures['p99_five_healthy_s'] = five
    figures['p99_of_five'] = figures['p99_s'] / five
    figures['extra_work'] = _extra_work(simulation)
    return figures


def measure_flapping(policy: Policy, seed: int) -> Figures:
    """One of six samplers fails and serves in turn, three seconds each."""

    def prepare(simulation: Simulation) -> None:
        engine = _engines(simulation)[0]
        for turn in range(int((_END_S - _START_S) / _FLAP_S)):
            when = _START_S + turn * _FLAP_S
            simulation.at(when, _set_failing, engine, turn % 2 == 0)
        simulation.at(_END_S, _set_failing, engine, False)

    requests = _draw(np.random.default_rng(seed), 0.6)
    simulation = run_requests(
        policy, requests, _LAST_S + DRAIN_S, seed=seed, prepare=prepare
    )
    figures = summarise(between(simulation, _START_S, _END_S))
    figures['extra_work'] = _extra_work(simulation)
    return figures


def measure_retry_storm(policy: Policy, seed: int) -> Figures:
    """Three of six samplers fail everything for 30 s at 70 % load."""

    def prepare(simulation: Simulation) -> None:
        for engine in _engines(simulation)[: SAMPLERS // 2]:
            simulation.at(_START_S, _set_failing, engine, True)
            simulation.at(_END_S, _set_failing, engine, False)

    requests = _draw(np.random.default_rng(seed), 0.7)
    simulation = run_requests(
        policy, requests, _LAST_S + DRAIN_S, seed=seed, prepare=prepare
    )
    during = between(simulation, _START_S, _END_S)
    figures = summarise(during)
    figures['extra_work'] = _extra_work(simulation, during)
    figures['normal_after_s'] = _find_recovery(simulation)
    return figures


def measure_sampler_leaves(policy: Policy, seed: int) -> Figures:
    """One of six samplers leaves after 30 s and is gone after 60 s."""
    left: list[int] = []

    def prepare(simulation: Simulation) -> None:
        simulation.at(_START_S, _leave, simulation, left)

    requests = _draw(np.random.default_rng(seed), 0.6, prompt=2000)
    simulation = run_requests(
        policy, requests, _LAST_S + DRAIN_S, seed=seed, prepare=prepare
    )
    figures = summarise(between(simulation, _START_S, _LAST_S))
    figures['running_when_it_left'] = left[0]
    figures['cut'] = sum(
        record.started is not None and record.outcome is Outcome.REFUSED
        for record in simulation.records.values()
    )
    before = between(simulation, _START_S - 20, _START_S)
    after = between(simulation, _START_S, _START_S + 20)
    figures['hit_share_before'] = hit_share(before)
    figures['hit_share_after'] = hit_share(after)
    return figures


def hit_share(records: list[Record]) -> float:
    """Return the cached share of all prompt tokens read."""
    prompts = sum(record.prompt for record in records)
    return sum(record.cached for record in records) / max(prompts, 1)


def _draw(
    rng: Rng, load: float, patience: float = 10, prompt: int = 0
) -> list[Request]:
    rate = load * capacity(_TOKENS, SAMPLERS, SLOTS, prompt / 4)
    prefixes: Callable[[int], np.ndarray] | None = None
    if prompt:

        def prefixes(size: int) -> np.ndarray:
            return rng.integers(0, 48, size)

    requests = []
    for caller in range(_CALLERS):
        stream = Stream(
            caller=f'caller-{caller}',
            rate=rate / _CALLERS,
            patience=patience,
            prompt=prompt,
        )
        requests += draw_requests(rng, stream, 0, _LAST_S, prefixes)
    return requests


def _engines(simulation: Simulation) -> list[EngineModel]:
    return list(simulation.engines.values())


def _set_failing(engine: EngineModel, failing: bool) -> None:
    engine.failing = failing


def _leave(simulation: Simulation, left: list[int]) -> None:
    engine = _engines(simulation)[0]
    left.append(len(engine))
    infos = [
        structs.replace(other.info, leaving=other is engine)
        for other in _engines(simulation)
    ]
    simulation.pool.set_samplers(infos, simulation.now)


def _extra_work(
    simulation: Simulation, records: list[Record] | None = None
) -> float:
    """Return the attempts beyond each request's first, per first attempt."""
    if records is None:
        records = list(simulation.records.values())
    begun = [record for record in records if record.attempts]
    extra = sum(record.attempts - 1 for record in begun)
    return extra / max(len(begun), 1)


def _find_recovery(simulation: Simulation) -> float:
    """Return the seconds after the fault until callers notice nothing."""
    before = between(simulation, _START_S - 20, _START_S)
    usual = mean([record.latency for record in before])
    good = 0
    for second in range(int(_LAST_S - _END_S)):
        start = _END_S + second
        if _is_normal(between(simulation, start, start + 1), usual):
            good += 1
        else:
            good = 0
        if good == _GOOD_WINDOWS:
            return float(second + 1 - _GOOD_WINDOWS)
    return _LAST_S - _END_S


def _is_normal(window: list[Record], usual: float) -> bool:
    if not window:
        return True
    share = count(window, Outcome.IN_TIME) / len(window)
    latency = mean([record.latency for record in window])
    return share >= _GOOD_SHARE and latency <= _GOOD_LATENCY * usual
