"""How fast samplers seem to be while their events are read in clumps."""

import random

from guavagate.jobs._event_interval import EventIntervalMeter
from guavagate.models import UpstreamId
from guavagate.rollouts import SamplerStates

_PACE = 0.048


def _arrive(
    pace: float, held_up: float, rng: random.Random, seconds: float = 6
) -> list[float]:
    """Return when a stream's events are read; times in seconds.

    Parameters
    ----------
    held_up
        The owner reads nothing for up to so long, and then all that came.
    """
    arrivals: list[float] = []
    busy_until = float(0)
    now = float(0)
    while now < seconds:
        now += pace
        if now > busy_until and rng.random() < 0.2:
            busy_until = now + rng.uniform(0, held_up)
        arrivals.append(max(now, busy_until))
    return arrivals


def _measure(
    paces: list[float], held_up: float, seed: int, seconds: float = 6
) -> list[float]:
    """Return how fast samplers with three streams each seem to be."""
    rng = random.Random(seed)
    states = SamplerStates()
    for number, pace in enumerate(paces):
        name = UpstreamId(str(number))
        for _ in range(3):
            meter = EventIntervalMeter()
            for at in _arrive(pace, held_up, rng, seconds):
                seen = meter.record_event(at)
                if seen is not None:
                    states.record_event_interval(name, seen)
    return [
        states.get(UpstreamId(str(n))).event_interval for n in range(len(paces))
    ]


def test_samplers_that_are_alike_seem_alike_to_a_busy_owner() -> None:
    """The owner is held up by a tenth of a second, again and again.

    By single gaps the fastest of sixteen equal ones seemed to be a quarter
    faster than the others, and every text that could moved there.
    """
    for seed in range(20):
        seen = _measure([_PACE] * 16, 0.1, seed)
        assert max(seen) < 1.25 * min(seen)


def test_samplers_that_differ_are_told_apart() -> None:
    """A third of the samplers takes 1.3 times as long for an event."""
    for seed in range(20):
        seen = _measure([_PACE, _PACE, 1.3 * _PACE] * 4, 0.1, seed)
        slow = seen[2::3]
        fast = [*seen[::3], *seen[1::3]]
        assert min(slow) > max(fast)


def test_a_sampler_that_crawls_is_noticed_within_two_seconds() -> None:
    """It takes three and a half times as long, and has few events to show."""
    seen = _measure([_PACE, 3.5 * _PACE], 0.1, 1, seconds=2)
    assert seen[1] > 2 * seen[0]


def test_a_load_of_weights_says_nothing_of_the_pace() -> None:
    """Nothing comes for a second, and then all as before."""
    meter = EventIntervalMeter()
    times = [0.05 * n for n in range(40)] + [3 + 0.05 * n for n in range(40)]
    seen = [
        pace for at in times if (pace := meter.record_event(at)) is not None
    ]
    assert len(seen) > 5
    assert max(seen) < 0.06
