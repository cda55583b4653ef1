"""HTTP server that handles one request at a time on each connection."""

import contextlib
import logging
import math
import os
from collections.abc import Callable
from typing import Final

import h11
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import Clock
from guavagate.events import edge as events
from guavagate.events import write
from guavagate.helpers.listeners import take_listener
from guavagate.http1._caller_connection import (
    CallerConnection,
    MalformedBodyError,
    ServerLimits,
)
from guavagate.http1._caller_writer import CallerDisconnectedError
from guavagate.http1._exchange import Exchange, Handler
from guavagate.http1._memory import (
    ConnectionAccount,
    Phase,
    ServerMemory,
    UnlimitedMemory,
)
from guavagate.http1._messages import Request
from guavagate.http1._sockets import set_caller_options
from guavagate.http1._turns import Turns

_LOGGER: Final = logging.getLogger(__name__)
_BACKLOG: Final = 1024
_MAX_ACCEPTED: Final = 16
_CONNECTION_REFUSED: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Retry-After: %b\r\nConnection: close\r\nContent-Length: 30\r\n\r\n'
    b'not run: too many connections\n'
)
_DRAIN_CHECK_SECONDS: Final = 0.02
# A planned stop doesn't wait for a caller that has accepted nothing for so long
# once its deadline has passed. Several lost packets in a row delay progress by
# about a second.
STOP_STALL_SECONDS: Final = 2.0
# After the end of a planned stop, for handlers to answer what isn't finished.
INTERRUPT_SECONDS: Final = 0.2


class _SlowHeadError(Exception):
    """The head of a request did not arrive in time."""


