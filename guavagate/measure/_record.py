"""Results of simulated requests as callers see them, and statistics."""

import enum
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from guavagate.decisions import Work

# Histograms record microseconds up to one hour.
_MIN_MICROSECONDS: Final = 1
_MAX_MICROSECONDS: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_MICROSECONDS_PER_SECOND: Final = 1_000_000


class Outcome(enum.Enum):
    """How a request ended."""

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused'
    OPEN = 'open'


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A request that will arrive.

    `at` is the arrival time, `tokens` the number of tokens that are generated,
    and `alone` the seconds that it takes on an idle sampler.
    """

    at: float
    work: Work
    tokens: int
    alone: float


class Record(msgspec.Struct, kw_only=True):
    """What happened to one request; times are seconds of virtual time.

    `copies` counts hedges and speculative runs; `prompt` and `cached` count
    prompt tokens.
    """

    request: Request
    outcome: Outcome = Outcome.OPEN
    admitted: bool = False
    started: float | None = None
    ended: float = 0
    attempts: int = 0
    copies: int = 0
    prompt: int = 0
    cached: int = 0

    @property
    def latency(self) -> float:
        """Return the seconds from arrival to the result."""
        return self.ended - self.request.at

    @property
    def stretch(self) -> float:
        """Return the latency as a multiple of the time on an idle sampler."""
        return self.latency / self.request.alone


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile from a histogram, or 0 without values."""
    if not values:
        return 0
    histogram = HdrHistogram(
        _MIN_MICROSECONDS, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS
    )
    for value in values:
        histogram.record_value(
            max(int(value * _MICROSECONDS_PER_SECOND), _MIN_MICROSECONDS)
        )
    return histogram.get_value_at_percentile(percent) / _MICROSECONDS_PER_SECOND


def mean(values: list[float]) -> float:
    """Return the mean, or 0 without values."""
    return sum(values) / len(values) if values else 0


def compute_jain_index(values: list[float]) -> float:
    """Return Jain's fairness index: 1 when all values are equal."""
    squares = sum(value * value for value in values)
    if not squares:
        return 1
    return sum(values) ** 2 / (len(values) * squares)
