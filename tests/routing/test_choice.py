"""Where a request goes when upstreams are equal, near, far or connected."""

import random
from collections import Counter

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable

_DESK = ServiceId('desk')
_ZONES = ('z1', 'z2', 'z3', 'z1')


def _make_table(connected: set[str]) -> UpstreamTable:
    """Return four upstreams of six slots, two of them near."""
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


def _ask(table: UpstreamTable, requests: int, *, hold: bool) -> Counter[str]:
    """Return how many requests each upstream got."""
    given: Counter[str] = Counter()
    for _ in range(requests):
        chosen = table.choose(_DESK, set())
        assert chosen is not None
        given[chosen.id] += 1
        table.load(chosen.id).in_flight += int(hold)
    return given


def test_a_request_now_and_then_stays_on_the_connection_that_is_kept() -> None:
    """Each of many instances asks seldom, and one upstream at a time.

    Without the preference it opens a connection to each upstream in turn, and
    has them idle until the upstream closes them.
    """
    assert _ask(_make_table({'10.0.0.1:1'}), 20, hold=False) == {'u1': 20}


def test_a_near_one_is_taken_when_none_is_connected() -> None:
    """Of upstreams that are equally free the way decides."""
    given = _ask(_make_table(set()), 20, hold=False)
    assert set(given) == {'u0', 'u3'}


def test_a_burst_spreads_although_one_is_connected() -> None:
    """Twelve requests at once must not queue behind one connection."""
    given = _ask(_make_table({'10.0.0.1:1'}), 12, hold=True)
    assert len(given) == 4
    assert max(given.values()) <= 5


def test_one_that_fails_is_left_although_it_is_connected() -> None:
    """A sampler that drops requests keeps its connections all the same."""
    table = _make_table({'10.0.0.1:1'})
    table.record_failure(UpstreamId('u1'))
    assert 'u1' not in _ask(table, 10, hold=False)
