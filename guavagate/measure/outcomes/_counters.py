"""Clients that increment counters in partitions and record the totals."""

import random
from typing import Any, Final

import msgspec

from guavagate.clock import Task
from guavagate.exceptions import GuavagateError, NotAppliedError
from guavagate.measure import history as hist
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._upstream import Upstream
from guavagate.partitions import Command, Outcome
from guavagate.runtime import Runtime

_CLIENTS: Final = 4
_COUNT_SECONDS: Final = 28.0
_PAUSE_SECONDS: Final = (0.05, 0.4)
_TIMEOUT_SECONDS: Final = 3.0


class Add(Command, frozen=True, kw_only=True):
    """Add an amount to a counter."""

    key: str
    amount: int = 1


class Total(Outcome, frozen=True, kw_only=True):
    """Total of a counter after an addition."""

    total: int


class Counters:
    """Counters by key; implements `PartitionState`."""

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}

    def apply(self, command: Command) -> Outcome:
        """Apply an addition."""
        return self._add(command)

    def snapshot(self) -> bytes:
        """Return all counters."""
        return msgspec.msgpack.encode(self.totals)

    def restore(self, snapshot: bytes) -> None:
        """Replace all counters."""
        self.totals = msgspec.msgpack.decode(snapshot)

    def _add(self, command: Any) -> Outcome:
        """Add to one counter."""
        total = self.totals.get(command.key, 0) + command.amount
        self.totals[command.key] = total
        return Total(total=total)


class CounterWorkload:
    """Workload of clients that increment counters; see `Workload`."""

    def __init__(self) -> None:
        self.history: list[hist.Event] = []
        self.answered = 0

    def make_states(self, partition: Any) -> dict[Any, Any]:
        """Return the counters of one partition."""
        return {Add: Counters()}

    def start_components(self, runtime: Runtime) -> None:
        """Start nothing; counters need no component besides partitions."""

    def drive(
        self, fleet: Fleet, upstream: Upstream, rng: random.Random
    ) -> list[Task]:
        """Start the clients."""
        self._fleet = fleet
        self._rng = rng
        self._number = 0
        end = fleet.clock.now() + _COUNT_SECONDS
        return [
            fleet.clock.spawn(self._count, f'counter-{number % 2}', end)
            for number in range(_CLIENTS)
        ]

    def _count(self, key: str, end: float) -> None:
        """Send additions in sequence, each to any running instance."""
        clock = self._fleet.clock
        while clock.now() < end:
            clock.sleep(self._rng.uniform(*_PAUSE_SECONDS))
            running = self._fleet.list_running()
            if running:
                self._add(key, self._rng.choice(running))

    def _add(self, key: str, name: str) -> None:
        """Send an addition to an instance and record its answer."""
        self._number += 1
        command = f'{key}/{self._number}'
        clock = self._fleet.clock
        self.history.append(
            hist.SentCommand(at=clock.now(), who=name, key=key, command=command)
        )
        task = self._fleet.runtimes[name].clock.spawn(self._submit, key, name)
        try:
            with clock.timeout(2 * _TIMEOUT_SECONDS, TimeoutError):
                task.join()
        except TimeoutError:
            return
        total = task.value
        if isinstance(total, NotAppliedError):
            self.history.append(
                hist.CommandRefused(at=clock.now(), key=key, command=command)
            )
        if isinstance(total, Total):
            self.answered += 1
            self.history.append(
                hist.CommandApplied(
                    at=clock.now(),
                    who=name,
                    key=key,
                    command=command,
                    total=total.total,
                )
            )

    def _submit(self, key: str, name: str) -> Total | GuavagateError:
        """Submit one addition; return an error rather than raise it."""
        command = Add(at=self._fleet.clock.wall(), key=key)
        try:
            return self._fleet.partitions[name].submit(
                key, command, Total, _TIMEOUT_SECONDS
            )
        except GuavagateError as error:
            return error
