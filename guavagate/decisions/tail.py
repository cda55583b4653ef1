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

from guavagate.decisions._sampler import RunningWork

# A copy must be expected to take no more than this share of what the first
# still needs: slow spells pass, and then a copy has cost a slot for nothing.
MAX_RUNTIME_RATIO: Final = 0.5


def estimate_total_tokens(
    running: RunningWork, token_interval: float, now: float
) -> float:
    """Return how many tokens running work is expected to have in all.

    Parameters
    ----------
    token_interval
        The seconds per token where it runs.
    """
    done = (now - running.start) / token_interval
    # With lengths this uncertain, what has run beyond its estimate is
    # expected to have about as much again before it.
    return running.cost if done < running.cost else 2 * done


def estimate_remaining_seconds(
    running: RunningWork, token_interval: float, now: float
) -> float:
    """Return the seconds that work is expected to need still."""
    tokens = estimate_total_tokens(running, token_interval, now)
    return tokens * token_interval - (now - running.start)


def is_speculation_worthwhile(
    running: RunningWork,
    token_interval: float,
    other_interval: float,
    now: float,
) -> bool:
    """Return whether a copy is expected to end well before the first.

    The copy starts from nothing and has the same length, so it gains only
    where the first runs slowly.
    """
    copy = estimate_total_tokens(running, token_interval, now) * other_interval
    return copy < MAX_RUNTIME_RATIO * estimate_remaining_seconds(
        running, token_interval, now
    )


def decide_weight_swap(
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
