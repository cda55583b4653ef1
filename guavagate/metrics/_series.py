"""Records the last minutes of the plotted metrics in bounded memory."""

import collections
from array import array
from typing import Final

import msgspec

from guavagate.clock import Clock, Task
from guavagate.metrics._registry import Metrics

INTERVAL_SECONDS: Final = 5.0
# Ten minutes of 100 series take 100 KB.
MAX_POINTS: Final = 120
_MAX_SERIES: Final = 100


class Point(msgspec.Struct, frozen=True, array_like=True):
    """A value and its wall-clock time in seconds."""

    at: float
    value: float


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """One metric with its labels over the last minutes."""

    name: str
    points: tuple[Point, ...]


class SeriesRecorder:
    """Records the plotted metrics every few seconds."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._times: collections.deque[float] = collections.deque(
            maxlen=MAX_POINTS
        )
        self._values: dict[str, array[float]] = {}
        self._task: Task | None = None

    def start(self) -> None:
        """Start recording."""
        self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop recording."""
        if self._task is not None:
            self._task.kill()

    def record(self) -> None:
        """Record the current values."""
        values = self._metrics.read_plotted()
        self._times.append(self._clock.wall())
        for name in values.keys() - self._values.keys():
            if len(self._values) < _MAX_SERIES:
                self._values[name] = array('d')
        for name in list(self._values):
            if name in values:
                self._append(name, values[name])
            else:
                self._values.pop(name)

    def list_series(self) -> list[Series]:
        """Return all series by name, oldest point first."""
        return [
            Series(name=name, points=self._make_points(self._values[name]))
            for name in sorted(self._values)
        ]

    def _run(self) -> None:
        while True:
            self.record()
            self._clock.sleep(INTERVAL_SECONDS)

    def _append(self, name: str, value: float) -> None:
        points = self._values[name]
        points.append(value)
        if len(points) > MAX_POINTS:
            points.pop(0)

    def _make_points(self, values: 'array[float]') -> tuple[Point, ...]:
        times = list(self._times)[-len(values) :]
        return tuple(
            Point(at, value) for at, value in zip(times, values, strict=True)
        )
