"""The bus over zmq: a ROUTER of its own and a DEALER for each peer."""

import itertools
import logging
import secrets
from typing import Final

import msgspec
import zmq

from guavagate.clock import Clock, Task
from guavagate.exceptions import LinkRefusedError
from guavagate.links._bus import Handler, Message, Reply
from guavagate.links._connection import connect_peer
from guavagate.links._link import Link
from guavagate.links._server import Resolve, Server, bind_server
from guavagate.models import InstanceId
from guavagate.util.traffic import Traffic

_LOGGER: Final = logging.getLogger(__name__)
_CLOSE_SECONDS: Final = 1.0
_CHECK_SECONDS: Final = 0.25

_encode: Final = msgspec.msgpack.Encoder().encode


class ZmqBus:
    """Sends typed messages to instances over TCP.

    Parameters
    ----------
    me
        This instance's id, the sender of all its messages.
    address
        ``host:port`` to listen on.
    resolve
        Returns a peer's ``host:port``, or nothing when it is not in use.
    credential
        The cluster credential; empty lets everyone connect.
    """

    def __init__(
        self,
        me: InstanceId,
        address: str,
        resolve: Resolve,
        clock: Clock,
        credential: bytes = b'',
    ) -> None:
        self._me = me
        self._address = address
        self._resolve = resolve
        self._clock = clock
        self._credential = credential
        self._context = zmq.Context()
        self.traffic = Traffic()
        self._boot = secrets.randbits(62)
        self._numbers = itertools.count(1)
        self._server = Server(me, self._boot, clock)
        self._links: dict[InstanceId, tuple[str, Link]] = {}
        self._open = False
        self._checker: Task | None = None

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Call the handler, in a task of its own, for each such message."""
        self._server.register(kind, handler)

    def start(self) -> None:
        """Listen and allow requests."""
        socket = bind_server(self._context, self._address, self._credential)
        self._server.start(socket, self.traffic)
        self._open = True
        self._checker = self._clock.spawn(self._check)

    def stop(self) -> None:
        """Close every connection; what waits fails with `LinkError`."""
        self._open = False
        if self._checker is not None:
            self._checker.kill()
        links = [link for _, link in self._links.values()]
        self._links.clear()
        for link in links:
            link.close()
        for link in links:
            link.join(_CLOSE_SECONDS)
        self._server.stop(_CLOSE_SECONDS)
        self._context.term()

    def request(
        self,
        peer: InstanceId,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply:
        """Ask a peer and wait for its reply; see `Bus.request`."""
        link = self._link(peer)
        kind = type(message).__name__
        number = next(self._numbers)
        body = link.request(number, kind, _encode(message), timeout)
        return msgspec.msgpack.decode(body, type=reply)

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send one way; a peer not in use or a full queue drops it."""
        try:
            self._link(peer).send(type(message).__name__, _encode(message))
        except LinkRefusedError as refused:
            _LOGGER.debug('dropped a one-way message: %s', refused)

    def _link(self, peer: InstanceId) -> Link:
        address = self._resolve(peer)
        if address is None or not self._open:
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
            self._me, self._boot, peer, connect, self._clock, self.traffic
        )

    def _check(self) -> None:
        """Look after the links: silent ones, unused ones, those of the dead."""
        while True:
            self._clock.sleep(_CHECK_SECONDS)
            for peer, (address, link) in list(self._links.items()):
                in_use = self._resolve(peer) == address
                if not in_use or not link.check():
                    self._links.pop(peer, None)
                    link.close()