class HttpServer:
    """Passes each request to a handler in the connection's task.

    Parameters
    ----------
    limits
        Returns the limits in force; called for each connection and request.
    memory
        Counts what connections hold; without one there is no limit.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        handle: Handler,
        limits: Callable[[], ServerLimits] = ServerLimits,
        memory: ServerMemory | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._clock = clock
        self._handle = handle
        self._limits = limits
        self._memory = memory or UnlimitedMemory()
        listener = take_listener(address)
        if listener is None:
            self._server = StreamServer(
                (host, int(port)),
                self._serve,
                backlog=_BACKLOG,
                spawn=self._admit,
            )
        else:
            listener.setblocking(False)
            self._server = StreamServer(
                socket.socket(fileno=listener.detach()),
                self._serve,
                spawn=self._admit,
            )
        # Closed sockets are released in the next iteration of the event loop,
        # so few are accepted in one.
        self._server.max_accept = _MAX_ACCEPTED
        self._turns = Turns(clock)
        self._idle: set[CallerConnection] = set()
        self._running: dict[CallerConnection, Exchange] = {}
        # Connections whose callers may not have read their answer yet.
        self._lingering = 0
        self.closing = False
        # When requests that still run are ended, once a stop waits for them.
        self.ends_at = math.inf

    @property
    def active(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def announce_stop(self) -> None:
        """Send `Connection: close` with each response from now on."""
        self.closing = True

    def drain(self, until: float) -> int:
        """Stop listening, close idle connections and wait for requests.

        Parameters
        ----------
        until
            When the wait ends, in seconds of the clock. The servers of a
            process share it: separate waits could add up to more than the
            time the process has to stop.

        Returns
        -------
        int
            How many requests had not been answered then, or only in part.
        """
        self.announce_stop()
        self.ends_at = until
        self._refuse_new_connections()
        while self._clock.now() < until:
            # Meanwhile the tasks of the connections accepted last start, so
            # that these are counted.
            self._clock.sleep(_DRAIN_CHECK_SECONDS)
            # A connection with unread data carries a request, which would be
            # lost if it were closed now.
            for connection in list(self._idle):
                if connection.is_idle():
                    connection.close_idle()
            if not self._must_wait():
                break
        self._end_running()
        return self.active

    def close(self) -> None:
        """Close the listening socket."""
        self._server.close()

    def _refuse_new_connections(self) -> None:
        """Accept the pending connections, then refuse new ones.

        The kernel accepts connections for a listening socket even when the
        process no longer does. They would be reset when the process ends, as
        if a request had been interrupted. A caller whose connection is refused
        knows that nothing was sent.
        """
        for pending in iter(self._server.do_read, None):
            self._server.do_handle(*pending)
        self._server.close()

    def _end_running(self) -> None:
        """Answer the requests that still run, as far as that is possible."""
        for exchange in list(self._running.values()):
            write(
                _LOGGER,
                events.REQUEST_CUT,
                request=exchange.id,
                answered=exchange.started,
            )
            exchange.interrupt()
        # Their handlers know best whether they have run.
        give_up_at = self._clock.now() + INTERRUPT_SECONDS
        while self._running and self._clock.now() < give_up_at:
            self._clock.sleep(_DRAIN_CHECK_SECONDS)
        for exchange in list(self._running.values()):
            with contextlib.suppress(CallerDisconnectedError):
                exchange.answer_unfinished()

    def _is_closing(self) -> bool:
        return self.closing

    def _get_end(self) -> float:
        return self.ends_at

    def _must_wait(self) -> bool:
        """Return whether a stop has to wait for a caller.

        A caller may pause while it reads its answer. It is waited for until its
        deadline, as the process has time until the end of the stop.
        """
        if self._idle or self._lingering:
            return True
        now = self._clock.now()
        return any(
            exchange.deadline > now
            or not connection.writer.is_stalled(STOP_STALL_SECONDS)
            for connection, exchange in self._running.items()
        )

    def _admit(
        self,
        run: Callable[..., None],
        serve: Callable[..., None],
        close: Callable[..., None],
        accepted: tuple[socket.socket, object],
    ) -> None:
        """Serve a new connection in a task of its own, if there is room.

        Takes the place of `gevent.spawn` in the server: each connection is
        counted before the next one is accepted.
        """
        account = self._memory.open_account()
        if account is None:
            self._refuse_connection(accepted[0])
            return

        def serve_counted(sock: socket.socket, address: object) -> None:
            try:
                serve(sock, address, account=account)
            finally:
                account.close()

        self._clock.spawn(run, serve_counted, close, accepted)

    def _serve(
        self, sock: socket.socket, _: object, account: ConnectionAccount
    ) -> None:
        limits = self._limits()
        set_caller_options(sock)
        connection = CallerConnection(
            sock,
            self._clock,
            limits,
            self._is_closing,
            self._turns,
            self._get_end,
        )
        connection.account = account
        account.bind(connection)
        try:
            while self._serve_one(connection):
                connection.http.start_next_cycle()
        except (CallerDisconnectedError, h11.LocalProtocolError) as error:
            _LOGGER.debug('Connection closed: %r', error)
        finally:
            self._close(connection)

    def _close(self, connection: CallerConnection) -> None:
        """Close a connection, which counts until its caller has its answer."""
        self._lingering += 1
        connection.account.enter(Phase.CLOSING)
        try:
            connection.close()
        finally:
            self._lingering -= 1

    def _refuse_connection(self, sock: socket.socket) -> None:
        """Close a connection for which there is no room, without a task.

        Nothing of it is read, so that nothing is held for it. If its caller has
        sent a request already, the kernel may drop this answer; it sees a
        connection that was closed before its request was read.
        """
        wait = self._memory.compute_retry_after()
        sock.settimeout(0)
        with contextlib.suppress(OSError):
            sock.send(_CONNECTION_REFUSED % (f'{wait:g}'.encode()))
            sock.shutdown(socket.SHUT_WR)
        # Closed at once, while `sock.close` waits for the next iteration of
        # the event loop: many connections may be accepted in one.
        os.close(sock.detach())

    def _refuse_request(self, connection: CallerConnection) -> None:
        wait = self._memory.compute_retry_after()
        connection.reject(
            503,
            'not run: too many requests',
            (b'Retry-After', f'{wait:g}'.encode()),
        )

    def _serve_one(self, connection: CallerConnection) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = self._wait_head(connection)
        if head is None:
            return False
        request = Request(
            head.method.decode(),
            head.target.decode('latin-1'),
            list(head.headers.raw_items()),
        )
        exchange = Exchange(connection, request)
        self._running[connection] = exchange
        try:
            if not connection.account.admit_request():
                self._refuse_request(connection)
                return False
            connection.begin_request()
            self._run(exchange)
        finally:
            self._end(exchange, connection)
        states = (connection.http.our_state, connection.http.their_state)
        return states == (h11.DONE, h11.DONE) and not self.closing

    def _end(self, exchange: Exchange, connection: CallerConnection) -> None:
        self._running.pop(connection, None)
        connection.on_disconnect = None
        exchange.account.end_request()
        if connection.writer.is_cut_off:
            self._memory.record_slow_caller(exchange.id)

    def _run(self, exchange: Exchange) -> None:
        try:
            self._handle(exchange)
        except CallerDisconnectedError:
            raise
        except MalformedBodyError as error:
            exchange.respond(
                400, [], f'{error}; send valid HTTP/1.1\n'.encode()
            )
        except Exception:
            _LOGGER.exception('Request handler failed unexpectedly')
            if exchange.started:
                exchange.abort()
                raise CallerDisconnectedError from None
            exchange.respond(502, [], b'the request failed; see the log\n')
        if exchange.started and not exchange.ended:
            exchange.abort()

    def _wait_head(self, connection: CallerConnection) -> h11.Request | None:
        """Return the head of the next request, or `None` without one."""
        limits = self._limits()
        self._idle.add(connection)
        try:
            with self._clock.timeout(limits.idle_timeout, TimeoutError):
                connection.wait_for_data()
            connection.account.enter(Phase.RECEIVING)
            with self._clock.timeout(limits.header_timeout, _SlowHeadError):
                event = connection.next_head_event()
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
