"""Measures what samples cost the primary of their partition."""

import itertools
from functools import partial
from typing import Final

import msgspec

from guavagate.measure.slopes._fit import Slope, fit_slope, time_us
from guavagate.models import DeploymentId, RunId, SampleId, WeightVersion
from guavagate.runs import (
    FinishedSample,
    FinishSample,
    GroupSpec,
    PublishVersion,
    PullBatch,
    RunsState,
    SubmitStep,
)

_DEPLOYMENT: Final = DeploymentId('team/deployment')
_RUN: Final = RunId('run')
_SAMPLES_PER_GROUP: Final = 8
_SIZES: Final = (256, 512, 1024, 2048)
_TEXT_BYTES: Final = 2_000
_REPEATS: Final = 5


def measure_runs() -> list[Slope]:
    """Return the slopes of a step by its number of samples."""
    state_bytes, lookup_times, finish_times, pull_times = [], [], [], []
    for size in _SIZES:
        state = _make_state(size)
        lookup_times.append(
            time_us(partial(state.list_pending_by_run, _DEPLOYMENT), _REPEATS)
        )
        finish_times.append(_time_finishes(size))
        full = _make_state(size)
        _finish_all(full, size)
        state_bytes.append(len(full.snapshot()))
        pull_times.append(_time_pull(full, size))
    return [
        fit_slope('step state', 'B a sample', _SIZES, state_bytes),
        fit_slope(
            'pending look-up', 'us a pending sample', _SIZES, lookup_times
        ),
        fit_slope('sample entry', 'us a sample', _SIZES, finish_times),
        fit_slope('hand-out', 'us a sample', _SIZES, pull_times),
        _measure_entry_bytes(),
    ]


def _make_state(size: int) -> RunsState:
    state = RunsState()
    state.apply(
        PublishVersion(
            at=1, deployment=_DEPLOYMENT, run=_RUN, version=WeightVersion(1)
        )
    )
    groups = tuple(
        GroupSpec(
            group_id=f'g{index}',
            prompt='p' * 400,
            samples=_SAMPLES_PER_GROUP,
            max_tokens=512,
        )
        for index in range(size // _SAMPLES_PER_GROUP)
    )
    state.apply(
        SubmitStep(
            at=2,
            deployment=_DEPLOYMENT,
            run=_RUN,
            step_id='s',
            digest='d',
            groups=groups,
            max_staleness=2,
        )
    )
    return state


def _list_commands(size: int, text_bytes: int) -> list[FinishSample]:
    positions = itertools.product(
        range(size // _SAMPLES_PER_GROUP), range(_SAMPLES_PER_GROUP)
    )
    return [
        FinishSample(
            at=3,
            deployment=_DEPLOYMENT,
            run=_RUN,
            step_id='s',
            sample=FinishedSample(
                sample_id=SampleId(f's/g{group}/{index}'),
                group_id=f'g{group}',
                text='t' * text_bytes,
                versions=((WeightVersion(1), 500),),
                score=0.5,
            ),
        )
        for group, index in positions
    ]


def _finish_all(state: RunsState, size: int) -> None:
    for command in _list_commands(size, _TEXT_BYTES):
        state.apply(command)


def _time_finishes(size: int) -> float:
    commands = [
        msgspec.msgpack.encode(one) for one in _list_commands(size, _TEXT_BYTES)
    ]
    states = iter([_make_state(size) for _ in range(_REPEATS)])

    def finish_samples() -> None:
        state = next(states)
        for packed in commands:
            state.apply(msgspec.msgpack.decode(packed, type=FinishSample))

    return time_us(finish_samples, _REPEATS)


def _time_pull(state: RunsState, size: int) -> float:
    packed = state.snapshot()
    states = []
    for _ in range(_REPEATS):
        copy = RunsState()
        copy.restore(packed)
        states.append(copy)
    remaining = iter(states)
    pull = PullBatch(
        at=4, deployment=_DEPLOYMENT, run=_RUN, cursor='', max_samples=size
    )
    return time_us(
        lambda: msgspec.msgpack.encode(next(remaining).apply(pull)), _REPEATS
    )


def _measure_entry_bytes() -> Slope:
    sizes = (500, 1_000, 2_000, 4_000, 8_000)
    measured = [
        len(msgspec.msgpack.encode(_list_commands(_SAMPLES_PER_GROUP, size)[0]))
        for size in sizes
    ]
    return fit_slope('entry message', 'B a text byte', sizes, measured)
