"""Fits a line to measurements at several sizes."""

import gc
import time
from collections.abc import Callable, Sequence

import msgspec
import numpy as np


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Line fitted to measurements.

    Parameters
    ----------
    unit
        Unit of the slope, such as ``us a sample``.
    slope, base
        Slope and intercept of the line.
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
    """Fit a line to at least four points."""
    if len(sizes) < 4:
        raise ValueError('a slope needs at least four sizes')
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
    """Return the minimum processor time of a call, in microseconds.

    The minimum of several calls excludes the noise that other load adds.
    """
    best = float('inf')
    gc.collect()
    gc.disable()
    try:
        for _ in range(repeats):
            started_at = time.process_time_ns()
            run()
            best = min(best, time.process_time_ns() - started_at)
    finally:
        gc.enable()
    return best / 1000
