"""Measures what partitions and the ledger cost, in virtual time."""

import time
from collections.abc import Callable
from typing import Final

import numpy as np

from guavagate.ledger import (
    Answer,
    KeyedRequest,
    Ledger,
    make_ledger_states,
)
from guavagate.measure.outcomes._counters import Add, Counters, Total
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.models import CallerId, PartitionId, TeamId

_WARM_UP_SECONDS: Final = 60.0
_TAKEOVERS: Final = 30
_REQUESTS: Final = 300
_IDLE_SECONDS: Final = 600.0
_PARTITIONS: Final = 32


def measure_takeover() -> str:
    """Measure the time from a primary's death to its partition's answer."""
    waits: list[float] = []
    for seed in range(_TAKEOVERS):
        fleet = Fleet('abcde', seed, _make_counters)
        fleet.clock.advance(_WARM_UP_SECONDS)
        primary = fleet.list_primaries()[0]
        other = next(name for name in fleet.list_running() if name != primary)
        fleet.world.kill(primary)
        start = fleet.clock.now()
        command = Add(at=fleet.clock.wall(), key='k')
        task = fleet.runtimes[other].clock.spawn(
            fleet.partitions[other].submit, 'k', command, Total, 30
        )
        if not fleet.clock.run_until(task.ready, 30) or task.exception:
            raise RuntimeError(f'seed {seed}: no takeover within 30 s')
        waits.append(fleet.clock.now() - start)
    found = _describe(waits, 1)
    return f'{found} s after the kill (death is noticed after 2.0 to 2.2 s)'


def measure_ledger() -> str:
    """Measure keyed requests in sequence, with work that takes no time."""
    fleet = Fleet('abcde', 1, make_ledger_states, partitions=_PARTITIONS)
    ids = (f'id-{number}' for number in range(10 * _REQUESTS))
    ledger = Ledger(fleet.runtimes['a'], lambda: next(ids))
    ledger.start()
    fleet.clock.advance(_WARM_UP_SECONDS)
    network = fleet.world.network
    network.messages.clear()
    network.sent_bytes.clear()
    waits: list[float] = []
    cpu = time.process_time()
    for number in range(_REQUESTS):
        start = fleet.clock.now()
        request = KeyedRequest(
            team=TeamId('team'),
            caller=CallerId('caller'),
            key=f'key-{number}',
            digest='0' * 32,
        )
        task = fleet.runtimes['a'].clock.spawn(
            ledger.run_once, request, _answer, 10
        )
        fleet.clock.run_until(task.ready, 10)
        task.get(block=False)
        waits.append(fleet.clock.now() - start)
    cpu = time.process_time() - cpu
    messages = network.messages.total() / _REQUESTS
    size = network.sent_bytes.total() / _REQUESTS
    return (
        f'{_describe(waits, 1000)} ms added at 0.5 to 2 ms one way; '
        f'{messages:.1f} messages, {size:.0f} B and '
        f'{cpu / _REQUESTS * 1000:.2f} ms of processor time on all '
        'instances together, for an answer of 200 B'
    )


def measure_idle() -> str:
    """Count the messages and store calls of an idle fleet."""
    fleet = Fleet('abcdefg', 1, make_ledger_states, partitions=_PARTITIONS)
    fleet.clock.advance(_IDLE_SECONDS)
    store, network = fleet.world.store, fleet.world.network
    store.calls.clear()
    network.messages.clear()
    fleet.clock.advance(_IDLE_SECONDS)
    calls = {
        name: round(count / _IDLE_SECONDS, 4)
        for name, count in store.calls.items()
    }
    rate = network.messages.total() / _IDLE_SECONDS
    return (
        f'store calls a second by 7 instances: {calls or 0}; '
        f'messages a second: {rate:.4f}'
    )


def measure_zone_loss() -> str:
    """Count the store's writes after the loss of one of three zones."""
    fleet = Fleet('abcdefghi', 1, make_ledger_states, partitions=_PARTITIONS)
    fleet.clock.advance(_IDLE_SECONDS)
    store = fleet.world.store
    store.writes.clear()
    start = fleet.clock.now()
    for name in 'adg':
        fleet.world.kill(name)
    fleet.clock.advance(_WARM_UP_SECONDS)
    times = [at - start for at, _ in store.writes]
    if not times:
        raise RuntimeError('no partition was written to the store')
    busiest = max(
        sum(1 for at in times if begin <= at < begin + 1) for begin in times
    )
    return (
        f'{len(times)} writes for {_PARTITIONS} partitions on 9 instances, '
        f'at most {busiest} in one second, the last after {max(times):.1f} s'
    )


def _make_counters(partition: PartitionId) -> dict[type[Add], Counters]:
    """Return the state of one partition."""
    return {Add: Counters()}


def _answer() -> Answer:
    """Return an answer of 200 B immediately."""
    return Answer(status=200, body=b'x' * 200)


def _describe(values: list[float], scale: float) -> str:
    """Format the median, 99th percentile and maximum."""
    scaled = np.array(values) * scale
    p50, p99 = np.percentile(scaled, (50, 99))
    return f'p50 {p50:.2f}, p99 {p99:.2f}, max {scaled.max():.2f}'


COSTS: Final[dict[str, Callable[[], str]]] = {
    'takeover': measure_takeover,
    'ledger': measure_ledger,
    'store at rest': measure_idle,
    'zone loss': measure_zone_loss,
}
