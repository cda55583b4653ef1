"""Tests of the bus over real sockets on loopback."""

import socket
from collections.abc import Callable, Iterator

import gevent
import pytest
from gevent.event import Event

from guavagate.clock import SystemClock
from guavagate.exceptions import LinkError, LinkRefusedError, RefusalError
from guavagate.links import Message, ZmqBus, _server
from guavagate.models import InstanceId, NotRun

A = InstanceId('a')
B = InstanceId('b')
Make = Callable[..., ZmqBus]


class Ask(Message, frozen=True, kw_only=True):
    """A request of the old release."""

    text: str


class Told(Message, frozen=True, kw_only=True):
    """A reply."""

    text: str


def free_address() -> str:
    """Return a free loopback address."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@pytest.fixture(name='addresses')
def make_addresses() -> dict[InstanceId, str]:
    """Return the addresses of the two instances."""
    return {A: free_address(), B: free_address()}


@pytest.fixture(name='make')
def make_bus(addresses: dict[InstanceId, str]) -> Iterator[Make]:
    """Start buses and stop them at the end."""
    buses = []

    def make(me: InstanceId, credential: bytes = b'shared') -> ZmqBus:
        bus = ZmqBus(
            me, addresses[me], addresses.get, SystemClock(), credential
        )
        bus.start()
        buses.append(bus)
        return bus

    yield make
    for bus in buses:
        bus.stop()


def echo(sender: InstanceId, message: Message) -> Message:
    """Return the text with its sender."""
    assert isinstance(message, Ask)
    return Told(text=f'{sender}: {message.text}')


def test_a_request_is_answered(make: Make) -> None:
    """The reply has its type, and the handler gets the sender's id."""
    client, handler = make(A), make(B)
    handler.register(Ask, echo)
    assert client.request(B, Ask(text='x'), Told, 5).text == 'a: x'


def test_a_newer_release_adds_a_field(make: Make) -> None:
    """An unknown field is ignored; an unknown kind raises a typed error."""
    client, handler = make(A), make(B)
    handler.register(Ask, echo)
    newer = type(
        'Ask',
        (Message,),
        {'__annotations__': {'text': str, 'hint': str}},
        frozen=True,
        kw_only=True,
    )
    reply = client.request(B, newer(text='x', hint='new'), Told, 5)
    assert reply.text == 'a: x'
    with pytest.raises(LinkRefusedError, match='no handler for Told'):
        client.request(B, Told(text='x'), Told, 5)


def test_a_handlers_error_reaches_the_client(make: Make) -> None:
    """The client gets the same reason, status and `not_run`."""
    client, handler = make(A), make(B)

    def refuse(sender: InstanceId, message: Message) -> None:
        raise RefusalError(
            'full', 'wait', reason='x', not_run=NotRun.UNKNOWN, retry_after=2
        )

    handler.register(Ask, refuse)
    with pytest.raises(RefusalError, match='full; wait') as caught:
        client.request(B, Ask(text='x'), Told, 5)
    error = caught.value
    assert (error.reason, error.not_run) == ('x', NotRun.UNKNOWN)
    assert (error.status, error.retry_after) == (503, 2)


def test_a_refusal_within_a_handler_is_not_passed_on(make: Make) -> None:
    """The client must not conclude that nothing ran.

    The handler acts, then its request to a third instance is refused. If that
    refusal were passed on unchanged, the client would assume that its message
    was not handled, send it to another instance and run the work twice.
    """
    client, handler = make(A), make(B)

    def forward(sender: InstanceId, message: Message) -> Message:
        return handler.request(InstanceId('c'), message, Told, 1)

    handler.register(Ask, forward)
    with pytest.raises(LinkError) as caught:
        client.request(B, Ask(text='x'), Told, 5)
    assert not isinstance(caught.value, LinkRefusedError)


def test_a_peer_that_is_down_refuses(make: Make) -> None:
    """No process listens, so the message was not handled."""
    client = make(A)
    with pytest.raises(LinkRefusedError):
        client.request(B, Ask(text='x'), Told, 5)


def test_a_peer_that_stops_fails_pending_requests(make: Make) -> None:
    """The peer accepts a request and stops: it may have been handled."""
    client, handler = make(A), make(B)

    def hang(sender: InstanceId, message: Message) -> None:
        gevent.spawn_later(0, handler.stop)
        gevent.sleep(30)

    handler.register(Ask, hang)
    with pytest.raises(LinkError, match='lost its connection'):
        client.request(B, Ask(text='x'), Told, 20)


def test_a_full_peer_refuses(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """More messages arrive than the peer may handle at once.

    Messages beyond the limit must be refused at once and not handled, instead
    of waiting behind the others past their time limits.
    """
    monkeypatch.setattr(_server, 'HANDLER_LIMIT', 2)
    client, handler = make(A), make(B)
    release = Event()
    handled: list[Message] = []

    def block(sender: InstanceId, message: Message) -> Message:
        handled.append(message)
        release.wait()
        return Told(text='done')

    handler.register(Ask, block)
    requests = [
        gevent.spawn(client.request, B, Ask(text='x'), Told, 5)
        for _ in range(3)
    ]
    with pytest.raises(LinkRefusedError, match='handles 2 messages already'):
        gevent.joinall(requests, count=1, raise_error=True)
    release.set()
    gevent.joinall(requests)
    assert len(handled) == 2
    assert sum(task.successful() for task in requests) == 2


def test_a_peer_out_of_use_fails_pending_requests(
    make: Make, addresses: dict[InstanceId, str]
) -> None:
    """The membership takes a peer out of use during a request.

    The request must fail at the next check of the links, a quarter of a second
    later, instead of at its own time limit.
    """
    client, handler = make(A), make(B)
    never = Event()
    handler.register(Ask, lambda sender, message: never.wait())
    request = gevent.spawn(client.request, B, Ask(text='x'), Told, 1000)
    gevent.sleep(0.1)
    addresses.pop(B)
    with gevent.Timeout(10), pytest.raises(LinkError):
        request.get()


def test_a_process_without_the_credential_reaches_no_handler(
    make: Make,
) -> None:
    """Without the cluster credential no message reaches a handler."""
    received: list[Message] = []
    outsider, handler = make(A, b'other'), make(B)
    handler.register(Ask, lambda sender, message: received.append(message))
    with pytest.raises(LinkRefusedError):
        outsider.request(B, Ask(text='x'), Told, 0.5)
    assert not received
