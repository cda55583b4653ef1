"""Trainer patterns: stragglers in steps, two trainers on one pool."""

from typing import Final

import msgspec
import numpy as np

from guavagate.decisions import Work, WorkKind
from guavagate.measure._engine import BATCH_SLOWDOWN, TOKEN_INTERVAL_SECONDS
from guavagate.measure._policies import Policy
from guavagate.measure._record import Record, Request, compute_jain_index, mean
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
    clamp_estimate,
    draw_estimate_errors,
    draw_lengths,
    make_request,
    make_shared_keys,
)
from guavagate.models import CallerId, RequestId, RunId

_GROUP_SIZE: Final = 8
_MEAN_TOKENS: Final = 200
_PROMPT_TOKENS: Final = 1_000
_SLOWDOWN_FACTOR: Final = 3.0
# A stalled sampler generates almost nothing during the stall.
_STALL_SLOWDOWN_FACTOR: Final = 100.0
_STALL_SECONDS: Final = 60.0
# Throughput of all samplers while one is slow, in units of a healthy sampler.
_EFFECTIVE_SAMPLERS: Final = SAMPLERS - 1 + 1 / _SLOWDOWN_FACTOR
# Time to train a step, as a multiple of the time to generate a mean step when
# all lengths are known in advance. Samplers are provisioned so that the
# trainer, which costs more, doesn't wait.
_TRAINING_RATIO: Final = 1.1
# A trainer that is nearly as fast as the samplers; the aims are the same.
_TIGHT_TRAINING_RATIO: Final = 1.04
# Steps that a trainer submits in advance. With one step in training and one in
# generation, a sample is at most one version old when it is used.
_STEPS_AHEAD: Final = 2


class TrainerModel(msgspec.Struct, kw_only=True):
    """Simulates a trainer that submits steps, waits for them and trains.

    Dictionaries are keyed by step. `trained` counts the steps whose training
    has started, and `version` those whose training has ended.
    """

    run: str
    samples: int
    steps: int
    training_seconds: float
    weight: float = 1
    sigma: float = 0.7
    submitted: int = 0
    trained: int = 0
    version: int = 0
    ready_steps: list[int] = []
    unfinished_samples: dict[int, int] = {}
    submitted_at: dict[int, float] = {}
    versions_at_submission: dict[int, int] = {}
    step_seconds: list[float] = []
    requests: dict[int, list[Request]] = {}
    staleness: list[int] = []
    idle_seconds: float = 0
    idle_since: float | None = None
    training_started_at: float = 0
    last_step_ended_at: float = 0


def measure_stragglers(policy: Policy, seed: int) -> Figures:
    """Generate steps of 256 long-tailed samples; one sampler is slow."""
    return _measure_steps(policy, seed, _TRAINING_RATIO)


def measure_tight_stragglers(policy: Policy, seed: int) -> Figures:
    """Generate the same steps for a trainer nearly as fast as samplers."""
    return _measure_steps(policy, seed, _TIGHT_TRAINING_RATIO)


