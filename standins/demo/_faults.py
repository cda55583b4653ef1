"""Faults of upstreams and the platform in the middle of a demo."""

import signal
from collections.abc import Callable
from functools import partial
from typing import Any

from standins import _http
from standins.fleet import Fleet, Process

Actions = dict[str, Callable[[], None]]
Note = Callable[[str], None]


def make_fault_actions(fleet: Fleet, note: Note) -> Actions:
    """Return what can be done to the first team's upstreams and the store."""
    fault = partial(_set_faults, fleet, note)
    return {
        'service-fails': partial(
            fault, 'plain', 0, crash_after_run=0.2, reset=0.1
        ),
        'engine-cuts': partial(fault, 'engine', 0, cut=0.3, cross=0.1),
        'engine-stalls': partial(fault, 'engine', 2, stall=True),
        'engine-dies': partial(_kill, fleet, note, 'engine', 1),
        'store-down': partial(fault, 'object-api', 0, outage=True),
        'store-loses': partial(fault, 'object-api', 0, lose_answers=0.2),
        'heal': partial(_heal, fleet, note),
    }


def _set_faults(
    fleet: Fleet, note: Note, role: str, index: int, **faults: Any
) -> None:
    """Set one stand-in's faults; none make it healthy."""
    victim = _find(fleet, role)[index]
    note(f'{victim.name}: {faults or "healthy"}')
    _http.send_request(
        victim.addresses['http'], 'POST', '/control/faults', faults
    )


def _kill(fleet: Fleet, note: Note, role: str, index: int) -> None:
    """Kill a stand-in for good."""
    victim = _find(fleet, role)[index]
    note(f'SIGKILL {victim.name}')
    victim.send(signal.SIGKILL)


def _heal(fleet: Fleet, note: Note) -> None:
    """Make all that still runs healthy."""
    for role in ('plain', 'engine', 'object-api'):
        for index, process in enumerate(_find(fleet, role)):
            if process.is_running():
                _set_faults(fleet, note, role, index)


def _find(fleet: Fleet, role: str) -> list[Process]:
    """Return the stand-ins of a role."""
    return [process for process in fleet.processes if process.role == role]
