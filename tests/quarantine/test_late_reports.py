"""Each end of an upstream counts once, whoever reports it and however late."""

from guavagate.quarantine._evidence import MAX_ENDS
from tests.quarantine.bench import SHORT, Bench
from tests.quarantine.common import identify


def test_reports_of_one_end_count_once() -> None:
    """Three instances had sent the same request to one upstream."""
    bench = Bench()
    name = bench.end(identify('/bad'))
    for _ in range(3):
        bench.report(name, identify('/bad'))
    assert not bench.stopped


def test_a_late_report_of_what_ran_beside_a_cause_counts_for_nothing() -> None:
    """An instance reports its requests after the cause is known."""
    bench = Bench()
    names = [bench.end(identify('/bad')) for _ in range(3)]
    for name in names:
        bench.report(name, identify('/beside'))
    assert bench.stopped == [identify('/bad')]


def test_an_upstream_that_returns_at_once_ends_several_times() -> None:
    """It has no incarnation, and a supervisor starts it again quickly."""
    bench = Bench()
    for _ in range(3):
        bench.report('i-1', identify('/bad'), incarnation=0)
        bench.now += 0.3
    assert bench.stopped == [identify('/bad')]


def test_a_report_that_took_long_is_about_the_same_end() -> None:
    """Another instance's requests there, passed on by the second hub."""
    bench = Bench()
    bench.report('i-1', identify('/bad'))
    bench.now += 0.1
    bench.report('i-1', identify('/bad'))
    bench.now += 0.1
    bench.report('i-1', identify('/bad'), seconds=0.8)
    assert not bench.stopped


def test_a_report_that_arrives_again_counts_for_nothing() -> None:
    """A hub was paused, and passes on seconds later what all have had."""
    bench = Bench()
    for number in range(2):
        bench.report(
            f'i-{number}', identify('/text'), incarnation=0, report=f'r{number}'
        )
    bench.now += 5
    for number in range(2):
        bench.report(
            f'i-{number}', identify('/text'), incarnation=0, report=f'r{number}'
        )
    assert not bench.stopped


def test_a_report_that_arrives_after_an_answer_counts_for_nothing() -> None:
    """The request has been answered since, and the report is a copy."""
    bench = Bench()
    bench.report('i-1', identify('/text'), report='r1')
    bench.answer(identify('/text'))
    bench.report('i-1', identify('/text'), report='r1')
    assert not bench.evidence.has_content(identify('/text').content)


def test_reports_of_an_earlier_release_are_not_copies() -> None:
    """They have no id, and two instances had sent different requests."""
    bench = Bench()
    bench.report('i-1', identify('/text'), report='')
    bench.report('i-1', identify('/other'), report='')
    assert bench.evidence.has_content(identify('/other').content)


def test_a_process_ends_once() -> None:
    """An instance that was cut off tells of its requests seconds later."""
    bench = Bench()
    for number in range(2):
        bench.report(f'i-{number}', identify('/text'))
    bench.now += 5
    for number in range(2):
        bench.report(f'i-{number}', identify('/text'))
    assert not bench.stopped


def test_a_run_from_before_an_end_has_met_that_end() -> None:
    """Paused instances find their connections broken seconds later."""
    bench = Bench()
    for _ in range(MAX_ENDS):
        bench.report(
            'i-1',
            identify('/text'),
            seconds=bench.now + SHORT,
            incarnation=0,
        )
        bench.now += 3
    assert not bench.stopped
