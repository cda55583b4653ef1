"""Decoding of the load that upstreams report with their answers."""

from unittest import mock

import pytest

from guavagate.clock import PausedClock
from guavagate.http1 import Answer, ConnectionPool
from guavagate.platform._dialect import PlatformDialect, decode_load
from guavagate.ports.load import LoadReport


@pytest.mark.parametrize(
    ('header', 'expected'),
    [
        ('2,1,6', LoadReport(running=2, waiting=1, slots=6)),
        (
            ' 2, 0 ,6, 250',
            LoadReport(running=2, waiting=0, slots=6, slowdown=2.5),
        ),
        ('2,,6', LoadReport(running=2, slots=6)),
        ('x,3,6,-100', LoadReport(waiting=3, slots=6)),
        ('2,1,6,1.5', LoadReport(running=2, waiting=1, slots=6)),
        ('2,1,0,100', LoadReport(running=2, waiting=1, slowdown=1)),
        ('2,1,6,100,7', LoadReport(running=2, waiting=1, slots=6, slowdown=1)),
        ('²,1,6', LoadReport(waiting=1, slots=6)),
        (f'{9:05000d},1', LoadReport(waiting=1)),
        ('', LoadReport()),
    ],
)
def test_a_figure_that_is_no_whole_number_is_left_out_alone(
    header: str, expected: LoadReport
) -> None:
    """One bad figure must not cost the instance the valid ones.

    No slots and a slowdown of zero can not be. Digits of other scripts and very
    long numbers are no figures.
    """
    assert decode_load(header) == expected


def test_busy_counts_what_the_valid_figures_tell() -> None:
    """Where requests wait, all slots are in use, whatever is running."""
    assert decode_load('2,1,6').busy == 3
    assert decode_load('2').busy == 2
    assert decode_load('-1,3,6').busy == 9
    assert decode_load('-1,0,6').busy is None
    assert decode_load('-1,3').busy is None


@pytest.mark.parametrize(
    ('text', 'seconds'), [('1500', 1.5), ('0', 0), ('', None), ('x', None)]
)
def test_a_health_answer_tells_how_long_an_upstream_is_cold(
    text: str, seconds: float | None
) -> None:
    """The header stands beside the one for the load, or alone."""
    pool, connection = ConnectionPool(PausedClock()), mock.Mock()
    answer = Answer(pool, '127.0.0.1:1', connection)
    answer.status = 200
    answer.headers = [(b'guavagate-cold-ms', text.encode())] if text else []
    report = PlatformDialect().read_probe(answer)
    assert report is not None
    assert report.cold_for == seconds
