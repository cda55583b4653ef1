"""Decoding of the load that upstreams report with their answers."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from guavagate.platform._dialect import decode_load
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
        ('-1,3,6,100', LoadReport(waiting=3, slots=6, slowdown=1)),
        ('x,3,6,-100', LoadReport(waiting=3, slots=6)),
        ('2,1,6,1.5', LoadReport(running=2, waiting=1, slots=6)),
        ('2,1,6,0', LoadReport(running=2, waiting=1, slots=6)),
        ('2,1,0,100', LoadReport(running=2, waiting=1, slowdown=1)),
        ('2,1,6,100,7', LoadReport(running=2, waiting=1, slots=6, slowdown=1)),
        ('', LoadReport()),
    ],
)
def test_a_figure_that_is_no_whole_number_is_left_out_alone(
    header: str, expected: LoadReport
) -> None:
    """One bad figure must not cost the instance the valid ones.

    No slots and a slowdown of zero can not be: a service divides by the one,
    and work takes time.
    """
    assert decode_load(header) == expected


@given(st.text(alphabet='0123456789,-+ ._x²٣'))
@example(f'{9:05000d},1,6')
@example('²,1,6')
def test_no_header_raises(header: str) -> None:
    """Digits of other scripts and very long numbers are no figures."""
    report = decode_load(header)
    assert report.running is None or 0 <= report.running < 10**9


@pytest.mark.parametrize(
    ('report', 'busy'),
    [
        (LoadReport(running=2, waiting=1, slots=6), 3),
        (LoadReport(running=2), 2),
        (LoadReport(waiting=3, slots=6), 9),
        (LoadReport(waiting=0, slots=6), None),
        (LoadReport(waiting=3), None),
        (LoadReport(slowdown=2.5), None),
    ],
)
def test_busy_counts_what_the_valid_figures_tell(
    report: LoadReport, busy: int | None
) -> None:
    """Where requests wait, all slots are in use, whatever is running."""
    assert report.busy == busy
