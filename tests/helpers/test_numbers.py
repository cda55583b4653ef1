"""Numbers from outside are decoded or refused, and never raise otherwise."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavagate.exceptions import BadNumberError
from guavagate.helpers.numbers import (
    floor_number,
    parse_whole_number,
    read_whole_number,
)


@pytest.mark.parametrize(
    'text',
    ['\u00b2', '\u0664', '9' * 5_000, '1_000', '+1', ' 1', '-1', '1.0', ''],
    ids=lambda text: text[:5],
)
def test_other_texts_are_no_number(text: str) -> None:
    """Some passed the check before `int`, which then raised an error."""
    assert parse_whole_number(text) is None


@given(text=st.text(max_size=30) | st.integers(0, 10**18 - 1).map(str))
def test_a_number_is_what_int_makes_of_it(text: str) -> None:
    """No text raises an error, and none is misread."""
    number = parse_whole_number(text)
    assert number is None or str(number) == (text.lstrip('0') or '0')


def test_a_bad_number_names_its_field_and_range() -> None:
    """The sender learns what to correct, and long values stay out of logs."""
    with pytest.raises(BadNumberError) as raised:
        read_whole_number('after', '9' * 5_000, 10)
    assert raised.value.problem.startswith("after is '999")
    assert len(str(raised.value)) < 120
    assert 'from 0 to 10' in raised.value.remedy
    assert read_whole_number('after', '10', 10) == 10


def test_a_decoded_number_out_of_range_counts_as_missing() -> None:
    """It could not be sent to peers."""
    assert [floor_number(each) for each in (2.5, 1e300, -3.0)] == [2, 0, -3]
