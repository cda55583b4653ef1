"""Tests that an address that is none means that nothing was sent."""

import pytest

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamNotStartedError
from guavagate.http1 import ConnectionPool, Request, refuses_connections
from guavagate.integrations._http import Connections

_NO_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:x',
    '127.0.0.1:-1',
    '127.0.0.1',
    '',
    f'127.0.0.1:{"9" * 5000}',
    f'{"a" * 300}:80',
    'a\x00b:80',
)


@pytest.mark.parametrize('address', _NO_ADDRESSES)
def test_nothing_is_sent_to_what_is_no_address(address: str) -> None:
    """An error of another type ended the task that sent the request.

    Some sockets take a port modulo 65,536, and a long name can't be encoded.
    """
    request = Request('GET', '/', [(b'Host', b'x')])
    pool = ConnectionPool(SystemClock())
    with pytest.raises(UpstreamNotStartedError):
        pool.send(address, request, timeout=2)
    with pytest.raises(UpstreamNotStartedError):
        Connections(SystemClock()).send(address, 'GET', '/', timeout=2)
    assert not refuses_connections(address)
