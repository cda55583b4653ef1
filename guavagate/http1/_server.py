"""Listens for callers, and serves one request at a time on each connection."""

import logging
from collections.abc import Callable
from typing import Final

import h11
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import Clock
from guavagate.helpers.listeners import take_listener
from guavagate.http1._caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
    ServerLimits,
)
from guavagate.http1._exchange import Exchange, Handler
from guavagate.http1._messages import Request
from guavagate.http1._sockets import set_socket_options

_LOGGER: Final = logging.getLogger(__name__)
_BACKLOG: Final = 1024
_DRAIN_CHECK_SECONDS: Final = 0.02


class _SlowHeadError(Exception):
    """The head of a request did not come in time."""


class HttpServer:
    """Listens, and gives each request to a handler in the connection's task.

    Parameters
    ----------
    limits
        Returns the limits in force; asked for each connection.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        handle: Handler,
        limits: Callable[[], ServerLimits] = ServerLimits,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._clock = clock
        self._handle = handle
        self._limits = limits
        listener = take_listener(address)
        if listener is None:
            self._server = StreamServer(
                (host, int(port)), self._serve, backlog=_BACKLOG
            )
        else:
            listener.setblocking(False)
            self._server = StreamServer(
                socket.socket(fileno=listener.detach()), self._serve
            )
        self._idle: set[CallerConnection] = set()
        self.active = 0
        self.closing = False

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def announce_stop(self) -> None:
        """Ask callers, with each answer, to close their connections."""
        self.closing = True

    def drain(self, until: float) -> int:
        """Stop: end idle connections, wait for what is held.

        Parameters
        ----------
        until
            When the wait ends, in seconds of the clock; servers of one
            process share it, or their waits would add up past its end.

        Returns
        -------
        int
            How many requests were still held then.
        """
        self.announce_stop()
        self._refuse_new_connections()
        while self._clock.now() < until:
            # What was accepted last comes into the counts meanwhile.
            self._clock.sleep(_DRAIN_CHECK_SECONDS)
            # One with bytes that wait is about to send a request, or has:
            # closed now, the request would be lost between two processes.
            for connection in list(self._idle):
                if connection.is_idle():
                    connection.close_idle()
            if not self.active and not self._idle:
                break
        return self.active

    def close(self) -> None:
        """Close the listening socket."""
        self._server.close()

    def _refuse_new_connections(self) -> None:
        """Take the connections that wait, then have new ones refused.

        The system goes on accepting for a socket that listens. Whoever
        connects then waits for nobody, and is reset when the process ends:
        its request looks cut. One that is refused knows that nothing was sent.
        """
        for waiting in iter(self._server.do_read, None):
            self._server.do_handle(*waiting)
        self._server.close()

    def _is_closing(self) -> bool:
        return self.closing

    def _serve(self, sock: socket.socket, _: object) -> None:
        set_socket_options(sock)
        connection = CallerConnection(
            sock, self._clock, self._limits(), self._is_closing
        )
        try:
            while self._serve_one(connection):
                connection.http.start_next_cycle()
        except (CallerDisconnectedError, h11.LocalProtocolError) as error:
            _LOGGER.debug('a connection ended: %r', error)
        finally:
            connection.close()

    def _serve_one(self, connection: CallerConnection) -> bool:
        """Serve one request; return whether the connection may be kept."""
        head = self._wait_head(connection)
        if head is None:
            return False
        request = Request(
            head.method.decode(),
            head.target.decode('latin-1'),
            list(head.headers.raw_items()),
        )
        exchange = Exchange(connection, request)
        self.active += 1
        try:
            self._run(exchange)
        finally:
            self.active -= 1
            connection.on_disconnect = None
        states = (connection.http.our_state, connection.http.their_state)
        return states == (h11.DONE, h11.DONE) and not self.closing

    def _run(self, exchange: Exchange) -> None:
        try:
            self._handle(exchange)
        except CallerDisconnectedError:
            raise
        except Exception:
            _LOGGER.exception('a request failed unexpectedly')
            if exchange.started:
                exchange.abort()
                raise CallerDisconnectedError from None
            exchange.respond(502, [], b'the request failed; see the log\n')
        if exchange.started and not exchange.ended:
            exchange.abort()

    def _wait_head(self, connection: CallerConnection) -> h11.Request | None:
        """Return the next request's head, or nothing when there is none."""
        limits = self._limits()
        self._idle.add(connection)
        try:
            with self._clock.timeout(limits.idle_timeout, TimeoutError):
                connection.wait_for_data()
            with self._clock.timeout(limits.header_timeout, _SlowHeadError):
                event = connection.next_event()
        except TimeoutError:
            return None
        except _SlowHeadError:
            connection.reject(408, 'send the whole head of a request sooner')
            return None
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint or 400
            connection.reject(hint, f'{error}; send valid HTTP/1.1')
            return None
        finally:
            self._idle.discard(connection)
        return event if isinstance(event, h11.Request) else None
