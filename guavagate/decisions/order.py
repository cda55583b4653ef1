"""The order of work within one caller's queue.

Load pattern: a caller sends many short requests and now and then a long job.
Without it: in order of arrival, a short request waits for the long jobs ahead
of it, many times its own length.

An order is a function from work, arrival and expected seconds to a key that
stays the same while the work waits; the lowest key is next. The choice, by
figures, is in docs/adr/0010-order-and-paper.md.
"""

from collections.abc import Callable
from typing import Final

from guavagate.decisions._work import Kind, Work

# The target stretch: a request may wait this many times its own expected
# time before a later one of the same size passes it. See the ADR's table.
TARGET_STRETCH: Final = 1.0

# Lengths are estimated within this factor.
LENGTH_ERROR: Final = 2.0

# Steps and lengths are folded into one key; no step has this many tokens.
_STEP_SPAN: Final = 1e9

Order = Callable[[Work, float, float], float]


def order_by_arrival(work: Work, arrival: float, expected: float) -> float:
    """First in, first out."""
    return arrival


def order_by_deadline(work: Work, arrival: float, expected: float) -> float:
    """Earliest deadline first."""
    return work.deadline


def order_by_length(work: Work, arrival: float, expected: float) -> float:
    """Shortest expected first; long jobs may starve."""
    return expected


def order_by_stretch(target: float = TARGET_STRETCH) -> Order:
    """Deadline from a target stretch, after Saule, Bozdağ and Çatalyürek.

    Parameters
    ----------
    target
        The stretch that every request is promised; zero orders by arrival,
        a very large one by length.
    """

    def order(work: Work, arrival: float, expected: float) -> float:
        if work.kind is Kind.ROLLOUT:
            return order_rollout(work)
        # What was admitted must not be overtaken until it is late: its last
        # moment to start, with the length off by two, is its place in line.
        return min(
            arrival + target * expected,
            work.deadline - LENGTH_ERROR * expected,
        )

    return order


def order_rollout(work: Work) -> float:
    """Older steps first; within a step the longest first.

    A long sample that starts last ends long after all others and stalls its
    step while the samplers idle.
    """
    return work.step * _STEP_SPAN - work.expected_tokens
