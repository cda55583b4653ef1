"""HTTP exchanges with upstreams that tell "not sent" from "maybe run".

The library repeats a request of an idempotent method by itself when the
connection breaks. The settings may declare such a method as not repeatable,
and a repeat would run it twice; so the library's own repeats are off here and
whoever asked decides.
"""

import contextlib
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import gevent
from gevent import socket
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError

CONNECT_SECONDS: Final = 1.0
# A connection that has been idle for longer may have been forgotten by
# something on the way: it goes silent instead of being refused, and the
# request would wait for its whole time limit.
IDLE_SECONDS: Final = 10.0
IDLE_CONNECTIONS: Final = 8
MAX_CONNECTIONS: Final = 100_000

Response = HTTPSocketPoolResponse


class _ConnectError(Exception):
    """The connection was not made, so nothing was sent."""


class _Pool(ConnectionPool):
    """Connections to one address, with a bound on idle ones."""

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
        # The library repeats up to `size` + 1 times; this switches it off.
        self.size = -1
        self._clock = clock
        self._max_idle = max_idle
        self._idle_since: dict[socket.socket, float] = {}
        # Tasks that wait for a connection: nothing of theirs has been sent.
        self.connecting: set[gevent.Greenlet] = set()

    def return_socket(self, sock: socket.socket) -> None:
        """Keep the connection for reuse, or close it."""
        if self._socket_queue.qsize() >= self._max_idle:
            self.release_socket(sock)
            return
        self._idle_since[sock] = self._clock.now()
        super().return_socket(sock)

    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        """Refuse connections that are closed or were idle for long."""
        if sock is None:
            return False
        since = self._idle_since.pop(sock, 0)
        if self._clock.now() - since > IDLE_SECONDS:
            return False
        return super()._is_socket_alive(sock)

    def _create_socket(self) -> socket.socket:
        """Connect; a failure here is certainly before any byte was sent."""
        task = gevent.getcurrent()
        self.connecting.add(task)
        try:
            sock = super()._create_socket()
        except OSError as error:
            raise _ConnectError(str(error)) from error
        self.connecting.discard(task)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


class _Client(HTTPClient):
    """The library's client over our pool."""

    def __init__(self, clock: Clock, address: str, max_idle: int) -> None:
        host, _, port = address.rpartition(':')
        super().__init__(host, int(port), disable_ipv6=True)
        self.pool = _Pool(clock, max_idle, host, int(port))
        self._connection_pool = self.pool


class Connections:
    """All connections of one adapter, by address."""

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
        """Send one request, once, and wait for the answer's headers.

        Parameters
        ----------
        timeout
            Seconds until the headers must be there.
        reuse
            Whether a kept connection may carry it. A kept connection that its
            peer closes at this moment leaves the outcome unknown, so requests
            that may not be repeated get a connection of their own.

        Raises
        ------
        UpstreamNotStartedError
            No connection was made; nothing was sent.
        UpstreamError
            Some of the request may have gone out.
        """
        client = self._client(address, reuse=reuse)
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
                return client.request(method, path, body, dict(headers or {}))
        finally:
            connecting.discard(gevent.getcurrent())

    def read(self, address: str, answer: Response, timeout: float) -> bytes:
        """Read a whole body; a cut one raises `UpstreamError`."""
        with _translate_errors(address), self._limit_time(address, timeout):
            return bytes(answer.read())

    def read_until(
        self, end: bytes, address: str, answer: Response, timeout: float
    ) -> bytes:
        """Read a stream up to an end mark; nothing at its clean end.

        This runs once for each streamed event, so it has no context managers
        but the clock's.
        """
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

    def _client(self, address: str, *, reuse: bool) -> _Client:
        """Return the client of an address."""
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
        """Bound a wait for an upstream."""
        return self.clock.timeout(
            timeout, _make_timeout_error_factory(address, timeout)
        )


def _make_timeout_error_factory(
    address: str, timeout: float
) -> Callable[[], UpstreamError]:
    """Return what makes the error of a silent upstream."""

    def make() -> UpstreamError:
        return UpstreamError(
            f'{address} has sent nothing for {timeout:g} s',
            'check the upstream, or raise its time limit in the settings',
        )

    return make


@contextlib.contextmanager
def _translate_errors(address: str) -> Iterator[None]:
    """Turn transport errors into ours by whether bytes may have gone out."""
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
    """Return the error of an exchange that broke off."""
    return UpstreamError(
        f'{address} broke the exchange off ({error})',
        'check the upstream; whether it ran the request is unknown',
    )
