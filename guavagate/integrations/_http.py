"""HTTP client that separates requests not sent from those that may have run.

When a connection breaks, the library repeats requests of idempotent methods.
The settings may declare such a method as not repeatable, and a repetition
would run it twice. The library's retries are therefore off, and the sender
decides.
"""

import contextlib
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import gevent
from gevent import socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

from guavagate.clock import Clock
from guavagate.exceptions import (
    UpstreamDisconnectedError,
    UpstreamError,
    UpstreamNotStartedError,
)
from guavagate.helpers.addresses import split_address
from guavagate.helpers.event_stream import MAX_EVENT_BYTES
from guavagate.http1 import (
    MAX_BODY_BYTES,
    BrokenAnswerError,
    Turns,
    UpstreamSocket,
)

CONNECT_SECONDS: Final = 1.0
# A firewall or balancer may drop the state of a connection that is idle for
# longer. A request on it would get no reset and wait for its whole time limit.
IDLE_SECONDS: Final = 10.0
IDLE_CONNECTIONS: Final = 8
MAX_CONNECTIONS: Final = 100_000


class Response:
    """An upstream's answer whose head has arrived.

    Attributes
    ----------
    sock
        Its connection, which bounds what may be read.
    """

    def __init__(
        self, answer: HTTPSocketPoolResponse, sock: UpstreamSocket
    ) -> None:
        self.sock = sock
        self.status_code = answer.status_code
        self.get = answer.get
        self.items = answer.items
        self.read = answer.read
        self.readline = answer.readline
        self.release = answer.release


class _ConnectError(Exception):
    """The connection was not established, so nothing was sent."""


class _Pool(ConnectionPool):
    """Connections to one address, with a limit on idle ones."""

    def __init__(
        self, clock: Clock, max_idle: int, host: str, port: int
    ) -> None:
        super().__init__(
            host,
            port,
            host,
            port,
            size=MAX_CONNECTIONS,
            disable_ipv6=True,
            connection_timeout=CONNECT_SECONDS,
            network_timeout=None,  # type: ignore[arg-type]
        )
        # The library tries up to `size` + 1 times; -1 switches retries off.
        self.size = -1
        self._clock = clock
        self._turns = Turns(clock)
        self._max_idle = max_idle
        self._idle_since: dict[socket.socket, float] = {}
        # Tasks that wait for a connection and so have sent nothing.
        self.connecting: set[gevent.Greenlet] = set()
        # The connection that a task's exchange uses.
        self.in_use: dict[gevent.Greenlet, UpstreamSocket] = {}

    def get_socket(self) -> socket.socket:
        """Return the connection for the current task's exchange."""
        sock = super().get_socket()
        assert isinstance(sock, UpstreamSocket)
        sock.begin_exchange()
        self.in_use[gevent.getcurrent()] = sock
        return sock

    def return_socket(self, sock: socket.socket) -> None:
        """Put the connection back for reuse, or close it."""
        if self._socket_queue.qsize() >= self._max_idle:
            self.release_socket(sock)
            return
        self._idle_since[sock] = self._clock.now()
        super().return_socket(sock)

    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        """Return whether the connection is open and was not idle too long."""
        if sock is None:
            return False
        since = self._idle_since.pop(sock, 0)
        if self._clock.now() - since > IDLE_SECONDS:
            return False
        return super()._is_socket_alive(sock)

    def _create_socket(self) -> socket.socket:
        """Connect; on a failure here, nothing has been sent."""
        task = gevent.getcurrent()
        self.connecting.add(task)
        try:
            sock = super()._create_socket()
        except OSError as error:
            raise _ConnectError(str(error)) from error
        self.connecting.discard(task)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return UpstreamSocket(sock, self._turns)


class _Client(HTTPClient):
    """The library's client with a pool of this module."""

    def __init__(self, clock: Clock, address: str, max_idle: int) -> None:
        host, port = split_address(address)
        super().__init__(host, port, disable_ipv6=True)
        self.pool = _Pool(clock, max_idle, host, port)
        self._connection_pool = self.pool


