"""Tests that one odd value hides no other value of its body."""

import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavagate.helpers.lenient import (
    MAX_NESTING,
    decode_leniently,
    drop_deep_values,
)
from tests.helpers.odd_bodies import (
    DEEP_LIST,
    DEEP_OBJECT,
    HALF_CHARACTER,
    LONG_NUMBER,
)

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@pytest.mark.parametrize(
    'odd',
    [
        DEEP_LIST,
        DEEP_OBJECT,
        LONG_NUMBER,
        b'-%b' % LONG_NUMBER,
        b'1e999',
        b'-1e999',
        b'NaN',
        b'"\xff"',
        HALF_CHARACTER,
    ],
    ids=lambda odd: repr(odd[:8]),
)
def test_a_value_that_can_not_be_read_hides_no_other(odd: bytes) -> None:
    """Two odd values at once: making one readable must not spoil the other."""
    body = b'{"x":[%b],"nan":NaN,"deep":%b,"y":[1,"]"]}' % (odd, DEEP_LIST)
    decoded = decode_leniently(body, dict)
    assert decoded['y'] == [1, ']']
    assert decoded['nan'] is None
    assert decoded['deep'] is None


@given(_JSON, st.integers(0, 5))
def test_values_of_usual_depth_stay(value: object, nesting: int) -> None:
    """Whatever their strings contain."""
    text = json.dumps(value)
    assert drop_deep_values(text, nesting) == text


@given(_JSON, _JSON, st.integers(MAX_NESTING, 2 * MAX_NESTING))
def test_only_the_deep_value_is_dropped(
    first: object, last: object, depth: int
) -> None:
    """Its neighbours are the entries of other samplers."""
    deep = '[' * depth + ']' * depth
    text = f'{{"a":{json.dumps(first)},"b":{deep},"c":{json.dumps(last)}}}'
    cut = json.loads(drop_deep_values(text, 1))
    assert cut == {'a': first, 'b': None, 'c': last}


@pytest.mark.parametrize(
    'text',
    ['"%s' % (r'\"' * 500_000), '[0,' * 300_000, '[]' * 500_000, '"' * 999_999],
    ids=['string without end', 'lists', 'empty lists', 'quotes'],
)
def test_a_megabyte_takes_a_moment(text: str) -> None:
    """The process does nothing else meanwhile."""
    before = time.process_time()
    drop_deep_values(text, 1)
    assert time.process_time() - before < 3
