"""Injects faults into the demo's upstreams and platform."""

import signal
from collections.abc import Callable
from functools import partial
from typing import Any

from standins import _http
from standins.fleet import Fleet, Process

Actions = dict[str, Callable[[], None]]
RecordFault = Callable[[str], None]


def make_fault_actions(fleet: Fleet, record_fault: RecordFault) -> Actions:
    """Return the fault actions by name."""
    set_faults = partial(_set_faults, fleet, record_fault)
    return {
        'service-fails': partial(
            set_faults, 'plain', 0, crash_after_run=0.2, reset=0.1
        ),
        'engine-cuts': partial(set_faults, 'engine', 0, cut=0.3, cross=0.1),
        'engine-stalls': partial(set_faults, 'engine', 2, stall=True),
        'engine-dies': partial(_kill, fleet, record_fault, 'engine', 1),
        'store-down': partial(set_faults, 'object-api', 0, outage=True),
        'store-loses': partial(set_faults, 'object-api', 0, lose_answers=0.2),
        'heal': partial(_heal, fleet, record_fault),
    }


def _set_faults(
    fleet: Fleet,
    record_fault: RecordFault,
    role: str,
    index: int,
    **faults: Any,
) -> None:
    """Set the faults of a stand-in; without any it is healthy."""
    process = _find(fleet, role)[index]
    record_fault(f'{process.name}: {faults or "healthy"}')
    _http.send_request(
        process.addresses['http'], 'POST', '/control/faults', faults
    )


def _kill(
    fleet: Fleet, record_fault: RecordFault, role: str, index: int
) -> None:
    """Kill a stand-in without a replacement."""
    process = _find(fleet, role)[index]
    record_fault(f'SIGKILL {process.name}')
    process.send(signal.SIGKILL)


def _heal(fleet: Fleet, record_fault: RecordFault) -> None:
    """Clear the faults of all stand-ins that still run."""
    for role in ('plain', 'engine', 'object-api'):
        for index, process in enumerate(_find(fleet, role)):
            if process.is_running():
                _set_faults(fleet, record_fault, role, index)


def _find(fleet: Fleet, role: str) -> list[Process]:
    """Return the stand-ins with a role."""
    return [process for process in fleet.processes if process.role == role]
