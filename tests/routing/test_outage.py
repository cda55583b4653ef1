"""A service of which no upstream answers, and the way back."""

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream

_SERVICE = ServiceId('s')
_NAMES = tuple(UpstreamId(name) for name in 'abc')


def _make(silences: int) -> UpstreamTable:
    """Return upstreams that have been silent so often."""
    table = UpstreamTable(PausedClock(), ZoneId('z'))
    for name in _NAMES:
        table.put(make_upstream(name))
        for _ in range(silences):
            table.record_timeout(name)
    return table


def _burst(table: UpstreamTable, requests: int) -> list[UpstreamId | None]:
    """Return where requests go that all come before any answer."""
    chosen = []
    for _ in range(requests):
        upstream = table.choose(_SERVICE, set())
        if upstream is not None:
            table.load(upstream.id).in_flight += 1
        chosen.append(None if upstream is None else upstream.id)
    return chosen


def test_a_dark_service_is_asked_by_one_request_each() -> None:
    """A hundred callers come; three find out, the others are told at once."""
    chosen = _burst(_make(silences=2), 100)
    assert {each for each in chosen if each is not None} == set(_NAMES)
    assert chosen.count(None) == 97


def test_lost_answers_make_no_service_dark() -> None:
    """Each upstream has lost one answer, as a few in a hundred are."""
    assert None not in _burst(_make(silences=1), 12)


def test_one_that_answers_keeps_the_service_open() -> None:
    """The others are out of use as before; nobody is refused for them."""
    table = _make(silences=5)
    table.record_success(_NAMES[0], 0.02)
    assert None not in _burst(table, 12)


def test_the_first_answer_ends_it() -> None:
    """The requests that find out go on all the time."""
    table = _make(silences=3)
    first = table.choose(_SERVICE, set())
    assert first is not None
    table.record_success(first.id, 0.02)
    assert None not in _burst(table, 6)


def test_a_new_upstream_is_not_dark() -> None:
    """Those that hang are replaced one after the other."""
    table = _make(silences=4)
    table.put(make_upstream('d'))
    assert None not in _burst(table, 6)
