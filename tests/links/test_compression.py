"""Tests of the compression of large bodies between zones."""

import random
import zlib
from collections.abc import Callable

import msgspec
import pytest

from guavagate.exceptions import RefusalError
from guavagate.links import Message, ZmqBus, _link, _server
from guavagate.links._compression import (
    MIN_BODY_BYTES,
    compress_body,
    decode_body,
)
from guavagate.links._envelope import Envelope, decode_envelope, encode_envelope
from guavagate.models import InstanceId, NotRun
from guavagate.util.distance import Distance
from tests.links.test_message_traffic import make_buses as make_buses
from tests.links.test_zmq_bus import Ask, B, Told, echo

_TEXT = ' '.join(f'word{number % 97}' for number in range(9000))
_NOISE = random.Random(1).randbytes(40_000).hex()
Buses = tuple[ZmqBus, ZmqBus]


def _locate_near(peer: InstanceId) -> Distance:
    return Distance.SAME_ZONE


def _count_bytes(bus: ZmqBus) -> int:
    return sum(count.size for _, count in bus.messages)


def _ask(buses: Buses, text: str) -> int:
    """Send a text and get it back; return the bytes of both frames."""
    client, handler = buses
    handler.register(Ask, echo)
    client.request(B, Ask(text='x'), Told, 5)
    before = _count_bytes(client)
    assert client.request(B, Ask(text=text), Told, 5).text == f'a: {text}'
    return _count_bytes(client) - before


def test_large_texts_between_zones_shrink(buses: Buses) -> None:
    """Replicas of texts and pages are most of the bytes between zones."""
    assert _ask(buses, _TEXT) < 0.3 * 2 * len(_TEXT)


@pytest.mark.parametrize('text', [_NOISE, 'x' * 3000], ids=['random', 'small'])
def test_other_bodies_are_sent_as_they_are(buses: Buses, text: str) -> None:
    """They would take processor time and save little."""
    assert _ask(buses, text) > 2 * len(text)


def test_texts_within_a_zone_are_sent_as_they_are(buses: Buses) -> None:
    """Bytes within a zone cost less than the processor time."""
    for bus in buses:
        bus.messages.set_locator(_locate_near)
    assert _ask(buses, _TEXT) > 2 * len(_TEXT)


@pytest.mark.parametrize('older', [_link, _server], ids=['client', 'server'])
def test_older_release_gets_no_compressed_body(
    buses: Buses, monkeypatch: pytest.MonkeyPatch, older: object
) -> None:
    """During a rolling restart it could decode neither requests nor replies."""
    monkeypatch.setattr(older, 'ZLIB', 0)
    monkeypatch.setattr(older, 'compress_body', lambda body: None)
    assert _ask(buses, _TEXT) > 2 * len(_TEXT)
    old = msgspec.msgpack.encode([1, 1, 7, 'a', 'Ask', {}, 5, -1.0])
    envelope = decode_envelope(old)
    assert (envelope.id, envelope.codec, envelope.accepts) == (7, 0, 0)


def test_large_error_arrives(buses: Buses) -> None:
    """Errors are decoded elsewhere than replies."""

    def refuse(sender: InstanceId, message: Message) -> Message:
        raise RefusalError(_TEXT, 'retry', reason='full', not_run=NotRun.TRUE)

    client, handler = buses
    handler.register(Ask, refuse)
    with pytest.raises(RefusalError, match='word96'):
        client.request(B, Ask(text=_TEXT), Told, 5)


def _make_envelope(packed: bytes, codec: int = 1) -> Envelope:
    body = msgspec.Raw(msgspec.msgpack.encode(packed))
    frame = encode_envelope(Envelope(1, 1, body=body, codec=codec))
    return decode_envelope(frame)


@pytest.mark.parametrize(
    'make',
    [
        lambda packed: _make_envelope(packed[:-9]),
        lambda packed: _make_envelope(b'other'),
        lambda packed: _make_envelope(packed, codec=2),
        lambda packed: _make_envelope(zlib.compress(bytes(70_000_000), 1)),
    ],
    ids=['cut', 'corrupt', 'unknown codec', 'too long'],
)
def test_bad_bodies_are_refused(make: Callable[[bytes], Envelope]) -> None:
    """One of these must neither end the socket's task nor fill the memory."""
    packed = zlib.compress(_TEXT.encode())
    assert decode_body(_make_envelope(packed)) == _TEXT.encode()
    with pytest.raises(msgspec.MsgspecError):
        decode_body(make(packed))


def test_body_is_judged_by_its_middle() -> None:
    """Ids and numbers at the start of a message compress well."""
    assert compress_body((_NOISE[:1000] + _TEXT).encode()) is not None
    assert compress_body((_TEXT[:MIN_BODY_BYTES] + _NOISE).encode()) is None
