"""Tests that an address from outside raises no error but `ValueError`."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavagate.helpers.addresses import require_ip_address, split_address

_NO_ADDRESSES = (
    '',
    ':',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:x',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1: 80',
    '10.0.0.1:65536',
    '10.0.0.1:\u0662',
    ':80',
    f'10.0.0.1:{"9" * 5000}',
    '10.0.0.1\r\nX:80',
    'a b:80',
    '\xe9:80',
    'a\x00:80',
    'a..b:80',
    f'{"a" * 64}.b:80',
    f'{"a." * 130}b:80',
)


@pytest.mark.parametrize('text', _NO_ADDRESSES)
def test_what_is_no_address_is_refused(text: str) -> None:
    """Sockets raise other errors for it, or take another port."""
    with pytest.raises(ValueError, match='HOST:PORT'):
        split_address(text)


@pytest.mark.parametrize(
    'text', ['host:80', 'fe80::1%eth0:80', '10.0.0.256:80', '[::1]:80']
)
def test_a_name_is_no_ip_address(text: str) -> None:
    """It would be looked up, or mean another machine elsewhere."""
    split_address(text)
    with pytest.raises(ValueError, match=r'\w'):
        require_ip_address(text)


@pytest.mark.parametrize('text', ['10.0.0.1:1', '10.0.0.1:65535', '::1:80'])
def test_an_ip_address_with_a_port_is_one(text: str) -> None:
    """Up to the largest port."""
    require_ip_address(text)


@given(st.text())
def test_any_text_raises_only_value_errors(text: str) -> None:
    """Any other error would end the task that connects."""
    for check in (split_address, require_ip_address):
        with contextlib.suppress(ValueError):
            check(text)
