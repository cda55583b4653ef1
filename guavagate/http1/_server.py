"""Listens for callers, and serves one request at a time on each connection."""

import logging
from collections.abc import Callable
from typing import Final

import h11
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import Clock
from guavagate.helpers.listeners import take_listener
from guavagate.http1._caller_link import (
    CallerGoneError,
    CallerLink,
    ServerLimits,
)
from guavagate.http1._exchange import Exchange, Handle
from guavagate.http1._messages import Request
from guavagate.http1._sockets import tune

_LOGGER: Final = logging.getLogger(__name__)
_BACKLOG: Final = 1024
_FINISH_STEP: Final = 0.02


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
        handle: Handle,
        limits: Callable[[], ServerLimits] = ServerLimits,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._clock = clock
        self._handle = handle
        self._limits = limits
        early = take_listener(address)
        if early is None:
            self._server = StreamServer(
                (host, int(port)), self._serve, backlog=_BACKLOG
            )
        else:
            early.setblocking(False)
            self._server = StreamServer(
                socket.socket(fileno=early.detach()), self._serve
            )
        self._idle: set[CallerLink] = set()
        self.active = 0
        self.closing = False

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def announce_stop(self) -> None:
        """Ask callers, with each answer, to close their connections."""
        self.closing = True

    def finish(self, until: float) -> int:
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
        self._refuse_new()
        while self._clock.now() < until:
            # What was accepted last comes into the counts meanwhile.
            self._clock.sleep(_FINISH_STEP)
            # One with bytes that wait is about to send a request, or has:
            # closed now, the request would be lost between two processes.
            for link in list(self._idle):
                if link.is_quiet():
                    link.drop()
            if not self.active and not self._idle:
                break
        return self.active

    def close(self) -> None:
        """Close the listening socket."""
        self._server.close()

    def _refuse_new(self) -> None:
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
        tune(sock)
        link = CallerLink(sock, self._clock, self._limits(), self._is_closing)
        try:
            while self._serve_one(link):
                link.http.start_next_cycle()
        except (CallerGoneError, h11.LocalProtocolError) as error:
            _LOGGER.debug('a connection ended: %r', error)
        finally:
            link.close()

    def _serve_one(self, link: CallerLink) -> bool:
        """Serve one request; return whether the connection may be kept."""
        head = self._wait_head(link)
        if head is None:
            return False
        request = Request(
            head.method.decode(),
            head.target.decode('latin-1'),
            list(head.headers.raw_items()),
        )
        exchange = Exchange(link, request)
        self.active += 1
        try:
            self._run(exchange)
        finally:
            self.active -= 1
            link.on_gone = None
        states = (link.http.our_state, link.http.their_state)
        return states == (h11.DONE, h11.DONE) and not self.closing

    def _run(self, exchange: Exchange) -> None:
        try:
            self._handle(exchange)
        except CallerGoneError:
            raise
        except Exception:
            _LOGGER.exception('a request failed unexpectedly')
            if exchange.started:
                exchange.abort()
                raise CallerGoneError from None
            exchange.respond(502, [], b'the request failed; see the log\n')
        if exchange.started and not exchange.ended:
            exchange.abort()

    def _wait_head(self, link: CallerLink) -> h11.Request | None:
        """Return the next request's head, or nothing when there is none."""
        limits = self._limits()
        self._idle.add(link)
        try:
            with self._clock.timeout(limits.idle_timeout, TimeoutError):
                link.wait_bytes()
            with self._clock.timeout(limits.header_timeout, _SlowHeadError):
                event = link.next_event()
        except TimeoutError:
            return None
        except _SlowHeadError:
            link.refuse(408, 'send the whole head of a request sooner')
            return None
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint or 400
            link.refuse(hint, f'{error}; send valid HTTP/1.1')
            return None
        finally:
            self._idle.discard(link)
        return event if isinstance(event, h11.Request) else None
