"""A step's tail, and a trainer's idle time against staleness.

Load pattern: 2,048 samples of which a few run ten times as long, on samplers
of which one is slow just then.
Without it: the step waits for its slowest sample while nearly all slots idle.

Three measures: the longest expected start first (`order.order_rollout`); when
nothing is queued, idle slots take second copies of what would end last, the
first answer wins and the other is cancelled; and whether samples in flight
may end on old weights is weighed by the deployment's own weights.
"""

from typing import Final

from guavagate.decisions._sampler import Running

# A second copy must be expected to end this much sooner than the first;
# half: a length estimate off by two must not make copies worthless.
MIN_GAIN: Final = 0.5
# Copies at the same time, as a share of the pool's slots: idle slots are free
# of charge, but each copy slows the batch that it joins.
MAX_COPIES: Final = 0.25


def remaining(running: Running, pace: float, now: float) -> float:
    """Return the seconds that work is expected to need still."""
    total = running.cost * pace
    elapsed = now - running.start
    if elapsed < total:
        return total - elapsed
    # Overdue: with lengths this uncertain, what has run for t is expected to
    # run for about t more.
    return elapsed


def gains_from_copy(left: float, copy: float) -> bool:
    """Return whether a copy is expected to end well before the first."""
    return copy < MIN_GAIN * left


def weigh_swap(
    *,
    in_flight_share: float,
    seconds_left: float,
    versions_behind: int,
    step_seconds: float,
    staleness_weight: float,
    idle_weight: float,
) -> tuple[bool, float, float]:
    """Decide whether a sampler swaps weights now or lets its work end first.

    Parameters
    ----------
    in_flight_share
        Share of the step's samples that run there.
    seconds_left
        Until the last of them is expected to end.
    versions_behind
        How far the sampler's weights are behind the newest.
    step_seconds
        The trainer's time for a step, the unit of both costs.

    Returns
    -------
    Whether to swap now, the cost of swapping and the cost of waiting.
    """
    unit = max(step_seconds, 1e-9)
    # Swapping cuts the samples into pieces: their prompts are read again and
    # the trainer waits that much longer for its step.
    swap = idle_weight * in_flight_share * min(seconds_left / unit, 1.0)
    wait = staleness_weight * versions_behind * seconds_left / unit
    return swap <= wait, swap, wait
