"""Pauses that double with each failure in a row."""

from typing import Final

# Any more would not change a pause, and a thousand overflow a float.
_MAX_DOUBLINGS: Final = 30


def compute_backoff(first: float, failures: float, longest: float) -> float:
    """Return for how many seconds to wait after a number of failures.

    Parameters
    ----------
    first
        The pause after the first failure, in seconds.
    longest
        The longest pause, in seconds.
    """
    if failures < 1:
        return 0
    doublings = min(failures - 1, _MAX_DOUBLINGS)
    return min(first * 2**doublings, longest)
