"""On which samplers items start: speed, idle connections, lengths."""

import msgspec
import pytest

from guavagate.jobs.scheduling._forecast import forecast
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._schedule import SamplerSlots, place
from guavagate.models import UpstreamId, WeightVersion
from tests.jobs.samplers import MODEL
from tests.jobs.scheduling.test_forecast import NOW, make_lengths, make_work

# Estimates of `make_lengths`, whose texts all have 25 events.
USUAL_TOKENS = 1000
LONG_TOKENS = 5 * USUAL_TOKENS


def make_sampler(
    name: str, interval: float = 1, **fields: object
) -> SamplerSlots:
    """Return a sampler with two of four slots free."""
    return SamplerSlots(
        id=UpstreamId(name),
        versions={MODEL: WeightVersion(1)},
        free=2,
        slots=4,
        relative_interval=interval,
        models=frozenset((MODEL,)),
        **fields,  # type: ignore[arg-type]
    )


def place_items(
    samplers: list[SamplerSlots],
    tokens: list[int],
    lengths: LengthEstimator | None = None,
) -> list[str]:
    """Return the samplers of items with these estimates, in their order."""
    lengths = lengths or LengthEstimator()
    work = make_work('a', groups=len(tokens), size=1)
    for progress, estimate in zip(work.items.values(), tokens, strict=True):
        progress.item = msgspec.structs.replace(
            progress.item, expected_tokens=estimate
        )
    planned = forecast([work], {MODEL: 4}, 0, lengths, NOW)
    placed = place(planned.groups, samplers, lengths).started
    return [each.sampler for each in sorted(placed, key=lambda each: each.item)]


def test_equal_samplers_are_chosen_by_idle_connection() -> None:
    """A new connection to a sampler is expensive; one of four has an idle one.

    Only one item can use it, so the others are spread as before.
    """
    samplers = [make_sampler(name) for name in 'wxyz']
    samplers[2].idle_connections = 1
    assert place_items(samplers, [0, 0]) == ['y', 'w']


def _make_mixed_lengths() -> LengthEstimator:
    """Return an estimator that has recorded a sixth of long texts."""
    lengths = make_lengths(25, USUAL_TOKENS)
    progress = next(iter(make_work('long', tokens=LONG_TOKENS).items.values()))
    progress.text.last_number = 125
    for _ in range(4):
        lengths.record(MODEL, progress)
    return lengths


def _make_connected_slow_sampler() -> list[SamplerSlots]:
    """Return a slow sampler with idle connections, and a fast one without."""
    return [
        make_sampler('slow', 1.3, idle_connections=4),
        make_sampler('fast'),
    ]


@pytest.mark.parametrize('tokens', [0, LONG_TOKENS])
def test_a_long_item_prefers_a_fast_sampler_to_a_connection(
    tokens: int,
) -> None:
    """Its step would be late by what a slow sampler costs it.

    An item without an estimate may be a long one.
    """
    samplers = _make_connected_slow_sampler()
    assert place_items(samplers, [tokens], _make_mixed_lengths()) == ['fast']


def test_a_usual_item_prefers_a_fast_sampler_among_equals() -> None:
    """All texts have the same length, so the step waits for each of them."""
    samplers = _make_connected_slow_sampler()
    assert place_items(samplers, [USUAL_TOKENS], make_lengths()) == ['fast']


def test_a_short_item_leaves_fast_samplers_to_long_ones() -> None:
    """A slow sampler is connected and costs a short item 0.3 s."""
    samplers = _make_connected_slow_sampler()
    placed = place_items(samplers, [USUAL_TOKENS], _make_mixed_lengths())
    assert placed == ['slow']


def test_items_start_on_a_sampler_known_to_be_fast() -> None:
    """The other one has not been measured yet and may be a slow one."""
    samplers = [make_sampler('unknown', measured=False), make_sampler('fast')]
    assert place_items(samplers, [0]) == ['fast']
