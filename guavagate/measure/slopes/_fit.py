"""A line through what was measured at several sizes."""

import gc
import time
from collections.abc import Callable, Sequence

import msgspec
import numpy as np


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """One measured line.

    Parameters
    ----------
    unit
        Of the slope, such as ``us a sample``.
    slope, base
        The line's coefficients.
    error
        Standard error of the slope.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    measured: tuple[float, ...]
    slope: float
    base: float
    error: float


def fit_slope(
    name: str,
    unit: str,
    sizes: Sequence[float],
    measured: Sequence[float],
) -> Slope:
    """Return the line through the points, at least four of them."""
    if len(sizes) < 4:
        raise ValueError('a slope needs four sizes or more')
    (slope, base), covariance = np.polyfit(sizes, measured, 1, cov=True)
    return Slope(
        name=name,
        unit=unit,
        sizes=tuple(sizes),
        measured=tuple(round(float(point), 4) for point in measured),
        slope=float(slope),
        base=float(base),
        error=float(np.sqrt(covariance[0, 0])),
    )


def time_us(run: Callable[[], object], repeats: int) -> float:
    """Return the least processor time of a call, in microseconds.

    The least of several: whatever else the machine does only adds to it.
    """
    best = float('inf')
    gc.collect()
    gc.disable()
    try:
        for _ in range(repeats):
            begun = time.process_time_ns()
            run()
            best = min(best, time.process_time_ns() - begun)
    finally:
        gc.enable()
    return best / 1000
