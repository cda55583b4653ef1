"""A service whose upstreams all time out, and its recovery."""

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream

_SERVICE = ServiceId('s')
_NAMES = tuple(UpstreamId(name) for name in 'abc')


def _make_table(timeouts: int) -> UpstreamTable:
    """Return upstreams with this many consecutive timeouts."""
    table = UpstreamTable(PausedClock(), ZoneId('z'))
    for name in _NAMES:
        table.put(make_upstream(name))
        for _ in range(timeouts):
            table.record_timeout(name)
    return table


def _send_burst(table: UpstreamTable, requests: int) -> list[UpstreamId | None]:
    """Return the upstreams of requests that arrive before any response."""
    chosen = []
    for _ in range(requests):
        upstream = table.choose(_SERVICE, set())
        if upstream is not None:
            table.load(upstream.id).in_flight += 1
        chosen.append(None if upstream is None else upstream.id)
    return chosen


def test_an_unavailable_service_gets_one_request_per_upstream() -> None:
    """Of a hundred requests, three probe and the others fail at once."""
    chosen = _send_burst(_make_table(timeouts=2), 100)
    assert {each for each in chosen if each is not None} == set(_NAMES)
    assert chosen.count(None) == 97


def test_single_lost_responses_leave_the_service_available() -> None:
    """Each upstream has lost one response, as happens to a few percent."""
    assert None not in _send_burst(_make_table(timeouts=1), 12)


def test_one_responding_upstream_keeps_the_service_available() -> None:
    """The other upstreams still time out, but no request is rejected."""
    table = _make_table(timeouts=5)
    table.record_success(_NAMES[0], 0.02)
    assert None not in _send_burst(table, 12)


def test_the_first_response_restores_the_service() -> None:
    """Probes continue during the outage, so recovery is noticed."""
    table = _make_table(timeouts=3)
    first = table.choose(_SERVICE, set())
    assert first is not None
    table.record_success(first.id, 0.02)
    assert None not in _send_burst(table, 6)


def test_a_new_upstream_restores_the_service() -> None:
    """Hanging upstreams are replaced one after another."""
    table = _make_table(timeouts=4)
    table.put(make_upstream('d'))
    assert None not in _send_burst(table, 6)
