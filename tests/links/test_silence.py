"""Tests of connections that fall silent for good, over a forgetful relay."""

from collections.abc import Iterator

import gevent
import pytest
from gevent.event import Event

from guavagate.clock import SystemClock
from guavagate.exceptions import LinkError, LinkRefusedError
from guavagate.links import Message, ZmqBus
from guavagate.links import _memory as memory
from guavagate.models import InstanceId
from tests.links.relay import Relay
from tests.links.test_zmq_bus import Ask, Told, free_address

A = InstanceId('a')
B = InstanceId('b')
TIMEOUT = 5


class Peers:
    """An asker, a peer behind a relay, and what the peer handled."""

    def __init__(self) -> None:
        self.address = free_address()
        self.relay = Relay(self.address)
        self.handled: list[str] = []
        self.started = Event()
        self.go_on = Event()
        self.go_on.set()
        self.peer = self.make_peer(self.address)
        where = {B: self.relay.address}
        self.asker = ZmqBus(A, free_address(), where.get, SystemClock())
        self.asker.start()

    def make_peer(self, address: str) -> ZmqBus:
        """Start a process under the peer's id."""
        nowhere: dict[InstanceId, str] = {}
        peer = ZmqBus(B, address, nowhere.get, SystemClock())
        peer.register(Ask, self.handle)
        peer.start()
        return peer

    def handle(self, sender: InstanceId, message: Message) -> Message:
        """Note the request, and answer when told to."""
        assert isinstance(message, Ask)
        self.handled.append(message.text)
        self.started.set()
        self.go_on.wait()
        return Told(text=message.text)

    def ask(self, text: str) -> str:
        """Ask the peer."""
        return self.asker.request(B, Ask(text=text), Told, TIMEOUT).text

    def hold(self, text: str) -> 'gevent.Greenlet':
        """Ask, and have the peer work on it until `go_on` is set."""
        self.go_on.clear()
        self.started.clear()
        asking = gevent.spawn(self.ask, text)
        self.started.wait()
        return asking


@pytest.fixture(name='peers')
def make_peers() -> Iterator[Peers]:
    """Start and stop."""
    peers = Peers()
    yield peers
    peers.go_on.set()
    peers.asker.stop()
    peers.peer.stop()
    peers.relay.stop()


def test_a_silent_connection_is_replaced(peers: Peers) -> None:
    """The connection goes silent while one request is worked on.

    Its answer is lost, and so are requests sent later: nothing says so, and
    new connections work. Within their time limits, both are answered over
    a new connection. The peer had the first one already; it is recognised
    by its id and not run again.
    """
    assert peers.ask('first') == 'first'
    held = peers.hold('held')
    peers.relay.forget()
    peers.go_on.set()
    later = gevent.spawn(peers.ask, 'later')
    assert [held.get(), later.get()] == ['held', 'later']
    assert sorted(peers.handled) == ['first', 'held', 'later']
    assert peers.relay.connections == 2


def test_a_slow_peer_keeps_its_connection(peers: Peers) -> None:
    """The handler takes longer than a silent connection is given.

    The peer's heartbeat shows that the connection works; replacing it
    would only add load to a peer that is slow.
    """
    held = peers.hold('held')
    gevent.sleep(2.5)
    assert peers.relay.connections == 1
    peers.go_on.set()
    assert held.get() == 'held'


def test_a_successor_is_not_asked_again(peers: Peers) -> None:
    """The peer is replaced by a process with the same id while silent.

    The new process does not know whether its predecessor handled the
    request, so the asker is told that it may have been.
    """
    assert peers.ask('first') == 'first'
    held = peers.hold('held')
    peers.relay.forget()
    successor = peers.make_peer(free_address())
    peers.relay.backend = successor._address
    with pytest.raises(LinkError) as caught:
        held.get()
    assert not isinstance(caught.value, LinkRefusedError)
    assert peers.handled == ['first', 'held']
    peers.go_on.set()
    successor.stop()


def test_what_was_forgotten_is_never_taken_for_new() -> None:
    """More requests are handled than can be remembered, then one repeats."""
    known = memory.Memory()
    for number in range(memory.KEPT_REQUESTS + 1):
        known.add((1, number), b'x', now=100 + number / 1e6)
    assert known.find((1, 0)) is None
    assert known.may_have_forgotten(100)
    assert not known.may_have_forgotten(100.1)
