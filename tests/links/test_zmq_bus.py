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
    """Return a loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@pytest.fixture(name='addresses')
def make_addresses() -> dict[InstanceId, str]:
    """Return where the two instances listen."""
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
    """The reply comes back typed, and the handler sees the sender."""
    asker, handler = make(A), make(B)
    handler.register(Ask, echo)
    assert asker.request(B, Ask(text='x'), Told, 5).text == 'a: x'


def test_a_newer_release_adds_a_field(make: Make) -> None:
    """An unknown field is ignored; an unknown kind is refused, typed."""
    asker, handler = make(A), make(B)
    handler.register(Ask, echo)
    newer = type(
        'Ask',
        (Message,),
        {'__annotations__': {'text': str, 'hint': str}},
        frozen=True,
        kw_only=True,
    )
    reply = asker.request(B, newer(text='x', hint='new'), Told, 5)
    assert reply.text == 'a: x'
    with pytest.raises(LinkRefusedError, match='no handler for Told'):
        asker.request(B, Told(text='x'), Told, 5)


def test_a_handlers_error_reaches_the_asker(make: Make) -> None:
    """The caller learns the same reason, status and certainty."""
    asker, handler = make(A), make(B)

    def refuse(sender: InstanceId, message: Message) -> None:
        raise RefusalError(
            'full', 'wait', reason='x', not_run=NotRun.UNKNOWN, retry_after=2
        )

    handler.register(Ask, refuse)
    with pytest.raises(RefusalError, match='full; wait') as caught:
        asker.request(B, Ask(text='x'), Told, 5)
    error = caught.value
    assert (error.reason, error.not_run) == ('x', NotRun.UNKNOWN)
    assert (error.status, error.retry_after) == (503, 2)


def test_a_handlers_own_refused_request_is_not_the_askers(make: Make) -> None:
    """The asker must not conclude that nothing ran.

    The handler acts, then asks a third instance and is refused. Were that
    refusal passed on as it is, the asker would take its own message for not
    handled, ask another instance and run the work twice.
    """
    asker, handler = make(A), make(B)

    def ask_on(sender: InstanceId, message: Message) -> Message:
        return handler.request(InstanceId('c'), message, Told, 1)

    handler.register(Ask, ask_on)
    with pytest.raises(LinkError) as caught:
        asker.request(B, Ask(text='x'), Told, 5)
    assert not isinstance(caught.value, LinkRefusedError)


def test_a_peer_that_is_down_refuses(make: Make) -> None:
    """Nobody listens: the message is certainly not handled."""
    asker = make(A)
    with pytest.raises(LinkRefusedError):
        asker.request(B, Ask(text='x'), Told, 5)


def test_a_peer_that_stops_fails_what_waits(make: Make) -> None:
    """The peer took the request and stops: it may have been handled."""
    asker, handler = make(A), make(B)

    def hang(sender: InstanceId, message: Message) -> None:
        gevent.spawn_later(0, handler.stop)
        gevent.sleep(30)

    handler.register(Ask, hang)
    with pytest.raises(LinkError, match='lost its connection'):
        asker.request(B, Ask(text='x'), Told, 20)


def test_a_full_peer_refuses(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """More messages come than the peer may handle at once.

    Those beyond the limit are refused at once and truly not handled,
    instead of waiting behind the others past their time limits.
    """
    monkeypatch.setattr(_server, 'HANDLER_LIMIT', 2)
    asker, handler = make(A), make(B)
    go_on = Event()
    handled: list[Message] = []

    def hold(sender: InstanceId, message: Message) -> Message:
        handled.append(message)
        go_on.wait()
        return Told(text='done')

    handler.register(Ask, hold)
    asking = [
        gevent.spawn(asker.request, B, Ask(text='x'), Told, 5) for _ in range(3)
    ]
    with pytest.raises(LinkRefusedError, match='handles 2 messages already'):
        gevent.joinall(asking, count=1, raise_error=True)
    go_on.set()
    gevent.joinall(asking)
    assert len(handled) == 2
    assert sum(task.successful() for task in asking) == 2


def test_a_peer_out_of_use_fails_what_waits(
    make: Make, addresses: dict[InstanceId, str]
) -> None:
    """The membership takes a peer out of use while a request waits there.

    The asker hears of it within a quarter of a second, not at the end of
    its own time limit.
    """
    asker, handler = make(A), make(B)
    never = Event()
    handler.register(Ask, lambda sender, message: never.wait())
    asking = gevent.spawn(asker.request, B, Ask(text='x'), Told, 1000)
    gevent.sleep(0.1)
    addresses.pop(B)
    with gevent.Timeout(10), pytest.raises(LinkError):
        asking.get()


def test_a_stranger_is_not_heard(make: Make) -> None:
    """Without the cluster credential no message reaches a handler."""
    heard: list[Message] = []
    stranger, handler = make(A, b'other'), make(B)
    handler.register(Ask, lambda sender, message: heard.append(message))
    with pytest.raises(LinkRefusedError):
        stranger.request(B, Ask(text='x'), Told, 0.5)
    assert not heard
