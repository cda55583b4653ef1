"""Random operations and faults over fakes, judged by their history."""

from guavagate.measure.outcomes._counts import (
    Add,
    Counters,
    Counts,
    Total,
)
from guavagate.measure.outcomes._faults import Faults
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._kinds import FAULTS
from guavagate.measure.outcomes._requests import Requests
from guavagate.measure.outcomes._run import Run, Workload, run_once
from guavagate.measure.outcomes._steps import Steps
from guavagate.measure.outcomes._upstream import Upstream

__all__ = (
    'FAULTS',
    'Add',
    'Counters',
    'Counts',
    'Steps',
    'Total',
    'Faults',
    'Fleet',
    'Requests',
    'Run',
    'Upstream',
    'Workload',
    'run_once',
)