class Connections:
    """The connections of one adapter, by address."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._clients: dict[tuple[str, bool], _Client] = {}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
        timeout: float,
        reuse: bool = True,
    ) -> Response:
        """Send a request once and wait for the headers of its response.

        Parameters
        ----------
        timeout
            Seconds until the headers must have arrived.
        reuse
            Whether the request may use an idle connection. If the upstream
            closes it at that moment, the outcome is unknown, so requests that
            must not be repeated get a new connection.

        Raises
        ------
        UpstreamNotStartedError
            No connection was established; nothing was sent.
        UpstreamError
            Part of the request may have been sent.
        """
        try:
            client = self._get_client(address, reuse=reuse)
        except ValueError as error:
            raise UpstreamNotStartedError(
                str(error), 'correct the address in the settings'
            ) from error
        connecting = client.pool.connecting

        def make_timeout_error() -> UpstreamError:
            error = _make_timeout_error_factory(address, timeout)()
            if gevent.getcurrent() not in connecting:
                return error
            return UpstreamNotStartedError(error.problem, error.remedy)

        try:
            with (
                _translate_errors(address),
                self.clock.timeout(timeout, make_timeout_error),
            ):
                answer = client.request(method, path, body, dict(headers or {}))
                return Response(answer, client.pool.in_use[gevent.getcurrent()])
        finally:
            connecting.discard(gevent.getcurrent())
            client.pool.in_use.pop(gevent.getcurrent(), None)

    def read(self, address: str, answer: Response, timeout: float) -> bytes:
        """Read the complete body; a cut or endless one raises an error."""
        answer.sock.limit_reading(MAX_BODY_BYTES)
        with _translate_errors(address), self._limit_time(address, timeout):
            return bytes(answer.read())

    def read_until(
        self, end: bytes, address: str, answer: Response, timeout: float
    ) -> bytes:
        """Read a stream up to a delimiter; return nothing at its clean end.

        A part that is larger than any event raises `UpstreamError`. This runs
        for each streamed event, so for speed it uses no context manager but
        the clock's.
        """
        answer.sock.limit_reading(MAX_EVENT_BYTES)
        try:
            with self._limit_time(address, timeout):
                return answer.readline(end)
        except (OSError, HTTPParseError) as error:
            raise _make_broken_error(address, error) from error

    def close(self) -> None:
        """Close the idle connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _get_client(self, address: str, *, reuse: bool) -> _Client:
        """Return the client for an address."""
        client = self._clients.get((address, reuse))
        if client is None:
            client = _Client(
                self.clock, address, IDLE_CONNECTIONS if reuse else 0
            )
            self._clients[address, reuse] = client
        return client

    def _limit_time(
        self, address: str, timeout: float
    ) -> contextlib.AbstractContextManager[None]:
        """Limit the wait for an upstream."""
        return self.clock.timeout(
            timeout, _make_timeout_error_factory(address, timeout)
        )


def _make_timeout_error_factory(
    address: str, timeout: float
) -> Callable[[], UpstreamError]:
    """Return a factory of the error for an unresponsive upstream."""

    def make() -> UpstreamError:
        return UpstreamError(
            f'{address} has sent nothing for {timeout:g} s',
            'check the upstream, or raise its time limit in the settings',
        )

    return make


@contextlib.contextmanager
def _translate_errors(address: str) -> Iterator[None]:
    """Translate transport errors by whether data may have been sent."""
    try:
        yield
    except _ConnectError as error:
        raise UpstreamNotStartedError(
            f'{address} accepts no connection ({error})',
            'check that the upstream runs and its address in the settings',
        ) from error
    except (OSError, HTTPParseError) as error:
        raise _make_broken_error(address, error) from error


def _make_broken_error(address: str, error: Exception) -> UpstreamError:
    """Return the error for an interrupted exchange."""
    disconnected = isinstance(error, OSError | HTTPConnectionClosed)
    disconnected &= not isinstance(error, BrokenAnswerError)
    kind = UpstreamDisconnectedError if disconnected else UpstreamError
    return kind(
        f'{address} broke the exchange off ({error})',
        'check the upstream; whether it ran the request is unknown',
    )
