"""Patterns of trainers: a step's stragglers, two trainers on one pool."""

from typing import Final

import msgspec
import numpy as np

from guavagate.decisions import Kind, Work
from guavagate.measure._engine import BATCH_SLOWDOWN, PACE
from guavagate.measure._policies import Policy
from guavagate.measure._record import Record, Request, jain, mean
from guavagate.measure._scenario import (
    SAMPLERS,
    SLOTS,
    Figures,
    run_requests,
)
from guavagate.measure._simulation import Simulation
from guavagate.measure._workload import (
    TEAM,
    Rng,
    draw_errors,
    draw_lengths,
    guess_length,
    make_request,
    share_keys,
)
from guavagate.models import CallerId, RequestId, RunId

_GROUP: Final = 8
_TOKENS: Final = 200
_PROMPT: Final = 1_000
_SLOW: Final = 3.0
# A stalled sampler: nothing comes for as good as the whole minute.
_STALLED: Final = 100.0
_STALL_S: Final = 60.0
# What the samplers give in all while one of them is slow.
_HEALTHY: Final = SAMPLERS - 1 + 1 / _SLOW
# A trainer's time for a step, by the clairvoyant time to generate a mean one:
# samplers are bought so that a trainer, the dearer part, needn't wait.
_TRAIN_RATIO: Final = 1.1
# The same aims are shown for a trainer that is nearly as fast as the samplers.
_TIGHT_RATIO: Final = 1.04
# Steps that a trainer lets be generated ahead: with one in training and one
# in generation, a sample is at most one version old when it is used.
_AHEAD: Final = 2


class TrainerModel(msgspec.Struct, kw_only=True):
    """A trainer that submits steps, waits for them and trains."""

    run: str
    samples: int
    steps: int
    train_s: float
    weight: float = 1
    sigma: float = 0.7
    submitted: int = 0
    trained: int = 0
    version: int = 0
    ready: list[int] = []
    open: dict[int, int] = {}
    begun: dict[int, float] = {}
    versions: dict[int, int] = {}
    step_seconds: list[float] = []
    work: dict[int, list[Request]] = {}
    staleness: list[int] = []
    idle_s: float = 0
    idle_since: float | None = None
    started_s: float = 0
    ended_s: float = 0


def measure_stragglers(policy: Policy, seed: int) -> Figures:
    """Generate steps of 256 long-tailed samples; one sampler is slow."""
    return _make_steps(policy, seed, _TRAIN_RATIO)


def measure_tight_stragglers(policy: Policy, seed: int) -> Figures:
    """Generate the same steps for a trainer nearly as fast as samplers."""
    return _make_steps(policy, seed, _TIGHT_RATIO)


def _make_steps(policy: Policy, seed: int, ratio: float) -> Figures:
    rng = np.random.default_rng(seed)
    step_s = _full_seconds(256) * SAMPLERS / _HEALTHY
    trainer = TrainerModel(
        run='consent', samples=256, steps=16, train_s=ratio * step_s
    )
    simulation = _run(policy, [trainer], rng, seed, slow_every=step_s)
    bounds = [
        _find_bound(requests, _HEALTHY) for requests in trainer.work.values()
    ]
    figures = _summarise(trainer)
    figures['step_of_bound'] = sum(trainer.step_seconds) / sum(bounds)
    figures['copies'] = sum(
        record.copies for record in simulation.records.values()
    ) / len(simulation.records)
    return figures


def measure_stalled_sampler(policy: Policy, seed: int) -> Figures:
    """Generate the same steps; each sampler stalls for a minute in turn."""
    rng = np.random.default_rng(seed)
    step_s = _full_seconds(256) * SAMPLERS / (SAMPLERS - 1)
    trainer = TrainerModel(
        run='consent', samples=256, steps=8, train_s=_TRAIN_RATIO * step_s
    )
    simulation = _run(
        policy, [trainer], rng, seed, slow_every=_STALL_S, slow=_STALLED
    )
    bounds = [
        _find_bound(requests, SAMPLERS - 1)
        for requests in trainer.work.values()
    ]
    figures = _summarise(trainer)
    figures['step_of_bound'] = sum(trainer.step_seconds) / sum(bounds)
    figures['copies'] = sum(
        record.copies for record in simulation.records.values()
    ) / len(simulation.records)
    return figures


def measure_two_trainers(policy: Policy, seed: int) -> Figures:
    """Two trainers that always have work, weights three to one."""
    rng = np.random.default_rng(seed)
    trainers = [
        TrainerModel(
            run=name, samples=128, steps=1000, train_s=1, weight=weight
        )
        for name, weight in (('first', 3.0), ('second', 1.0))
    ]
    simulation = _run(policy, trainers, rng, seed, until=300)
    shares = []
    for trainer in trainers:
        done = sum(
            record.request.tokens
            for record in simulation.records.values()
            if record.ended and record.request.work.run == trainer.run
        )
        shares.append(done / trainer.weight)
    return {
        'jain_by_weight': jain(shares),
        'first_to_second': 3 * shares[0] / max(shares[1], 1),
        'idle_first': _summarise(trainers[0])['trainer_idle_share'],
        'idle_second': _summarise(trainers[1])['trainer_idle_share'],
    }


