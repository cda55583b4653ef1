"""Measures how fast a killed or paused process is detected.

Run by ``script/measure lost-instance``.
"""

import os
import signal
import time
from typing import Final

import click
import gevent
import numpy as np

from standins.capacity._fleets import MembershipFleet, wait_until_converged

_POLL_SECONDS: Final = 0.05
_LIMIT_SECONDS: Final = 30.0


def measure_kill(nodes: int) -> float:
    """Return the seconds from SIGKILL until all others see it as dead."""
    fleet = MembershipFleet()
    try:
        _start(fleet, nodes)
        fleet.kill(nodes // 2)
        return _wait_until_seen(fleet, nodes - 1)
    finally:
        fleet.stop()


def measure_pause(nodes: int, seconds: float) -> tuple[float, float]:
    """Return the seconds until a paused process is seen dead and alive again.

    The first counts from the pause and is infinite if it was not seen dead; the
    second counts from its resumption.
    """
    fleet = MembershipFleet()
    try:
        _start(fleet, nodes)
        pid = fleet.pids[nodes // 2]
        os.kill(pid, signal.SIGSTOP)
        watched = fleet.exclude(nodes // 2)
        gone = _wait_until_seen(watched, nodes - 1, seconds)
        gevent.sleep(max(seconds - gone, 0) if gone < _LIMIT_SECONDS else 0)
        os.kill(pid, signal.SIGCONT)
        return gone, _wait_until_seen(fleet, nodes)
    finally:
        fleet.stop()


def _start(fleet: MembershipFleet, nodes: int) -> None:
    fleet.start(nodes)
    if not wait_until_converged(fleet, _LIMIT_SECONDS):
        raise click.ClickException('the processes do not all see each other')
    gevent.sleep(1)


def _wait_until_seen(
    fleet: MembershipFleet, alive: int, limit: float = _LIMIT_SECONDS
) -> float:
    """Return the seconds until all processes see this number alive."""
    start = time.monotonic()
    while time.monotonic() < start + limit:
        if fleet.all_see_alive(alive):
            return time.monotonic() - start
        gevent.sleep(_POLL_SECONDS)
    return float('inf')


@click.command()
@click.option('--instances', default=9, show_default=True)
@click.option('--runs', default=10, show_default=True)
@click.option(
    '--pauses', default='1,10', show_default=True, help='seconds of each pause'
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
            f' back in use everywhere {back:.2f} s after its resumption'
        )
