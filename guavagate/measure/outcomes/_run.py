"""One run: the operations and faults of a seed, and their result."""

import random
from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from guavagate.clock import Task
from guavagate.measure import history as hist
from guavagate.measure.outcomes._counters import CounterWorkload
from guavagate.measure.outcomes._fault_injector import FaultInjector
from guavagate.measure.outcomes._fault_kinds import draw_faults, inject
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._requests import RequestWorkload
from guavagate.measure.outcomes._steps import TrainerWorkload
from guavagate.measure.outcomes._upstream import Upstream
from guavagate.partitions.stored import Safeguards
from guavagate.runtime import Runtime

_FLEET_NAMES: Final = ('abcde', 'abcde', 'abc', 'ab')
_WARM_UP_SECONDS: Final = 8.0
_FAULT_SECONDS: Final = 30.0
_LIMIT_SECONDS: Final = 300.0
_PARTITIONS: Final = 2


class Workload(Protocol):
    """Operations on a fleet, recorded by the clients that send them.

    Attributes
    ----------
    history
        Events that the clients recorded.
    answered
        Number of operations that completed.
    """

    history: list[hist.Event]
    answered: int

    def make_states(self, partition: Any) -> dict[Any, Any]:
        """Return the states that the workload needs in a partition."""

    def start_components(self, runtime: Runtime) -> None:
        """Start the components that the workload needs on an instance."""

    def drive(
        self, fleet: Fleet, upstream: Upstream, rng: random.Random
    ) -> list[Task]:
        """Start the operations; return the tasks that complete with them."""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one seed."""

    seed: int
    faults: tuple[str, ...]
    answered: int
    finished: bool
    violations: tuple[hist.Violation, ...]
    events: int


def run_once(
    seed: int,
    *,
    safeguards: Safeguards | None = None,
    make_workloads: Callable[[], list[Workload]] | None = None,
    faults: tuple[tuple[float, str], ...] | None = None,
) -> Run:
    """Run a seed; draw its faults unless they are given."""
    rng = random.Random(seed)
    workloads = (make_workloads or _make_default_workloads)()
    fleet = Fleet(
        rng.choice(_FLEET_NAMES),
        rng.getrandbits(32),
        lambda partition: _merge_states(workloads, partition),
        partitions=_PARTITIONS,
        safeguards=safeguards,
        start_components=lambda runtime: _start_all_components(
            workloads, runtime
        ),
    )
    fleet.clock.advance(_WARM_UP_SECONDS)
    history = workloads[0].history
    upstream = Upstream(fleet.world, rng, history)
    injector = FaultInjector(fleet, upstream, rng)
    tasks: list[Task] = []
    for workload in workloads:
        workload.history = history
        tasks.extend(workload.drive(fleet, upstream, rng))
    drawn = tuple(draw_faults(rng)) if faults is None else faults
    fleet.clock.spawn(_inject_all, fleet, injector, sorted(drawn))
    fleet.clock.advance(_FAULT_SECONDS)
    injector.heal()
    finished = fleet.clock.run_until(
        lambda: all(task.ready() for task in tasks), _LIMIT_SECONDS
    )
    _kill_all(fleet)
    for task in tasks:
        # A crashed workload records too little to show a violation.
        if task.exception is not None and finished:
            raise task.exception
    history.extend(injector.events)
    return Run(
        seed=seed,
        faults=tuple(sorted(set(injector.injected))),
        answered=sum(workload.answered for workload in workloads),
        finished=finished,
        violations=tuple(hist.check(history)),
        events=len(history),
    )


def _make_default_workloads() -> list[Workload]:
    """Return the default workloads of a run."""
    return [RequestWorkload(), CounterWorkload(), TrainerWorkload()]


def _inject_all(
    fleet: Fleet, injector: FaultInjector, drawn: list[tuple[float, str]]
) -> None:
    """Inject each fault at its time."""
    start = fleet.clock.now()
    for at, name in drawn:
        fleet.clock.sleep(start + at - fleet.clock.now())
        inject(injector, name)


def _merge_states(workloads: list[Workload], partition: Any) -> dict[Any, Any]:
    """Return the states of all workloads in a partition."""
    states: dict[Any, Any] = {}
    for workload in workloads:
        states.update(workload.make_states(partition))
    return states


def _start_all_components(workloads: list[Workload], runtime: Runtime) -> None:
    """Start the components of all workloads on an instance."""
    for workload in workloads:
        workload.start_components(runtime)


def _kill_all(fleet: Fleet) -> None:
    """Kill all instances so that their tasks can be garbage-collected."""
    for name in list(fleet.partitions):
        fleet.host(name).kill()
    fleet.clock.settle()
