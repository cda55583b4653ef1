"""Selection by the slowdown that upstreams report with their answers."""

import random
from collections import Counter

import pytest

from guavagate.clock import PausedClock
from guavagate.models import UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.routing import UpstreamTable
from tests.routing.test_routes import make_upstream

_A, _B, _C = (UpstreamId(each) for each in 'abc')


class _Bench:
    """Three upstreams of four slots, all of which have reported."""

    def __init__(self, *slowdowns: float, seed: int = 1) -> None:
        self.clock = PausedClock()
        self.idle = {_A, _B, _C}
        self.table = UpstreamTable(
            self.clock, ZoneId('z'), random.Random(seed), self.idle.__contains__
        )
        for name, slowdown in zip((_A, _B, _C), slowdowns, strict=True):
            self.table.put(make_upstream(name, address=name))
            self.table.record_report(name, LoadReport(slowdown=slowdown))

    def count(self, requests: int = 60, *, lasting: bool = False) -> Counter:
        """Return how many requests each upstream got, none kept in flight."""
        chosen = (
            self.table.choose(make_upstream('').service, set(), lasting=lasting)
            for _ in range(requests)
        )
        return Counter(each.id for each in chosen if each is not None)


@pytest.mark.parametrize(
    ('age', 'expected'), [(0, {_B, _C}), (0.4, {_B, _C}), (0.5, {_A, _B, _C})]
)
def test_a_slowed_upstream_is_avoided_while_the_report_is_fresh(
    age: float, expected: set[UpstreamId]
) -> None:
    """A neighbour uses the machine for 0.6 s; then the choice is as before."""
    bench = _Bench(2.5, 1, 1)
    bench.clock.advance(age)
    assert set(bench.count()) == expected


def test_the_weight_of_a_slowdown_decays() -> None:
    """Later, a request in flight elsewhere weighs more than the old report."""
    bench = _Bench(4, 1, 1)
    for name in (_B, _C):
        bench.table.load(name).in_flight = 1
    assert _A not in bench.count()
    bench.clock.advance(0.3)
    assert set(bench.count()) == {_A}


def test_a_slowdown_alone_opens_no_connection() -> None:
    """A new connection costs more than 47 ms of a request's time gain."""
    bench = _Bench(2.5, 1, 1)
    bench.idle -= {_B, _C}
    assert set(bench.count()) == {_A}


def test_work_that_lasts_ignores_slowdowns() -> None:
    """A stream of seconds outlives the spell that its upstream reported."""
    assert set(_Bench(2.5, 1, 1).count(lasting=True)) == {_A, _B, _C}


def test_instances_with_the_same_report_do_not_all_choose_the_fastest() -> None:
    """Sixty requests would queue for its slots, as none sees the others."""
    benches = [_Bench(0.95, 1, 1.05, seed=seed) for seed in range(60)]
    counts = sum((each.count(1) for each in benches), Counter())
    assert max(counts.values()) < 50


def test_a_false_slowdown_has_a_bounded_effect() -> None:
    """A low one does not outweigh requests, nor a high one failures."""
    bench = _Bench(1e-6, 1, 1)
    bench.table.load(_A).in_flight = 1
    assert _A not in bench.count()
    bench = _Bench(1e9, 1, 1)
    for name in (_B, _C):
        bench.table.record_failure(name)
    assert set(bench.count()) == {_A}


def test_a_newer_report_replaces_the_slowdown_if_it_has_figures() -> None:
    """An upstream that refuses as full may send no load with that answer."""
    bench = _Bench(2.5, 1, 1)
    bench.table.record_report(_A, LoadReport())
    assert _A not in bench.count()
    bench.table.record_report(_A, LoadReport(running=0))
    assert _A in bench.count()