def _run(
    policy: Policy,
    trainers: list[TrainerModel],
    rng: Rng,
    seed: int,
    slow_every: float = 0,
    slow: float = _SLOW,
    until: float = 3600,
) -> Simulation:
    by_run = {trainer.run: trainer for trainer in trainers}

    def finish(record: Record) -> None:
        trainer = by_run[str(record.request.work.run)]
        step = record.request.work.step
        trainer.open[step] -= 1
        if not trainer.open[step]:
            _complete(simulation_box[0], trainer, step, rng)

    simulation_box: list[Simulation] = []

    def prepare(simulation: Simulation) -> None:
        simulation_box.append(simulation)
        simulation.on_end = finish
        for trainer in trainers:
            for _ in range(_AHEAD):
                _submit(simulation, trainer, rng)
        if slow_every:
            simulation.at(0, _slow_next, simulation, slow_every, slow, 0)

    return run_requests(policy, [], until, seed=seed, prepare=prepare)


def _submit(simulation: Simulation, trainer: TrainerModel, rng: Rng) -> None:
    if trainer.submitted >= trainer.steps:
        return
    step = trainer.submitted
    trainer.submitted += 1
    requests = _draw_step(simulation, trainer, step, rng)
    trainer.open[step] = len(requests)
    trainer.begun[step] = simulation.now
    trainer.versions[step] = trainer.version
    trainer.work[step] = requests
    for request in requests:
        simulation.submit(request)


def _draw_step(
    simulation: Simulation, trainer: TrainerModel, step: int, rng: Rng
) -> list[Request]:
    count = trainer.samples
    lengths = draw_lengths(rng, count, _TOKENS, trainer.sigma)
    errors = draw_errors(rng, count)
    requests = []
    for index in range(count):
        group = step * count // _GROUP + index // _GROUP
        work = Work(
            id=RequestId(f'{trainer.run}-{step}-{index}'),
            team=TEAM,
            caller=CallerId(trainer.run),
            kind=Kind.ROLLOUT,
            run=RunId(trainer.run),
            step=step,
            prefix_keys=share_keys(group),
            prompt_tokens=_PROMPT,
            expected_tokens=guess_length(
                lengths[index] * errors[index], _TOKENS
            ),
            weight=trainer.weight,
        )
        requests.append(make_request(simulation.now, work, int(lengths[index])))
    return requests


def _complete(
    simulation: Simulation, trainer: TrainerModel, step: int, rng: Rng
) -> None:
    begun = max(trainer.begun[step], trainer.ended_s)
    trainer.step_seconds.append(simulation.now - begun)
    trainer.ended_s = simulation.now
    trainer.ready.append(step)
    if trainer.idle_since is not None or not trainer.trained:
        _train(simulation, trainer, rng)


def _train(simulation: Simulation, trainer: TrainerModel, rng: Rng) -> None:
    if not trainer.ready:
        trainer.idle_since = simulation.now
        return
    if trainer.idle_since is not None:
        trainer.idle_s += simulation.now - trainer.idle_since
        trainer.idle_since = None
    step = trainer.ready.pop(0)
    if not trainer.trained:
        trainer.started_s = simulation.now
    trainer.trained += 1
    trainer.staleness.append(trainer.version - trainer.versions[step])
    _submit(simulation, trainer, rng)
    done = simulation.now + trainer.train_s
    simulation.at(done, _end_training, simulation, trainer, rng)


def _end_training(
    simulation: Simulation, trainer: TrainerModel, rng: Rng
) -> None:
    trainer.version += 1
    simulation.stopped = trainer.version == trainer.steps
    if trainer.trained < trainer.steps:
        _train(simulation, trainer, rng)


def _slow_next(
    simulation: Simulation, every: float, slow: float, turn: int
) -> None:
    engines = list(simulation.engines.values())
    simulation.change(engines[(turn - 1) % len(engines)], 1)
    simulation.change(engines[turn % len(engines)], slow)
    later = simulation.now + every
    simulation.at(later, _slow_next, simulation, every, slow, turn + 1)


def _full_seconds(samples: int) -> float:
    """Return the time of a mean step on full, healthy samplers."""
    pace = PACE * (1 + BATCH_SLOWDOWN * (SLOTS - 1))
    return samples * _TOKENS * pace / (SAMPLERS * SLOTS)


def _find_bound(requests: list[Request], samplers: float) -> float:
    """Return a time that no order can beat, though it knew all lengths."""
    pace = PACE * (1 + BATCH_SLOWDOWN * (SLOTS - 1))
    tokens = sum(request.tokens for request in requests)
    longest = max(request.tokens for request in requests)
    return max(tokens * pace / (samplers * SLOTS), longest * PACE)


def _summarise(trainer: TrainerModel) -> Figures:
    train = trainer.trained * trainer.train_s
    return {
        'steps': len(trainer.step_seconds),
        'step_mean_s': mean(trainer.step_seconds),
        'trainer_idle_share': trainer.idle_s / max(train + trainer.idle_s, 1),
        'staleness_mean': mean([float(age) for age in trainer.staleness]),
        'staleness_max': float(max(trainer.staleness, default=0)),
    }
