"""Measure the processor time of a decision and how it scales."""

import math
import time
from collections.abc import Callable
from typing import Any, Final

import click
import msgspec
import numpy as np

from guavagate.decisions import (
    Pool,
    PoolSettings,
    PoolView,
    SamplerInfo,
    Work,
    choose_pool,
)
from guavagate.models import CallerId, RequestId, SamplerId, TeamId

# Largest number of samplers of one deployment in one pool.
MAX_POOL_SAMPLERS: Final = 16
_SLOTS_PER_SAMPLER: Final = 8
_ROUNDS: Final = 2_000
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_SAMPLER_COUNTS: Final = (6, 16, 46, 182, 730)
_QUEUE_LENGTHS: Final = (0, 100, 1_000, 10_000)


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Microseconds for each part of a decision, as medians of all rounds."""

    samplers: int
    queued: int
    pool_us: float
    offer_us: float
    place_us: float
    finish_us: float

    @property
    def choice_us(self) -> float:
        """Return the total for choosing a pool, admission and placement."""
        return self.pool_us + self.offer_us + self.place_us


@click.command()
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def cost(as_json: bool) -> None:
    """Measure the processor time of a decision by samplers and queue length."""
    costs = [
        measure_cost(samplers, queued)
        for samplers in _SAMPLER_COUNTS
        for queued in _QUEUE_LENGTHS
    ]
    if as_json:
        click.echo(msgspec.json.encode(costs).decode())
        return
    click.echo('| samplers | queued | pool | offer | place | choice | finish |')
    click.echo('| --- | --- | --- | --- | --- | --- | --- |')
    for item in costs:
        click.echo(
            f'| {item.samplers} | {item.queued} | {item.pool_us:.1f} '
            f'| {item.offer_us:.1f} | {item.place_us:.1f} '
            f'| {item.choice_us:.1f} | {item.finish_us:.1f} |'
        )
    click.echo(f'Exponent by queued: {fit_exponent(costs):.3f}')


def measure_cost(samplers: int, queued: int) -> Cost:
    """Measure a queue owner with all slots in use and this many queued."""
    pools = [
        PoolView(
            id=f'pool-{index}',
            slots=MAX_POOL_SAMPLERS * _SLOTS_PER_SAMPLER,
            load=0.5,
        )
        for index in range(math.ceil(samplers / MAX_POOL_SAMPLERS))
    ]
    count = min(samplers, MAX_POOL_SAMPLERS)
    infos = [
        SamplerInfo(id=SamplerId(f'sampler-{index}'), slots=_SLOTS_PER_SAMPLER)
        for index in range(count)
    ]
    pool = Pool(PoolSettings(max_queued=10 * max(_QUEUE_LENGTHS)), infos, 0)
    for index in range(queued + count * _SLOTS_PER_SAMPLER):
        pool.offer(_make_work(f'queued-{index}', index), 0)
    running = [(item.work.id, item.sampler) for item in pool.place(0)]
    elapsed = np.zeros((4, _ROUNDS))
    for index in range(_ROUNDS):
        now = 1 + index * 0.01
        work = _make_work(f'new-{index}', index)
        finished_id, sampler = (
            running.pop(0) if running else ('', SamplerId(''))
        )
        _measure_call(elapsed[0], index, choose_pool, work, pools, now)
        _measure_call(elapsed[1], index, pool.offer, work, now)
        _measure_call(
            elapsed[2], index, _finish, pool, finished_id, sampler, now
        )
        placed = _measure_call(elapsed[3], index, pool.place, now)
        running += [(item.work.id, item.sampler) for item in placed]
    medians = np.median(elapsed, axis=1) * _MICROSECONDS_PER_SECOND
    pool_us, offer_us, finish_us, place_us = medians
    return Cost(
        samplers=samplers,
        queued=queued,
        pool_us=float(pool_us),
        offer_us=float(offer_us),
        place_us=float(place_us),
        finish_us=float(finish_us),
    )


def fit_exponent(costs: list[Cost]) -> float:
    """Fit the exponent by which a decision's time grows with the queue."""
    points = [item for item in costs if item.queued]
    lengths = np.log([item.queued for item in points])
    times = np.log([item.choice_us for item in points])
    return float(np.polyfit(lengths, times, 1)[0])


def _measure_call(
    elapsed: np.ndarray, index: int, call: Callable[..., Any], *args: Any
) -> Any:
    started_at = time.perf_counter()
    result = call(*args)
    elapsed[index] = time.perf_counter() - started_at
    return result


def _finish(
    pool: Pool, finished_id: str, sampler: SamplerId, now: float
) -> None:
    pool.finish(
        RequestId(finished_id), sampler, now, tokens=100, cached_tokens=0
    )


def _make_work(name: str, index: int) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId(f'team-{index % 4}'),
        caller=CallerId(f'caller-{index % 97}'),
        deadline=3_600,
        prompt_tokens=1_000,
        prefix_keys=(index % 40, index % 40 + 100, index + 1_000),
    )
