"""Selection by the slowdown that upstreams report with their answers."""

import random
from collections import Counter

import pytest

from guavagate.clock import PausedClock
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable
from guavagate.routing._choice import SLOWDOWN_MAX_AGE_SECONDS

_DESK = ServiceId('desk')
_NAMES = ('u0', 'u1', 'u2')
_ALL = frozenset(_NAMES)


def _make_table(
    clock: PausedClock | None = None,
    connected: frozenset[str] = _ALL,
    seed: int = 1,
) -> UpstreamTable:
    """Return three upstreams of six slots in the same zone."""
    table = UpstreamTable(
        clock or PausedClock(),
        ZoneId('z'),
        random.Random(seed),
        connected.__contains__,
    )
    for name in _NAMES:
        table.put(
            Upstream(
                id=UpstreamId(name),
                service=_DESK,
                address=name,
                zone=ZoneId('z'),
                slots=6,
            )
        )
    return table


def _report(table: UpstreamTable, *slowdowns: float | None) -> None:
    for name, slowdown in zip(_NAMES, slowdowns, strict=False):
        table.record_report(UpstreamId(name), LoadReport(slowdown=slowdown))


def _count(
    table: UpstreamTable, requests: int = 60, *, lasting: bool = False
) -> Counter[str]:
    """Return how many requests each upstream got, none kept in flight."""
    chosen = (
        table.choose(_DESK, set(), lasting=lasting) for _ in range(requests)
    )
    return Counter(each.id for each in chosen if each is not None)


def test_a_slowed_upstream_is_avoided_while_the_report_is_fresh() -> None:
    """A neighbour uses the machine: work takes two and a half times as long.

    The preference ends with the report's age; a spell lasts 0.6 s.
    """
    clock = PausedClock()
    table = _make_table(clock)
    _report(table, 2.5, 1.0, 1.0)
    assert set(_count(table)) == {'u1', 'u2'}
    clock.advance(SLOWDOWN_MAX_AGE_SECONDS)
    assert set(_count(table)) == set(_NAMES)


@pytest.mark.parametrize('age', [0, 0.2, 0.4])
def test_the_weight_of_a_slowdown_decays_with_its_age(age: float) -> None:
    """An old report of a slow upstream weighs less than a request in flight."""
    clock = PausedClock()
    table = _make_table(clock)
    _report(table, 2.5)
    clock.advance(age)
    for name in ('u1', 'u2'):
        table.load(UpstreamId(name)).in_flight = 1
    assert set(_count(table)) == ({'u0'} if age else {'u1', 'u2'})


def test_a_slowdown_alone_opens_no_connection() -> None:
    """A new connection costs more than 47 ms of a request's time gains."""
    table = _make_table(connected=frozenset(('u0',)))
    _report(table, 2.5, 1.0, 1.0)
    assert set(_count(table)) == {'u0'}


def test_work_that_lasts_ignores_slowdowns() -> None:
    """A stream of seconds outlives the spell that its upstream reported."""
    table = _make_table()
    _report(table, 2.5, 1.0, 1.0)
    assert set(_count(table, lasting=True)) == set(_NAMES)


def test_instances_with_the_same_report_do_not_all_choose_the_fastest() -> None:
    """Sixty instances receive the same reports, and none sees the others.

    If each took the fastest, 60 requests would queue for its six slots.
    """
    counts: Counter[str] = Counter()
    for seed in range(60):
        table = _make_table(seed=seed)
        _report(table, 0.95, 1.0, 1.05)
        counts += _count(table, 1)
    assert max(counts.values()) < 50


@pytest.mark.parametrize('false_figure', [1e-6, 1e9])
def test_a_false_slowdown_has_a_bounded_effect(false_figure: float) -> None:
    """An upstream reports nonsense, low to attract work or high to avoid it.

    At the low one, requests in flight still count; the high one is still used
    once the others have failed.
    """
    table = _make_table()
    _report(table, false_figure, 1.0, 1.0)
    if false_figure < 1:
        table.load(UpstreamId('u0')).in_flight = 2
        assert 'u0' not in _count(table)
    else:
        table.record_failure(UpstreamId('u1'))
        table.record_failure(UpstreamId('u2'))
        assert set(_count(table)) == {'u0'}


def test_a_report_without_a_slowdown_replaces_the_older_one() -> None:
    """The service no longer reports it; the choice is as without it."""
    table = _make_table()
    _report(table, 2.5, 1.0, 1.0)
    table.record_report(UpstreamId('u0'), LoadReport(running=0, waiting=0))
    assert set(_count(table)) == set(_NAMES)


def test_an_answer_without_figures_leaves_the_report() -> None:
    """An upstream that refuses as full may send no load with that answer."""
    table = _make_table()
    _report(table, 2.5, 1.0, 1.0)
    table.record_report(UpstreamId('u0'), LoadReport())
    assert 'u0' not in _count(table)
