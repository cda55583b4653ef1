"""Peers whose bytes are no message don't end the tasks that read them."""

from collections.abc import Callable, Iterator
from typing import Final

import gevent
import msgspec
import pytest
from zmq import green as zmq

from guavagate.exceptions import LinkError, LinkRefusedError
from guavagate.links import ZmqBus
from guavagate.links._envelope import (
    WIRE_VERSION,
    Envelope,
    EnvelopeType,
    decode_envelope,
    encode_envelope,
)
from guavagate.models import InstanceId
from tests.helpers.odd_bodies import ODD_MSGPACK
from tests.links.test_zmq_bus import A, Ask, B, Make, Told, echo
from tests.links.test_zmq_bus import make_addresses as make_addresses
from tests.links.test_zmq_bus import make_bus as make_bus

_LIMIT_SECONDS: Final = 5


@pytest.fixture(autouse=True)
def limit() -> Iterator[None]:
    """Limit the time of a test that would wait for ever if it failed."""
    with gevent.Timeout(4 * _LIMIT_SECONDS):
        yield


@pytest.mark.parametrize('name', list(ODD_MSGPACK))
def test_a_server_goes_on_after_an_odd_frame(
    make: Make, addresses: dict[InstanceId, str], name: str
) -> None:
    """The task that reads the messages of all peers ended with it."""
    client, server = make(A, b''), make(B, b'')
    server.register(Ask, echo)
    odd = ODD_MSGPACK[name]
    body = Envelope(
        WIRE_VERSION,
        EnvelopeType.REQUEST,
        1,
        'x',
        Ask.__name__,
        msgspec.Raw(odd or b'\xc1'),
    )
    with zmq.Context() as context, context.socket(zmq.DEALER) as peer:
        peer.connect(f'tcp://{addresses[B]}')
        peer.send(odd)
        peer.send(encode_envelope(body))
        gevent.sleep(0.2)
    assert client.request(B, Ask(text='x'), Told, 5).text == 'a: x'


def _answer_once(
    address: str, make_answer: Callable[[Envelope], Envelope]
) -> gevent.Greenlet:
    """Start a peer that gives one odd answer, and refuses the rest."""
    context = zmq.Context()
    server = context.socket(zmq.ROUTER)
    server.bind(f'tcp://{address}')

    def run() -> None:
        is_odd = True
        with context, server:
            while True:
                peer, frame = server.recv_multipart()
                asked = decode_envelope(frame)
                if asked.act != EnvelopeType.REQUEST:
                    continue
                answer = make_answer(asked) if is_odd else _refuse(asked)
                is_odd = False
                server.send_multipart([peer, encode_envelope(answer)])

    return gevent.spawn(run)


def _refuse(asked: Envelope) -> Envelope:
    error = {'kind': 'LinkRefusedError', 'problem': 'full', 'remedy': 'wait'}
    body = msgspec.Raw(msgspec.msgpack.encode(error))
    return Envelope(
        WIRE_VERSION, EnvelopeType.REFUSED, asked.id, 'b', body=body
    )


@pytest.mark.parametrize('act', [EnvelopeType.REPLY, EnvelopeType.ERROR])
@pytest.mark.parametrize(
    'body',
    [
        b'\xc0',
        b'\x80',
        b'\x91' * 100_000,
        msgspec.msgpack.encode(
            {
                'kind': 'RefusalError',
                'problem': 'x',
                'remedy': 'y',
                'fields': {'not_run': 'perhaps'},
            }
        ),
    ],
    ids=['nil', 'empty', 'deep', 'unknown state'],
)
def test_an_odd_answer_fails_its_request_only(
    make: Make,
    addresses: dict[InstanceId, str],
    act: EnvelopeType,
    body: bytes,
) -> None:
    """Its error ended the link's task, or reached a caller as another type.

    The request may have been handled, and the link carries the next one.
    """
    peer = _answer_once(
        addresses[B],
        lambda asked: Envelope(
            WIRE_VERSION, act, asked.id, 'b', body=msgspec.Raw(body)
        ),
    )
    client = make(A, b'')
    with pytest.raises(LinkError) as caught:
        _ask(client)
    assert not isinstance(caught.value, LinkRefusedError)
    with pytest.raises(LinkRefusedError, match='full'):
        _ask(client)
    peer.kill()


def _ask(client: ZmqBus) -> None:
    client.request(B, Ask(text='x'), Told, _LIMIT_SECONDS)
