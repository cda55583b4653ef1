"""The message bus over zmq: one ROUTER socket and a DEALER per peer."""

import itertools
import logging
import secrets
from typing import Final

import msgspec
import zmq
from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.exceptions import LinkError, LinkRefusedError
from guavagate.helpers.addresses import is_address
from guavagate.helpers.decoding import decode_msgpack
from guavagate.helpers.waits import wait_for
from guavagate.links._bus import Handler, Message, Reply
from guavagate.links._connection import Connection, connect_peer
from guavagate.links._link import Link
from guavagate.links._message_traffic import MessageTraffic
from guavagate.links._server import Resolve, Server, bind_server
from guavagate.models import InstanceId
from guavagate.util.traffic import Traffic

_LOGGER: Final = logging.getLogger(__name__)
_CLOSE_TIMEOUT_SECONDS: Final = 1.0
_CHECK_INTERVAL_SECONDS: Final = 0.25

_encode: Final = msgspec.msgpack.Encoder().encode


class ZmqBus:
    """Sends typed messages to instances over TCP.

    Parameters
    ----------
    me
        The id of this instance, the sender of all messages.
    address
        ``host:port`` to listen on.
    resolve
        Returns a peer's ``host:port``, or None if the peer is not in use.
    credential
        The cluster credential; if empty, any process can connect.
    """

    def __init__(
        self,
        me: InstanceId,
        address: str,
        resolve: Resolve,
        clock: Clock,
        credential: bytes = b'',
    ) -> None:
        self.me = me
        self._address = address
        self._resolve = resolve
        self._clock = clock
        self._credential = credential
        self._context = zmq.Context()
        self.traffic = Traffic()
        self.messages = MessageTraffic()
        self._boot = secrets.randbits(62)
        self._numbers = itertools.count(1)
        self._server = Server(me, self._boot, clock, self.messages)
        self._links: dict[InstanceId, tuple[str, Link]] = {}
        self._probes: set[Connection] = set()
        self._open = False
        self._checker: Task | None = None

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler that runs, in a new task, for each message."""
        self._server.register(kind, handler)

    def start(self) -> None:
        """Listen for messages and allow requests."""
        socket = bind_server(self._context, self._address, self._credential)
        self._server.start(socket, self.traffic)
        self._open = True
        self._checker = self._clock.spawn(self._check_links)

    def stop(self) -> None:
        """Close all connections; pending requests fail with `LinkError`."""
        self._open = False
        if self._checker is not None:
            self._checker.kill()
        links = [link for _, link in self._links.values()]
        self._links.clear()
        # Closing the context blocks until every socket is closed.
        closing: list[Link | Connection] = [*links, *self._probes]
        for link in closing:
            link.close()
        for link in closing:
            link.join(_CLOSE_TIMEOUT_SECONDS)
        self._server.stop(_CLOSE_TIMEOUT_SECONDS)
        self._context.term()

    def request(
        self,
        peer: InstanceId,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply:
        """Send a request and wait for its reply; see `Bus.request`."""
        link = self._get_link(peer)
        kind = type(message).__name__
        number = next(self._numbers)
        body = link.request(number, kind, _encode(message), timeout)
        try:
            return decode_msgpack(body, reply)
        except msgspec.MsgspecError as error:
            raise LinkError(
                f'{peer} sent a reply that can not be read ({error})',
                'find out whether it handled the message before asking again',
            ) from error

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send a one-way message; drop it if unreachable or the queue full."""
        try:
            self._get_link(peer).send(type(message).__name__, _encode(message))
        except LinkRefusedError as refused:
            _LOGGER.debug('Dropped a one-way message: %s', refused)

    def probe(self, peer: InstanceId, timeout: float) -> bool:
        """Ping a peer on a new connection; see `Bus.probe`."""
        address = self._resolve(peer)
        if address is None or not self._open or not is_address(address):
            return False
        ended = Event()
        answered = False

        def handle_answer(*_: object) -> None:
            nonlocal answered
            answered = True
            ended.set()

        connection = Connection(
            connect_peer(self._context, address, self._credential),
            self._clock,
            self.traffic,
            handle_answer,
            lambda _: ended.set(),
        )
        self._probes.add(connection)
        connection.ping()
        try:
            wait_for(self._clock, ended, timeout)
        finally:
            connection.close()
            connection.join(_CLOSE_TIMEOUT_SECONDS)
            self._probes.discard(connection)
        return answered

    def _get_link(self, peer: InstanceId) -> Link:
        address = self._resolve(peer)
        if address is None or not self._open or not is_address(address):
            raise LinkRefusedError(
                f'{peer} is not in use',
                'ask an instance that the membership shows as alive',
            )
        known = self._links.get(peer)
        if known is not None and known[0] == address:
            return known[1]
        if known is not None:
            known[1].close()
        link = self._make_link(peer, address)
        self._links[peer] = (address, link)
        return link

    def _make_link(self, peer: InstanceId, address: str) -> Link:
        def connect() -> zmq.Socket:
            return connect_peer(self._context, address, self._credential)

        return Link(
            self.me,
            self._boot,
            peer,
            connect,
            self._clock,
            self.traffic,
            self.messages,
        )

    def _check_links(self) -> None:
        """Check links for stalls; close idle ones and those of dead peers."""
        while True:
            self._clock.sleep(_CHECK_INTERVAL_SECONDS)
            for peer, (address, link) in list(self._links.items()):
                in_use = self._resolve(peer) == address
                if not in_use or not link.check():
                    self._links.pop(peer, None)
                    link.close()
