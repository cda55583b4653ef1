"""The last minutes of the plotted metrics, in bounded memory."""

import collections
from array import array
from typing import Final

import msgspec

from guavagate.clock import Clock, Task
from guavagate.metrics._registry import Metrics

INTERVAL: Final = 5.0
# Ten minutes of 100 series take 100 KB.
POINTS: Final = 120
_MAX_SERIES: Final = 100


class Point(msgspec.Struct, frozen=True, array_like=True):
    """A value at a time, in wall-clock seconds."""

    at: float
    value: float


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """One metric with its labels over the last minutes."""

    name: str
    points: tuple[Point, ...]


class SeriesRecorder:
    """Reads the plotted metrics every few seconds."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._times: collections.deque[float] = collections.deque(maxlen=POINTS)
        self._values: dict[str, array[float]] = {}
        self._task: Task | None = None

    def start(self) -> None:
        """Start reading."""
        self._task = self._clock.spawn(self._run)

    def stop(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.kill()

    def read(self) -> None:
        """Take one reading."""
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
            Series(name=name, points=self._points(self._values[name]))
            for name in sorted(self._values)
        ]

    def _run(self) -> None:
        while True:
            self.read()
            self._clock.sleep(INTERVAL)

    def _append(self, name: str, value: float) -> None:
        kept = self._values[name]
        kept.append(value)
        if len(kept) > POINTS:
            kept.pop(0)

    def _points(self, kept: 'array[float]') -> tuple[Point, ...]:
        times = list(self._times)[-len(kept) :]
        return tuple(
            Point(at, value) for at, value in zip(times, kept, strict=True)
        )
