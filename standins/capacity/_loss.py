"""``script/measure lost-instance``: real processes, killed and paused."""

import os
import signal
import time
from typing import Final

import click
import gevent
import numpy as np

from standins.capacity._fleets import PartsFleet, wait_until_agreed

_LOOK_SECONDS: Final = 0.05
_LIMIT: Final = 30.0


def measure_kill(nodes: int) -> float:
    """Return seconds from SIGKILL until no other holds it in use."""
    fleet = PartsFleet()
    try:
        _start(fleet, nodes)
        fleet.kill(nodes // 2)
        return _wait(fleet, nodes - 1)
    finally:
        fleet.stop()


def measure_pause(nodes: int, seconds: float) -> tuple[float, float]:
    """Pause one process; return when it was out of use, and back in use.

    The first is infinite if it never was, the second counts from its waking.
    """
    fleet = PartsFleet()
    try:
        _start(fleet, nodes)
        pid = fleet.pids[nodes // 2]
        os.kill(pid, signal.SIGSTOP)
        watched = fleet.without(nodes // 2)
        gone = _wait(watched, nodes - 1, seconds)
        gevent.sleep(max(seconds - gone, 0) if gone < _LIMIT else 0)
        os.kill(pid, signal.SIGCONT)
        return gone, _wait(fleet, nodes)
    finally:
        fleet.stop()


def _start(fleet: PartsFleet, nodes: int) -> None:
    fleet.start(nodes)
    if not wait_until_agreed(fleet, _LIMIT):
        raise click.ClickException('they do not all know all')
    gevent.sleep(1)


def _wait(fleet: PartsFleet, alive: int, limit: float = _LIMIT) -> float:
    """Return after how long all of a fleet hold so many alive."""
    start = time.monotonic()
    while time.monotonic() < start + limit:
        if fleet.holds(alive):
            return time.monotonic() - start
        gevent.sleep(_LOOK_SECONDS)
    return float('inf')


@click.command()
@click.option('--instances', default=9, show_default=True)
@click.option('--runs', default=10, show_default=True)
@click.option(
    '--pauses', default='1,10', show_default=True, help='seconds each'
)
def main(instances: int, runs: int, pauses: str) -> None:
    """Measure when a killed or paused instance is out of use and back."""
    times = [measure_kill(instances) for _ in range(runs)]
    p50, p99 = np.percentile(times, [50, 99])
    click.echo(
        f'killed, {runs} runs: out of use after p50 {p50:.2f} s,'
        f' p99 {p99:.2f} s, worst {max(times):.2f} s'
    )
    for seconds in (float(text) for text in pauses.split(',') if text):
        gone, back = measure_pause(instances, seconds)
        click.echo(
            f'paused {seconds:g} s: out of use after {gone:.2f} s,'
            f' all hold all in use {back:.2f} s after waking'
        )