def _measure_steps(policy: Policy, seed: int, ratio: float) -> Figures:
    rng = np.random.default_rng(seed)
    mean_step_seconds = (
        _estimate_step_seconds(256) * SAMPLERS / _EFFECTIVE_SAMPLERS
    )
    trainer = TrainerModel(
        run='consent',
        samples=256,
        steps=16,
        training_seconds=ratio * mean_step_seconds,
    )
    simulation = _run(
        policy, [trainer], rng, seed, slowdown_interval=mean_step_seconds
    )
    bounds = [
        _compute_lower_bound(requests, _EFFECTIVE_SAMPLERS)
        for requests in trainer.requests.values()
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
    mean_step_seconds = _estimate_step_seconds(256) * SAMPLERS / (SAMPLERS - 1)
    trainer = TrainerModel(
        run='consent',
        samples=256,
        steps=8,
        training_seconds=_TRAINING_RATIO * mean_step_seconds,
    )
    simulation = _run(
        policy,
        [trainer],
        rng,
        seed,
        slowdown_interval=_STALL_SECONDS,
        slowdown=_STALL_SLOWDOWN_FACTOR,
    )
    bounds = [
        _compute_lower_bound(requests, SAMPLERS - 1)
        for requests in trainer.requests.values()
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
            run=name, samples=128, steps=1000, training_seconds=1, weight=weight
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
        'jain_by_weight': compute_jain_index(shares),
        'first_to_second': 3 * shares[0] / max(shares[1], 1),
        'idle_first': _summarise(trainers[0])['trainer_idle_share'],
        'idle_second': _summarise(trainers[1])['trainer_idle_share'],
    }


def _run(
    policy: Policy,
    trainers: list[TrainerModel],
    rng: Rng,
    seed: int,
    slowdown_interval: float = 0,
    slowdown: float = _SLOWDOWN_FACTOR,
    until: float = 3600,
) -> Simulation:
    by_run = {trainer.run: trainer for trainer in trainers}

    def finish(record: Record) -> None:
        trainer = by_run[str(record.request.work.run)]
        step = record.request.work.step
        trainer.unfinished_samples[step] -= 1
        if not trainer.unfinished_samples[step]:
            _complete(started_simulations[0], trainer, step, rng)

    started_simulations: list[Simulation] = []

    def prepare(simulation: Simulation) -> None:
        started_simulations.append(simulation)
        simulation.on_end = finish
        for trainer in trainers:
            for _ in range(_STEPS_AHEAD):
                _submit(simulation, trainer, rng)
        if slowdown_interval:
            simulation.call_at(
                0,
                _slow_next_sampler,
                simulation,
                slowdown_interval,
                slowdown,
                0,
            )

    return run_requests(policy, [], until, seed=seed, prepare=prepare)


def _submit(simulation: Simulation, trainer: TrainerModel, rng: Rng) -> None:
    if trainer.submitted >= trainer.steps:
        return
    step = trainer.submitted
    trainer.submitted += 1
    requests = _draw_step(simulation, trainer, step, rng)
    trainer.unfinished_samples[step] = len(requests)
    trainer.submitted_at[step] = simulation.now
    trainer.versions_at_submission[step] = trainer.version
    trainer.requests[step] = requests
    for request in requests:
        simulation.submit(request)


def _draw_step(
    simulation: Simulation, trainer: TrainerModel, step: int, rng: Rng
) -> list[Request]:
    count = trainer.samples
    lengths = draw_lengths(rng, count, _MEAN_TOKENS, trainer.sigma)
    errors = draw_estimate_errors(rng, count)
    requests = []
    for index in range(count):
        group = step * count // _GROUP_SIZE + index // _GROUP_SIZE
        work = Work(
            id=RequestId(f'{trainer.run}-{step}-{index}'),
            team=TEAM,
            caller=CallerId(trainer.run),
            kind=WorkKind.ROLLOUT,
            run=RunId(trainer.run),
            step=step,
            prefix_keys=make_shared_keys(group),
            prompt_tokens=_PROMPT_TOKENS,
            expected_tokens=clamp_estimate(
                lengths[index] * errors[index], _MEAN_TOKENS
            ),
            weight=trainer.weight,
        )
        requests.append(make_request(simulation.now, work, int(lengths[index])))
    return requests


def _complete(
    simulation: Simulation, trainer: TrainerModel, step: int, rng: Rng
) -> None:
    started_at = max(trainer.submitted_at[step], trainer.last_step_ended_at)
    trainer.step_seconds.append(simulation.now - started_at)
    trainer.last_step_ended_at = simulation.now
    trainer.ready_steps.append(step)
    if trainer.idle_since is not None or not trainer.trained:
        _train(simulation, trainer, rng)


def _train(simulation: Simulation, trainer: TrainerModel, rng: Rng) -> None:
    if not trainer.ready_steps:
        trainer.idle_since = simulation.now
        return
    if trainer.idle_since is not None:
        trainer.idle_seconds += simulation.now - trainer.idle_since
        trainer.idle_since = None
    step = trainer.ready_steps.pop(0)
    if not trainer.trained:
        trainer.training_started_at = simulation.now
    trainer.trained += 1
    trainer.staleness.append(
        trainer.version - trainer.versions_at_submission[step]
    )
    _submit(simulation, trainer, rng)
    done = simulation.now + trainer.training_seconds
    simulation.call_at(done, _end_training, simulation, trainer, rng)


def _end_training(
    simulation: Simulation, trainer: TrainerModel, rng: Rng
) -> None:
    trainer.version += 1
    simulation.stopped = trainer.version == trainer.steps
    if trainer.trained < trainer.steps:
        _train(simulation, trainer, rng)


def _slow_next_sampler(
    simulation: Simulation, interval: float, slowdown: float, index: int
) -> None:
    engines = list(simulation.engines.values())
    simulation.set_slowdown(engines[(index - 1) % len(engines)], 1)
    simulation.set_slowdown(engines[index % len(engines)], slowdown)
    next_at = simulation.now + interval
    simulation.call_at(
        next_at, _slow_next_sampler, simulation, interval, slowdown, index + 1
    )


def _estimate_step_seconds(samples: int) -> float:
    """Return the seconds for a mean step when all samplers are healthy."""
    token_interval = TOKEN_INTERVAL_SECONDS * (1 + BATCH_SLOWDOWN * (SLOTS - 1))
    return samples * _MEAN_TOKENS * token_interval / (SAMPLERS * SLOTS)


def _compute_lower_bound(requests: list[Request], samplers: float) -> float:
    """Return a lower bound on a step's seconds for any order of its requests.

    No order is faster, even if it knows all lengths in advance.
    """
    token_interval = TOKEN_INTERVAL_SECONDS * (1 + BATCH_SLOWDOWN * (SLOTS - 1))
    tokens = sum(request.tokens for request in requests)
    longest = max(request.tokens for request in requests)
    return max(
        tokens * token_interval / (samplers * SLOTS),
        longest * TOKEN_INTERVAL_SECONDS,
    )


def _summarise(trainer: TrainerModel) -> Figures:
    training_seconds = trainer.trained * trainer.training_seconds
    return {
        'steps': len(trainer.step_seconds),
        'step_mean_s': mean(trainer.step_seconds),
        'trainer_idle_share': trainer.idle_seconds
        / max(training_seconds + trainer.idle_seconds, 1),
        'staleness_mean': mean([float(age) for age in trainer.staleness]),
        'staleness_max': float(max(trainer.staleness, default=0)),
    }
