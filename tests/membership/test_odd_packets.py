"""Datagrams with odd contents don't end the tasks of the membership."""

import itertools
import socket as stdlib
from collections.abc import Iterator
from typing import Any, Final

import gevent
import pytest
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.membership import Membership, MemberState, _packet
from guavagate.membership._packet import (
    Contact,
    Packet,
    PacketType,
    Update,
    decode_packet,
    encode_packet,
)
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings
from tests.helpers.odd_bodies import ODD_MSGPACK
from tests.membership.test_members import make_settings

_A: Final = InstanceId('a')
_X: Final = InstanceId('x')
_ODD_ADDRESSES: Final = (
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    'nowhere',
    '',
    '127.0.0.1\x00:1',
    f'127.0.0.1:{"9" * 5000}',
)
_MAX_BODY_BYTES: Final = 60_000
_numbers: Final = itertools.count(1)


class _Setup:
    """A membership and a raw peer of it."""

    def __init__(self) -> None:
        settings = make_settings('a', [])
        self.members = Membership(settings, SystemClock())
        self.members.start()
        host, _, port = settings.peer_address.rpartition(':')
        self._address = (host, int(port))
        self._sock = socket.socket(stdlib.AF_INET, stdlib.SOCK_DGRAM)
        self._sock.bind(('127.0.0.1', 0))

    def send(self, datagram: bytes) -> None:
        """Send a datagram."""
        self._sock.sendto(datagram, self._address)

    def is_answered(self) -> bool:
        """Return whether a probe is acknowledged."""
        number = next(_numbers)
        self.send(_encode(act=PacketType.PING, sequence=number))
        with gevent.Timeout(1, exception=False):
            while True:
                packet = decode_packet(self._sock.recv(65_536), b'')
                assert packet is not None
                if (packet.act, packet.sequence) == (PacketType.ACK, number):
                    return True
        return False

    def stop(self) -> None:
        """Stop the membership."""
        self._sock.close()
        self.members.stop()


def _encode(**fields: Any) -> bytes:
    values = {
        'version': 1,
        'act': PacketType.GOSSIP,
        'sender': _X,
        'state': MemberState.ALIVE.value,
        'incarnation': 1,
    }
    return encode_packet(Packet(**{**values, **fields}), b'')


def _claim(name: str, **fields: Any) -> Update:
    values = {
        'id': InstanceId(name),
        'state': MemberState.ALIVE.value,
        'incarnation': 5,
        'by': _X,
        'contact': _make_contact('127.0.0.1:9'),
    }
    return Update(**{**values, **fields})


def _make_contact(address: str) -> Contact:
    return Contact(ZoneId('z'), RegionId('r'), address, '', 1)


@pytest.fixture
def setup() -> Iterator[_Setup]:
    """Return a membership that stops after the test."""
    running = _Setup()
    with gevent.Timeout(10):
        yield running
    running.stop()


@pytest.mark.parametrize('name', list(ODD_MSGPACK))
def test_bytes_that_are_no_packet_are_dropped(setup: _Setup, name: str) -> None:
    """The instance received nothing more, and counted as lost."""
    body = ODD_MSGPACK[name][:_MAX_BODY_BYTES]
    setup.send(_packet._authenticate(body, b'') + body)
    assert setup.is_answered()


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 5},
        {'state': -1},
        {'incarnation': 2**64 - 1},
        {'updates': (_claim('b', state=9),)},
        {'updates': (_claim('b', state=0),)},
        {'updates': (_claim('a', state=3, incarnation=2**64 - 1),)},
        {'updates': (_claim('b', state=3, incarnation=2**64 - 1),)},
        {'act': 99},
    ],
    ids=map(str, itertools.count()),
)
def test_unknown_states_and_numbers_end_no_task(
    setup: _Setup, fields: dict[str, Any]
) -> None:
    """A later release may know more states than this one.

    An incarnation that can't be overruled could not be encoded either.
    """
    for act in (PacketType.GOSSIP, PacketType.PAGE, PacketType.ACK):
        setup.send(_encode(**{'act': act, **fields}))
    assert setup.is_answered()
    gevent.sleep(0.3)
    assert setup.is_answered()


def test_a_claim_beside_an_odd_one_is_applied(setup: _Setup) -> None:
    """Otherwise one odd claim would hide those that come with it."""
    setup.send(_encode(updates=(_claim('b', state=9), _claim('c'))))
    assert setup.is_answered()
    assert setup.members.state(InstanceId('c')) is MemberState.ALIVE
    assert setup.members.state(InstanceId('b')) is None


@pytest.mark.parametrize('address', _ODD_ADDRESSES)
def test_addresses_that_are_none_end_no_task(
    setup: _Setup, address: str
) -> None:
    """Sending to such an address ended the task that probes or receives."""
    claim = _claim('b', contact=_make_contact(address))
    setup.send(_encode(updates=(claim,)))
    setup.send(
        _encode(
            act=PacketType.PING_REQUEST,
            target=InstanceId('b'),
            address=address,
            sequence=1,
        )
    )
    listed = PeerSettings(
        id=InstanceId('d'),
        availability_zone=ZoneId('z'),
        region=RegionId('r'),
        peer_address=address,
        http_address='',
    )
    setup.members.update_candidates([listed])
    gevent.sleep(0.5)
    assert setup.is_answered()
    assert all(not task.dead for task in setup.members._tasks)
