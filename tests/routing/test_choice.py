"""Selection by zone, existing connections, load and failures."""

import random
from collections import Counter

import msgspec

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable

_DESK = ServiceId('desk')
_ZONES = ('z1', 'z2', 'z3', 'z1')


def _make_table(connected: set[str]) -> UpstreamTable:
    """Return four upstreams of six slots, two of them in the same zone."""
    table = UpstreamTable(
        PausedClock(), ZoneId('z1'), random.Random(1), connected.__contains__
    )
    for number, zone in enumerate(_ZONES):
        table.put(
            Upstream(
                id=UpstreamId(f'u{number}'),
                service=_DESK,
                address=f'10.0.0.{number}:1',
                zone=ZoneId(zone),
                slots=6,
            )
        )
    return table


def _choose_repeatedly(
    table: UpstreamTable, requests: int, *, in_flight: bool
) -> Counter[str]:
    """Return how many requests each upstream got."""
    counts: Counter[str] = Counter()
    for _ in range(requests):
        chosen = table.choose(_DESK, set())
        assert chosen is not None
        counts[chosen.id] += 1
        table.load(chosen.id).in_flight += int(in_flight)
    return counts


def test_occasional_requests_reuse_the_idle_connection() -> None:
    """Each of many instances sends few requests, one at a time.

    Without the preference, an instance opens a connection to each upstream in
    turn and leaves them idle until the upstream closes them.
    """
    assert _choose_repeatedly(
        _make_table({'10.0.0.1:1'}), 20, in_flight=False
    ) == {'u1': 20}


def test_the_same_zone_is_preferred_without_connections() -> None:
    """The zone decides between upstreams that are equally free."""
    counts = _choose_repeatedly(_make_table(set()), 20, in_flight=False)
    assert set(counts) == {'u0', 'u3'}


def test_a_burst_spreads_despite_an_idle_connection() -> None:
    """Twelve requests at once must not queue behind one connection."""
    counts = _choose_repeatedly(_make_table({'10.0.0.1:1'}), 12, in_flight=True)
    assert len(counts) == 4
    assert max(counts.values()) <= 5


def test_a_failing_upstream_is_avoided_despite_its_connection() -> None:
    """A sampler that drops requests still keeps its connections open."""
    table = _make_table({'10.0.0.1:1'})
    table.record_failure(UpstreamId('u1'))
    assert 'u1' not in _choose_repeatedly(table, 10, in_flight=False)


def test_an_upstream_that_ended_gets_no_request_until_it_returns() -> None:
    """Another instance has found it ended; it is registered for seconds yet.

    With two attempts, a request would meet only upstreams that are gone while
    the others are idle.
    """
    table = _make_table(set())
    for name in ('u0', 'u3'):
        table.record_end(UpstreamId(name), 0)
    counts = _choose_repeatedly(table, 20, in_flight=False)
    assert set(counts) == {'u1', 'u2'}
    upstream = table.get(UpstreamId('u0'))
    assert upstream is not None
    table.remove(upstream.id)
    table.put(upstream)
    counts = _choose_repeatedly(table, 20, in_flight=False)
    assert set(counts) == {'u0'}


def test_an_end_before_the_present_start_counts_for_nothing() -> None:
    """The report was on its way while the upstream started again."""
    table = _make_table(set())
    upstream = table.get(UpstreamId('u0'))
    assert upstream is not None
    for incarnation in (1, 2):
        table.put(msgspec.structs.replace(upstream, incarnation=incarnation))
    table.record_end(UpstreamId('u0'), 1)
    counts = _choose_repeatedly(table, 20, in_flight=False)
    assert 'u0' in counts
