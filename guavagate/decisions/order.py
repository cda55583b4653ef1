"""Order of work within one caller's queue.

Load pattern: a caller sends many short requests and sometimes a long job.

In order of arrival, a short request waits for the long jobs ahead of it, many
times its own length.

An order is a function from work, arrival and expected seconds to a key that
doesn't change while the work waits; the lowest key is next. See
docs/adr/0010-order-and-paper.md for the choice and its measurements.
"""

from collections.abc import Callable
from typing import Final

from guavagate.decisions._work import Work, WorkKind

# A request may wait this many times its own expected time before a later one of
# the same size passes it. See the table in the ADR.
TARGET_STRETCH: Final = 1.0

# Estimated lengths are right within this factor.
LENGTH_ERROR: Final = 2.0

# Combines step and length into one key; must exceed the tokens of any sample.
_STEP_SPAN: Final = 1e9

Order = Callable[[Work, float, float], float]


def order_by_arrival(work: Work, arrival: float, expected: float) -> float:
    """Order by arrival, first in, first out."""
    return arrival


def order_by_deadline(work: Work, arrival: float, expected: float) -> float:
    """Order by deadline, earliest first."""
    return work.deadline


def order_by_length(work: Work, arrival: float, expected: float) -> float:
    """Order by expected time, shortest first; long jobs may starve."""
    return expected


def order_by_stretch(target: float = TARGET_STRETCH) -> Order:
    """Return an order by target stretch, after Saule, Bozdağ and Çatalyürek.

    Parameters
    ----------
    target
        The stretch promised to every request; zero orders by arrival, a very
        large one by length.
    """

    def order(work: Work, arrival: float, expected: float) -> float:
        if work.kind is WorkKind.ROLLOUT:
            return order_rollout(work)
        # Admitted work must not be overtaken until it is late, so its key is at
        # most its latest start, assuming twice the expected length.
        return min(
            arrival + target * expected,
            work.deadline - LENGTH_ERROR * expected,
        )

    return order


def order_rollout(work: Work) -> float:
    """Order older steps first; within a step the longest sample first.

    A long sample that starts last ends long after all others and delays its
    step while the samplers are idle.
    """
    return work.step * _STEP_SPAN - work.expected_tokens
