"""One run: a seed's operations and faults, and what came of them."""

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
    """Operations on the fleet, recorded by those who ask for them.

    Attributes
    ----------
    history
        Takes the events.
    answered
        Operations that came to their end.
    """

    history: list[hist.Event]
    answered: int

    def make_states(self, partition: Any) -> dict[Any, Any]:
        """Make the partition's states that the workload needs."""

    def start_components(self, runtime: Runtime) -> None:
        """Start what an instance runs for it."""

    def drive(
        self, fleet: Fleet, upstream: Upstream, rng: random.Random
    ) -> list[Task]:
        """Start the operations; the tasks end when they have."""


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one seed."""

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
    """Run a seed; its faults are drawn unless they are given."""
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
    done = fleet.clock.run_until(
        lambda: all(task.ready() for task in tasks), _LIMIT_SECONDS
    )
    _kill_all(fleet)
    for task in tasks:
        # A driver that fell over would leave a history without faults.
        if task.exception is not None and done:
            raise task.exception
    history.extend(injector.events)
    return Run(
        seed=seed,
        faults=tuple(sorted(set(injector.injected))),
        answered=sum(workload.answered for workload in workloads),
        finished=done,
        violations=tuple(hist.check(history)),
        events=len(history),
    )


def _make_default_workloads() -> list[Workload]:
    """Make the workloads that a run has unless told otherwise."""
    return [RequestWorkload(), CounterWorkload(), TrainerWorkload()]


def _inject_all(
    fleet: Fleet, injector: FaultInjector, drawn: list[tuple[float, str]]
) -> None:
    """Bring each fault about at its time."""
    start = fleet.clock.now()
    for at, name in drawn:
        fleet.clock.sleep(start + at - fleet.clock.now())
        inject(injector, name)


def _merge_states(workloads: list[Workload], partition: Any) -> dict[Any, Any]:
    """Collect what all workloads keep in a partition."""
    states: dict[Any, Any] = {}
    for workload in workloads:
        states.update(workload.make_states(partition))
    return states


def _start_all_components(workloads: list[Workload], runtime: Runtime) -> None:
    """Start what all workloads run on an instance."""
    for workload in workloads:
        workload.start_components(runtime)


def _kill_all(fleet: Fleet) -> None:
    """End all instances, so that their tasks can be collected."""
    for name in list(fleet.partitions):
        fleet.host(name).kill()
    fleet.clock.settle()
