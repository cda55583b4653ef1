"""Shortens a step's tail, and weighs a trainer's idle time against staleness.

Load pattern: 2,048 samples of which a few run ten times as long, on samplers of
which one is slow at that time.

Without these measures: the step waits for its slowest sample while nearly all
slots are idle.

Three measures: the sample with the longest expected time starts first
(`order.order_rollout`). When nothing is queued, idle slots start speculative
runs of what would end last; the first complete run wins and the other is
cancelled. And the deployment's own weights decide whether samples in flight may
end on old model weights.
"""

from typing import Final

from guavagate.decisions._sampler import RunningWork

# A speculative run must be expected to take at most this share of the time that
# the first run still needs: slow periods pass, and a run started in vain costs
# a slot.
MAX_RUNTIME_RATIO: Final = 0.5


def estimate_total_tokens(
    running: RunningWork, token_interval: float, now: float
) -> float:
    """Return the expected total number of tokens of running work.

    Parameters
    ----------
    token_interval
        Seconds per token where it runs.
    """
    done = (now - running.start) / token_interval
    # With lengths this uncertain, work that has exceeded its estimate is
    # expected to need about as many tokens again as it has so far.
    return running.cost if done < running.cost else 2 * done


def estimate_remaining_seconds(
    running: RunningWork, token_interval: float, now: float
) -> float:
    """Return the seconds that running work is expected to need still."""
    tokens = estimate_total_tokens(running, token_interval, now)
    return tokens * token_interval - (now - running.start)


def is_speculation_worthwhile(
    running: RunningWork,
    token_interval: float,
    other_interval: float,
    now: float,
) -> bool:
    """Return whether a second run should end well before the first.

    The second run starts from nothing and has the same length, so it gains time
    only where the first is slow.
    """
    second_run = (
        estimate_total_tokens(running, token_interval, now) * other_interval
    )
    return second_run < MAX_RUNTIME_RATIO * estimate_remaining_seconds(
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
    # A swap interrupts the samples: their prompts are read again and the
    # trainer waits that much longer for its step.
    swap = idle_weight * in_flight_share * min(seconds_left / unit, 1.0)
    wait = staleness_weight * versions_behind * seconds_left / unit
    return swap <= wait, swap, wait
