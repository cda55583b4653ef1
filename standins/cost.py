"""Measures what one request and one streamed event cost an instance.

The same requests are sent to bare engines, through a bare relay of the same
libraries, and through instances, at the same rate. Processor time is that of
the relay's or the instances' processes, less what they use at rest.
"""

import json
import random
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final

import click
import gevent
import msgspec
import psutil
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from guavagate.exceptions import UpstreamError
from guavagate.models import CallerId, DeploymentId, RegionId, TeamId, ZoneId
from standins import _http
from standins.fleet import (
    CallerPlan,
    DeploymentPlan,
    EnginePlan,
    Fleet,
    FleetPlan,
    TeamPlan,
    make_token,
)

SHORT: Final = 4
LONG: Final = 64
_TEAM: Final = TeamId('measure')
_CALLER: Final = CallerId('loader')
_MODEL: Final = DeploymentId('model')
_MICROSECONDS: Final = 1_000_000
_TIMEOUT: Final = 20.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Where a load goes and how it looks."""

    addresses: tuple[str, ...]
    token: str = ''
    rate: float
    seconds: float
    tokens: int
    seed: int = 1


class Latencies:
    """Latencies of one load, in microseconds.

    `first` runs to the first event, `whole` to the last.
    """

    def __init__(self) -> None:
        self.first = HdrHistogram(1, 60 * _MICROSECONDS, 3)
        self.whole = HdrHistogram(1, 60 * _MICROSECONDS, 3)
        self.failed = 0


def run_load(load: Load) -> Latencies:
    """Send a load at its rate, whatever the answers do, and time it."""
    latencies = Latencies()
    draw = random.Random(load.seed)
    tasks = Group()
    start = time.monotonic()
    due, number = start, 0
    while due < start + load.seconds:
        gevent.sleep(max(due - time.monotonic(), 0))
        address = load.addresses[number % len(load.addresses)]
        tasks.spawn(_send, load, address, number, latencies)
        number += 1
        due += draw.expovariate(load.rate)
    tasks.join()
    return latencies


def _send(load: Load, address: str, number: int, seen: Latencies) -> None:
    """Send one streamed request and time its first and last event."""
    start = time.monotonic()
    first: float = 0
    body = {
        'request_id': f'{load.seed}-{load.tokens}-{number}',
        'model': _MODEL,
        'prompt': f'request {load.seed} {number}',
        'max_tokens': load.tokens,
        'stream': True,
    }
    if load.token:
        body.pop('request_id')
    try:
        answer = _http.CONNECTIONS.send(
            address,
            'POST',
            '/v1/completions',
            body=msgspec.json.encode(body),
            headers={'Authorization': f'Bearer {load.token}'},
            timeout=_TIMEOUT,
        )
        while line := _http.CONNECTIONS.read_until(
            b'\n\n', address, answer, _TIMEOUT
        ):
            first = first or time.monotonic() - start
            if line.startswith(b'data: [DONE]'):
                break
        else:
            seen.failed += 1
            return
    except UpstreamError:
        seen.failed += 1
        return
    seen.first.record_value(int(first * _MICROSECONDS))
    seen.whole.record_value(int((time.monotonic() - start) * _MICROSECONDS))


class _Meter:
    """Processor time of processes.

    Parameters
    ----------
    pids
        Which ones.
    """

    def __init__(self, pids: list[int]) -> None:
        self._processes = [psutil.Process(pid) for pid in pids]

    def read(self) -> float:
        """Return the seconds used so far by all of them."""
        times = [process.cpu_times() for process in self._processes]
        return sum(one.user + one.system for one in times)

    def rest(self, seconds: float) -> float:
        """Return the share of a core that they use at rest."""
        gevent.sleep(1)
        before = self.read()
        gevent.sleep(seconds)
        return (self.read() - before) / seconds


def measure(instances: int, rate: float, seconds: float) -> dict[str, Any]:
    """Return the figures of one run."""
    folder = Path(tempfile.mkdtemp(prefix='guavagate-cost-'))
    fleet = Fleet(_make_plan(), folder, 1)
    try:
        fleet.start(instances)
        return _measure_fleet(fleet, rate * instances, seconds)
    finally:
        fleet.stop()


def _measure_fleet(fleet: Fleet, rate: float, seconds: float) -> dict[str, Any]:
    """Load the engines, then the instances, and compare."""
    engines = tuple(
        process.addresses['http']
        for process in fleet.processes
        if process.role == 'engine'
    )
    relay = fleet.start_standin('relay', 'relay', {'engine': engines[0]})
    fleet.wait_for_addresses()
    entries = tuple(one.addresses['http'] for one in fleet.instances)
    token = make_token(_TEAM, _CALLER)
    figures: dict[str, Any] = {'requests_per_second': rate}
    bare = {}
    for tokens in (SHORT, LONG):
        bare[tokens] = run_load(_load(engines, '', rate, seconds, tokens))
    for name, addresses, pids in (
        ('relay', (relay.addresses['http'],), [relay.pid]),
        ('guavagate', entries, [one.pid for one in fleet.instances]),
    ):
        load = partial(_load, addresses, token, rate, seconds)
        figures[name] = _measure_one(load, bare, _Meter(pids))
    return figures


def _measure_one(
    load: Callable[[int], Load], bare: dict[int, Latencies], meter: '_Meter'
) -> dict[str, Any]:
    """Load some processes and compare them with the bare engines."""
    run_load(load(SHORT))
    idle = meter.rest(load(SHORT).seconds)
    figures: dict[str, Any] = {'idle_share_of_a_core': idle}
    costs = {}
    for tokens in (SHORT, LONG):
        before, start = meter.read(), time.monotonic()
        through = run_load(load(tokens))
        used = meter.read() - before - idle * (time.monotonic() - start)
        costs[tokens] = used / max(through.whole.get_total_count(), 1)
        figures[f'{tokens}_tokens'] = _compare(bare[tokens], through)
    slope = (costs[LONG] - costs[SHORT]) / (LONG - SHORT)
    figures['cpu_us_per_event'] = slope * _MICROSECONDS
    figures['cpu_ms_per_request'] = (costs[SHORT] - slope * SHORT) * 1000
    return figures


def _compare(bare: Latencies, through: Latencies) -> dict[str, Any]:
    """Return the latencies side by side, in milliseconds."""
    row: dict[str, Any] = {
        'answered': through.whole.get_total_count(),
        'failed': through.failed,
    }
    for name in ('first', 'whole'):
        for quantile in (50, 99):
            direct = _quantile(getattr(bare, name), quantile)
            reached = _quantile(getattr(through, name), quantile)
            row[f'{name}_p{quantile}_ms'] = [direct, reached]
            row[f'added_{name}_p{quantile}_ms'] = reached - direct
    return row


def _quantile(histogram: HdrHistogram, quantile: float) -> float:
    """Return a quantile in milliseconds."""
    return histogram.get_value_at_percentile(quantile) / 1000


def _load(
    addresses: tuple[str, ...],
    token: str,
    rate: float,
    seconds: float,
    tokens: int,
) -> Load:
    """Return a load."""
    return Load(
        addresses=addresses,
        token=token,
        rate=rate,
        seconds=seconds,
        tokens=tokens,
        seed=tokens,
    )


def _make_plan() -> FleetPlan:
    """Return a fleet of fast engines that are never full."""
    return FleetPlan(
        region=RegionId('measure'),
        availability_zones=(ZoneId('a'), ZoneId('b'), ZoneId('c')),
        engine=EnginePlan(token_s=0.005, slowdown=0, fixed_length=True),
        teams=(
            TeamPlan(
                team=_TEAM,
                deployments=(DeploymentPlan(id=_MODEL, samplers=6, slots=64),),
                callers=(CallerPlan(id=_CALLER),),
            ),
        ),
    )


@click.command()
@click.option('--instances', default=1, show_default=True, help='how many')
@click.option('--rate', default=50.0, show_default=True, help='per instance')
@click.option('--seconds', default=10.0, show_default=True, help='each load')
@click.option('--json', 'as_json', is_flag=True, help='print JSON')
def main(instances: int, rate: float, seconds: float, *, as_json: bool) -> None:
    """Measure processor time and added latency of instances."""
    figures = measure(instances, rate, seconds)
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    _show(figures, '')


def _show(figures: dict[str, Any], prefix: str) -> None:
    """Print figures, one a line."""
    for name, figure in figures.items():
        if isinstance(figure, dict):
            _show(figure, f'{prefix}{name} ')
        else:
            click.echo(f'{prefix + name:<48} {figure}')


if __name__ == '__main__':
    main()
