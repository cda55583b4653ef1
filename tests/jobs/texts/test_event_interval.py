"""Measuring event intervals while a busy owner reads events in bursts."""

import random

from guavagate.jobs.texts._event_interval import EventIntervalMeter
from guavagate.models import UpstreamId
from guavagate.rollouts import SamplerStates

_INTERVAL_SECONDS = 0.048


def _list_read_times(
    interval: float, max_block: float, rng: random.Random, seconds: float = 6
) -> list[float]:
    """Return when the owner reads a stream's events; times in seconds.

    Parameters
    ----------
    max_block
        The longest time for which the owner reads no events; it then reads all
        that have arrived.
    """
    read_times: list[float] = []
    busy_until = float(0)
    now = float(0)
    while now < seconds:
        now += interval
        if now > busy_until and rng.random() < 0.2:
            busy_until = now + rng.uniform(0, max_block)
        read_times.append(max(now, busy_until))
    return read_times


def _measure(
    intervals: list[float], max_block: float, seed: int, seconds: float = 6
) -> list[float]:
    """Return the measured intervals of samplers with three streams each."""
    rng = random.Random(seed)
    states = SamplerStates()
    for number, interval in enumerate(intervals):
        name = UpstreamId(str(number))
        for _ in range(3):
            meter = EventIntervalMeter()
            for at in _list_read_times(interval, max_block, rng, seconds):
                measured = meter.record_event(at)
                if measured is not None:
                    states.record_event_interval(name, measured)
    return [
        states.get(UpstreamId(str(n))).event_interval
        for n in range(len(intervals))
    ]


def test_equal_samplers_measure_equal_at_a_busy_owner() -> None:
    """The owner is repeatedly blocked for up to a tenth of a second.

    Measured by single gaps, the fastest of sixteen equal samplers appeared a
    quarter faster than the others, and every text that could moved there.
    """
    for seed in range(20):
        measured = _measure([_INTERVAL_SECONDS] * 16, 0.1, seed)
        assert max(measured) < 1.25 * min(measured)


def test_first_measurements_at_a_busy_owner_are_close() -> None:
    """Each of sixteen equal samplers has been measured once per stream.

    A long text may move half a second after its start. When one late read made
    a sampler appear 1.4 times slower than another, it moved for nothing.
    """
    for seed in range(30):
        measured = _measure([_INTERVAL_SECONDS] * 16, 0.1, seed, seconds=0.5)
        assert max(measured) < 1.2 * min(measured)


def test_events_read_in_one_burst_measure_nothing() -> None:
    """A blocked owner reads nine events of a stream at the same moment."""
    meter = EventIntervalMeter()
    assert not any(meter.record_event(5) for _ in range(30))


def test_slow_samplers_are_distinguished_from_fast_ones() -> None:
    """A third of the samplers has 1.3 times the event interval."""
    for seed in range(20):
        measured = _measure(
            [_INTERVAL_SECONDS, _INTERVAL_SECONDS, 1.3 * _INTERVAL_SECONDS] * 4,
            0.1,
            seed,
        )
        slow = measured[2::3]
        fast = [*measured[::3], *measured[1::3]]
        assert min(slow) > max(fast)


def test_a_very_slow_sampler_is_detected_within_two_seconds() -> None:
    """Its interval is three and a half times as long; few events arrive."""
    measured = _measure(
        [_INTERVAL_SECONDS, 3.5 * _INTERVAL_SECONDS], 0.1, 1, seconds=2
    )
    assert measured[1] > 2 * measured[0]


def test_a_weight_load_does_not_change_the_interval() -> None:
    """Events stop for a second, then continue as before."""
    meter = EventIntervalMeter()
    times = [0.05 * n for n in range(40)] + [3 + 0.05 * n for n in range(40)]
    measured = [
        interval
        for at in times
        if (interval := meter.record_event(at)) is not None
    ]
    assert len(measured) > 5
    assert max(measured) < 0.06
