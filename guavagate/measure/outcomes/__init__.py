"""Random operations and faults on fakes, checked by their history."""

from guavagate.measure.outcomes._counters import (
    Add,
    Counters,
    CounterWorkload,
    Total,
)
from guavagate.measure.outcomes._fault_injector import FaultInjector
from guavagate.measure.outcomes._fault_kinds import FAULTS
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._requests import RequestWorkload
from guavagate.measure.outcomes._run import Run, Workload, run_once
from guavagate.measure.outcomes._steps import TrainerWorkload
from guavagate.measure.outcomes._upstream import Upstream

__all__ = (
    'FAULTS',
    'Add',
    'Counters',
    'CounterWorkload',
    'TrainerWorkload',
    'Total',
    'FaultInjector',
    'Fleet',
    'RequestWorkload',
    'Run',
    'Upstream',
    'Workload',
    'run_once',
)
