"""What a decision costs, and how that grows."""

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

# Samplers of one deployment in one pool, at most.
POOL_SIZE: Final = 16
_SLOTS: Final = 8
_ROUNDS: Final = 2_000
_MICRO: Final = 1_000_000
_SAMPLERS: Final = (6, 16, 46, 182, 730)
_QUEUED: Final = (0, 100, 1_000, 10_000)


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Microseconds of one choice, each the median of all rounds."""

    samplers: int
    queued: int
    pool_us: float
    offer_us: float
    place_us: float
    finish_us: float

    @property
    def choice_us(self) -> float:
        """Return the whole choice: pool, admission and sampler."""
        return self.pool_us + self.offer_us + self.place_us


@click.command()
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def cost(as_json: bool) -> None:
    """Measure a choice's processor time by samplers and queued requests."""
    costs = [
        measure(samplers, queued)
        for samplers in _SAMPLERS
        for queued in _QUEUED
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


def measure(samplers: int, queued: int) -> Cost:
    """Measure with all slots in use and this much queued at one home."""
    pools = [
        PoolView(id=f'pool-{index}', slots=POOL_SIZE * _SLOTS, load=0.5)
        for index in range(math.ceil(samplers / POOL_SIZE))
    ]
    count = min(samplers, POOL_SIZE)
    infos = [
        SamplerInfo(id=SamplerId(f'sampler-{index}'), slots=_SLOTS)
        for index in range(count)
    ]
    pool = Pool(PoolSettings(max_queued=10 * max(_QUEUED)), infos, 0)
    for index in range(queued + count * _SLOTS):
        pool.offer(_work(f'queued-{index}', index), 0)
    running = [(item.work.id, item.sampler) for item in pool.place(0)]
    spent = np.zeros((4, _ROUNDS))
    for index in range(_ROUNDS):
        now = 1 + index * 0.01
        work = _work(f'new-{index}', index)
        ended, sampler = running.pop(0) if running else ('', SamplerId(''))
        _time(spent[0], index, choose_pool, work, pools, now)
        _time(spent[1], index, pool.offer, work, now)
        _time(spent[2], index, _finish, pool, ended, sampler, now)
        placed = _time(spent[3], index, pool.place, now)
        running += [(item.work.id, item.sampler) for item in placed]
    medians = np.median(spent, axis=1) * _MICRO
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
    """Return the power of the queue's length by which a choice grows."""
    points = [item for item in costs if item.queued]
    lengths = np.log([item.queued for item in points])
    times = np.log([item.choice_us for item in points])
    return float(np.polyfit(lengths, times, 1)[0])


def _time(
    spent: np.ndarray, place: int, call: Callable[..., Any], *args: Any
) -> Any:
    begun = time.perf_counter()
    answer = call(*args)
    spent[place] = time.perf_counter() - begun
    return answer


def _finish(pool: Pool, ended: str, sampler: SamplerId, now: float) -> None:
    pool.finish(RequestId(ended), sampler, now, tokens=100, cached_tokens=0)


def _work(name: str, index: int) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId(f'team-{index % 4}'),
        caller=CallerId(f'caller-{index % 97}'),
        deadline=3_600,
        prompt_tokens=1_000,
        prefix_keys=(index % 40, index % 40 + 100, index + 1_000),
    )
