"""Measures the cost of a request and of a streamed event at an instance.

The same requests go to the engines directly, through a minimal relay with the
same libraries, and through instances, at the same rate. CPU time is that of the
processes of the relay or the instances, minus their CPU time when idle.
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

SHORT_TOKENS: Final = 4
LONG_TOKENS: Final = 64
_TEAM: Final = TeamId('measure')
_CALLER: Final = CallerId('loader')
_MODEL: Final = DeploymentId('model')
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_TIMEOUT_SECONDS: Final = 20.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Destination, rate and shape of a load."""

    addresses: tuple[str, ...]
    token: str = ''
    rate: float
    seconds: float
    tokens: int
    seed: int = 1


class Latencies:
    """Latencies of one load in microseconds.

    `first` is the time until the first event, `whole` until the last.
    """

    def __init__(self) -> None:
        self.first = HdrHistogram(1, 60 * _MICROSECONDS_PER_SECOND, 3)
        self.whole = HdrHistogram(1, 60 * _MICROSECONDS_PER_SECOND, 3)
        self.failed = 0


def run_load(load: Load) -> Latencies:
    """Send a load at its rate without waiting for answers; return latencies."""
    latencies = Latencies()
    rng = random.Random(load.seed)
    tasks = Group()
    start = time.monotonic()
    due, number = start, 0
    while due < start + load.seconds:
        gevent.sleep(max(due - time.monotonic(), 0))
        address = load.addresses[number % len(load.addresses)]
        tasks.spawn(_send, load, address, number, latencies)
        number += 1
        due += rng.expovariate(load.rate)
    tasks.join()
    return latencies


def _send(load: Load, address: str, number: int, latencies: Latencies) -> None:
    """Send one streamed request; record the times of first and last event."""
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
            timeout=_TIMEOUT_SECONDS,
        )
        while line := _http.CONNECTIONS.read_until(
            b'\n\n', address, answer, _TIMEOUT_SECONDS
        ):
            first = first or time.monotonic() - start
            if line.startswith(b'data: [DONE]'):
                break
        else:
            latencies.failed += 1
            return
    except UpstreamError:
        latencies.failed += 1
        return
    latencies.first.record_value(int(first * _MICROSECONDS_PER_SECOND))
    latencies.whole.record_value(
        int((time.monotonic() - start) * _MICROSECONDS_PER_SECOND)
    )


class _Meter:
    """Total CPU time of some processes.

    Parameters
    ----------
    pids
        Ids of the processes.
    """

    def __init__(self, pids: list[int]) -> None:
        self._processes = [psutil.Process(pid) for pid in pids]

    def read(self) -> float:
        """Return the CPU seconds that the processes used so far."""
        times = [process.cpu_times() for process in self._processes]
        return sum(each.user + each.system for each in times)

    def measure_idle(self, seconds: float) -> float:
        """Return the share of a core that the processes use when idle."""
        gevent.sleep(1)
        before = self.read()
        gevent.sleep(seconds)
        return (self.read() - before) / seconds


def measure(instances: int, rate: float, seconds: float) -> dict[str, Any]:
    """Run the measurement on a new fleet and return its figures."""
    folder = Path(tempfile.mkdtemp(prefix='guavagate-cost-'))
    fleet = Fleet(_make_plan(), folder, 1)
    try:
        fleet.start(instances)
        return _measure_fleet(fleet, rate * instances, seconds)
    finally:
        fleet.stop()


def _measure_fleet(fleet: Fleet, rate: float, seconds: float) -> dict[str, Any]:
    """Load the engines, the relay and the instances; return the figures."""
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
    direct_latencies = {}
    for tokens in (SHORT_TOKENS, LONG_TOKENS):
        direct_latencies[tokens] = run_load(
            _make_load(engines, '', rate, seconds, tokens)
        )
    for name, addresses, pids in (
        ('relay', (relay.addresses['http'],), [relay.pid]),
        ('guavagate', entries, [one.pid for one in fleet.instances]),
    ):
        load = partial(_make_load, addresses, token, rate, seconds)
        figures[name] = _measure_processes(load, direct_latencies, _Meter(pids))
    return figures


def _measure_processes(
    load: Callable[[int], Load],
    direct_latencies: dict[int, Latencies],
    meter: '_Meter',
) -> dict[str, Any]:
    """Load processes and compare their latencies with direct requests."""
    run_load(load(SHORT_TOKENS))
    idle = meter.measure_idle(load(SHORT_TOKENS).seconds)
    figures: dict[str, Any] = {'idle_share_of_a_core': idle}
    costs = {}
    for tokens in (SHORT_TOKENS, LONG_TOKENS):
        before, start = meter.read(), time.monotonic()
        latencies = run_load(load(tokens))
        used = meter.read() - before - idle * (time.monotonic() - start)
        costs[tokens] = used / max(latencies.whole.get_total_count(), 1)
        figures[f'{tokens}_tokens'] = _compare(
            direct_latencies[tokens], latencies
        )
    slope = (costs[LONG_TOKENS] - costs[SHORT_TOKENS]) / (
        LONG_TOKENS - SHORT_TOKENS
    )
    figures['cpu_us_per_event'] = slope * _MICROSECONDS_PER_SECOND
    figures['cpu_ms_per_request'] = (
        costs[SHORT_TOKENS] - slope * SHORT_TOKENS
    ) * 1000
    return figures


def _compare(
    direct_latencies: Latencies, latencies: Latencies
) -> dict[str, Any]:
    """Return both latencies and their difference in milliseconds."""
    row: dict[str, Any] = {
        'answered': latencies.whole.get_total_count(),
        'failed': latencies.failed,
    }
    for name in ('first', 'whole'):
        for quantile in (50, 99):
            direct = _read_quantile_ms(
                getattr(direct_latencies, name), quantile
            )
            indirect = _read_quantile_ms(getattr(latencies, name), quantile)
            row[f'{name}_p{quantile}_ms'] = [direct, indirect]
            row[f'added_{name}_p{quantile}_ms'] = indirect - direct
    return row


def _read_quantile_ms(histogram: HdrHistogram, quantile: float) -> float:
    """Return a quantile in milliseconds."""
    return histogram.get_value_at_percentile(quantile) / 1000


def _make_load(
    addresses: tuple[str, ...],
    token: str,
    rate: float,
    seconds: float,
    tokens: int,
) -> Load:
    """Create a load, seeded by its token count."""
    return Load(
        addresses=addresses,
        token=token,
        rate=rate,
        seconds=seconds,
        tokens=tokens,
        seed=tokens,
    )


def _make_plan() -> FleetPlan:
    """Return the plan of a fleet whose engines are fast and never full."""
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
@click.option(
    '--instances', default=1, show_default=True, help='number of instances'
)
@click.option(
    '--rate',
    default=50.0,
    show_default=True,
    help='requests per second and instance',
)
@click.option(
    '--seconds', default=10.0, show_default=True, help='duration of each load'
)
@click.option('--json', 'as_json', is_flag=True, help='print JSON')
def main(instances: int, rate: float, seconds: float, *, as_json: bool) -> None:
    """Measure CPU time and added latency of instances."""
    figures = measure(instances, rate, seconds)
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    _print_figures(figures, '')


def _print_figures(figures: dict[str, Any], prefix: str) -> None:
    """Print one figure per line."""
    for name, figure in figures.items():
        if isinstance(figure, dict):
            _print_figures(figure, f'{prefix}{name} ')
        else:
            click.echo(f'{prefix + name:<48} {figure}')


if __name__ == '__main__':
    main()
