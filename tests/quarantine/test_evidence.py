"""Which requests are stopped, and which only ran beside them."""

import random

import pytest

from guavagate.quarantine import RequestIdentity
from guavagate.quarantine._evidence import (
    EVIDENCE_SECONDS,
    MAX_ENDS,
    MAX_STOPS,
)
from tests.quarantine.bench import Bench
from tests.quarantine.common import identify

_LONG = 4.0


def test_the_third_end_stops_a_request() -> None:
    """Two may be chance."""
    bench = Bench()
    bench.end(identify('/bad'))
    bench.end(identify('/bad'))
    assert not bench.stopped
    bench.end(identify('/bad'))
    assert bench.stopped == [identify('/bad')]


def test_a_request_that_ran_beside_the_cause_is_not_stopped() -> None:
    """It was displaced with the cause, and met it again on two upstreams."""
    bench = Bench()
    for _ in range(3):
        bench.end(identify('/bad'), identify('/beside'))
    assert not bench.stopped
    bench.end(identify('/bad'))
    assert bench.stopped == [identify('/bad')]
    bench.end(identify('/beside'))
    bench.end(identify('/beside'))
    assert bench.stopped == [identify('/bad')]


def test_an_answered_request_is_innocent() -> None:
    """Its upstreams were killed; the fourth one answered it."""
    bench = Bench()
    bench.end(identify('/good'))
    bench.end(identify('/good'))
    bench.answer(identify('/good'))
    bench.end(identify('/good'))
    bench.end(identify('/good'))
    assert not bench.stopped


def test_an_answer_to_what_ran_beside_leaves_the_cause() -> None:
    """Both always ran together, until one was answered."""
    bench = Bench()
    for _ in range(3):
        bench.end(identify('/bad'), identify('/beside'))
    bench.answer(identify('/beside'))
    assert bench.stopped == [identify('/bad')]


def test_a_long_text_whose_samplers_are_killed_is_not_stopped() -> None:
    """In seconds it meets ends that it does not cause."""
    bench = Bench()
    for _ in range(MAX_ENDS - 1):
        bench.end(identify('/text'), seconds=_LONG)
    assert not bench.stopped
    bench.end(identify('/text'), seconds=_LONG)
    assert bench.stopped == [identify('/text')]


def test_a_request_that_varies_its_query_is_stopped() -> None:
    """The same body at the same path ends upstreams with any query."""
    bench = Bench()
    for number in range(3):
        bench.end(identify(f'/bad?page={number}'))
    assert bench.is_stopped(identify('/bad?page=7'))
    assert bench.is_stopped(identify('/bad'))
    assert not bench.is_stopped(identify('/good?page=1'))


def test_other_queries_of_a_path_run_on() -> None:
    """One search ends upstreams, and others at the same path are answered."""
    bench = Bench()
    for _ in range(3):
        bench.end(identify('/search?q=bad'))
        bench.answer(identify('/search?q=good'))
    bench.end(identify('/search?q=good'), identify('/search'))
    assert bench.stopped == [identify('/search?q=bad')]
    assert not bench.is_stopped(identify('/search'))


def test_old_ends_are_forgotten() -> None:
    """Upstreams under a daily request end once in a while."""
    bench = Bench()
    for _ in range(4):
        bench.end(identify('/daily'))
        bench.now += EVIDENCE_SECONDS / 2
    assert not bench.stopped
    bench.now += EVIDENCE_SECONDS
    bench.end(identify('/other'))
    assert not bench.evidence.has_content(identify('/daily').content)


def test_upstreams_that_crash_whatever_they_run_stop_few_requests() -> None:
    """A broken release ends under each request that it starts to run."""
    bench = Bench()
    for number in range(3 * MAX_STOPS):
        for _ in range(3):
            bench.end(identify(f'/{number}'), seconds=0)
            bench.now -= 2.9
    assert len(bench.stopped) == MAX_STOPS
    assert bench.evidence.is_saturated


class _Samplers:
    """Samplers with many slots, on which one request ends whatever it meets.

    Displaced requests go to the samplers that are left, at random.
    """

    def __init__(self, seed: int, samplers: int, slots: int) -> None:
        self._random = random.Random(seed)
        self.bench = Bench()
        self._slots = slots
        self._up: list[list[RequestIdentity]] = [[] for _ in range(samplers)]
        self._down = 0
        self._number = 0
        self.crashes = 0

    def run(self, bad: RequestIdentity, rounds: int) -> None:
        """Send the bad request in each round unless it is stopped."""
        for _ in range(rounds):
            self._fill()
            if not self.bench.is_stopped(bad):
                self._crash(bad)
            self._answer_some()
            if self._down > 1:
                self._down -= 1
                self._up.append([])

    def _fill(self) -> None:
        for running in self._up:
            while len(running) < self._slots:
                self._number += 1
                running.append(identify(f'/item/{self._number}'))

    def _crash(self, bad: RequestIdentity) -> None:
        displaced = self._up.pop(self._random.randrange(len(self._up)))
        self._down += 1
        self.crashes += 1
        self.bench.end(bad, *displaced)
        for request in displaced:
            self._random.choice(self._up).append(request)

    def _answer_some(self) -> None:
        """Answer a fifth of what runs between two crashes."""
        for running in self._up:
            for request in list(running):
                if self._random.random() < 0.2:
                    running.remove(request)
                    self.bench.answer(request)


@pytest.mark.parametrize(
    ('samplers', 'slots'), [(3, 2), (6, 12), (40, 64)], ids=str
)
def test_among_displaced_requests_only_the_cause_is_stopped(
    samplers: int, slots: int
) -> None:
    """Busy samplers end one after the other, and their requests move on."""
    bad = identify('/bad')
    for seed in range(30):
        load = _Samplers(seed, samplers, slots)
        load.run(bad, rounds=10)
        assert load.bench.stopped == [bad]
        assert load.crashes <= MAX_ENDS


def test_a_text_sent_again_to_an_upstream_that_ends_has_run_for_long() -> None:
    """Its connection breaks, and a second one before the end is known."""
    bench = Bench()
    for number in range(MAX_ENDS - 1):
        bench.now += 3
        bench.report(f'i-{number}', identify('/text'), seconds=_LONG)
        bench.report(f'i-{number}', identify('/text'), seconds=0)
    assert not bench.stopped
