"""Requests to upstreams over kept connections, each answer matched by id."""

import contextlib
import select
from collections import deque
from collections.abc import Iterator
from typing import Final

import h11
from gevent import monkey, socket

from guavagate.clock import Clock
from guavagate.exceptions import (
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamUnreachableError,
)
from guavagate.http1._messages import Headers, Request, find_header
from guavagate.http1._sockets import set_socket_options

CONNECT_SECONDS: Final = 1.0
# Without a Keep-Alive header, how long an idle connection is trusted.
IDLE_SECONDS: Final = 10.0
# An upstream closes an idle connection at its own timeout; a request that
# crosses the close is lost, so it is given up a little before. What may not
# be repeated gets a connection of its own.
IDLE_LIMIT_SHARE: Final = 0.9
_READ_BYTES: Final = 65_536
SWEEP_INTERVAL_SECONDS: Final = 5.0
_MAX_IDLE_CONNECTIONS: Final = 32
# The patched one lets other tasks run, which change the list being looked at.
_poll: Final = monkey.get_original('select', 'poll')


class Connection:
    """One connection to an upstream, serving one request at a time."""

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.sock = sock
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_READ_BYTES
        )
        self.idle_since = clock.now()
        self.idle_limit = IDLE_SECONDS

    def is_fresh(self, now: float) -> bool:
        """Return whether the other side still keeps it, as far as is known."""
        return now - self.idle_since <= self.idle_limit * IDLE_LIMIT_SHARE

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may carry one more request.

        Bytes that wait here belong to no request: a second or late answer,
        or the other side's close.
        """
        if not self.is_fresh(now):
            return False
        waiting = _poll()
        waiting.register(self.sock.fileno(), select.POLLIN)
        return not waiting.poll(0)

    def close(self) -> None:
        """Close; the upstream drops what it was working on."""
        self.sock.close()


class Answer:
    """An upstream's answer, read as it comes."""

    def __init__(
        self, pool: 'ConnectionPool', address: str, connection: Connection
    ) -> None:
        self._pool = pool
        self._address = address
        self._connection: Connection | None = connection
        self.status = 0
        self.headers: Headers = []
        self.complete = False

    def get_header(self, name: bytes) -> str:
        """Return a header's value by its name in lower case."""
        return find_header(self.headers, name)

    def read_head(self) -> None:
        """Wait for the final status and headers."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                break
            if not isinstance(event, h11.InformationalResponse):
                raise self._make_error(f'sent {event!r} for an answer')
        self.status = event.status_code
        self.headers = list(event.headers.raw_items())

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; a cut one ends with `UpstreamError`."""
        while not self.complete:
            event = self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
            else:
                raise self._make_error('closed in the middle of its answer')
        self._release()

    def read(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.chunks())

    def close(self) -> None:
        """End the exchange; an unfinished one is cut."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _next_event(self) -> object:
        connection = self._connection
        if connection is None:
            raise self._make_error('was left by us')
        try:
            while True:
                event = connection.http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                connection.http.receive_data(connection.sock.recv(_READ_BYTES))
        except (OSError, h11.RemoteProtocolError) as error:
            raise self._make_error(
                str(error) or type(error).__name__
            ) from error

    def _make_error(self, problem: str) -> UpstreamError:
        self.close()
        return UpstreamError(
            f'{self._address}: {problem}',
            'check the upstream; whether it ran the request is unknown',
        )

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._pool.release(self._address, connection, self)


class ConnectionPool:
    """All connections of one process to its upstreams, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[Connection]] = {}
        self.opened = 0

    def send(
        self,
        address: str,
        request: Request,
        body: bytes = b'',
        *,
        timeout: float | None,
        reuse: bool = True,
    ) -> Answer:
        """Send one request, once, and wait for its answer's head.

        Parameters
        ----------
        timeout
            Seconds until the head must be there; none waits as long as the
            connection lives.
        reuse
            Whether a kept connection may carry it.

        Raises
        ------
        UpstreamNotStartedError
            No connection was made; nothing was sent.
        UpstreamError
            Some of the request may have gone out.
        """
        connection = self._acquire(address) if reuse else None
        if connection is None:
            connection = self._connect(address)
        answer = Answer(self, address, connection)
        with self._limit_time(address, timeout):
            try:
                _write(connection, request, body)
                answer.read_head()
            except BaseException:
                answer.close()
                raise
        return answer

    def release(
        self, address: str, connection: Connection, answer: Answer
    ) -> None:
        """Keep a connection whose answer has ended, if it may be used."""
        http = connection.http
        done = http.our_state is h11.DONE and http.their_state is h11.DONE
        idle = self._idle.setdefault(address, deque())
        if (
            not done
            or http.trailing_data[0]
            or len(idle) >= _MAX_IDLE_CONNECTIONS
        ):
            connection.close()
            return
        http.start_next_cycle()
        connection.idle_since = self._clock.now()
        connection.idle_limit = _read_keep_alive(answer)
        idle.append(connection)

    def has_idle_connection(self, address: str) -> bool:
        """Return whether an idle connection to an address is kept."""
        idle = self._idle.get(address)
        return bool(idle and idle[-1].is_fresh(self._clock.now()))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address no longer in use."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def start_sweeping(self) -> None:
        """Close unusable idle connections now and then."""
        self._clock.spawn(self._sweep_periodically)

    def _sweep_periodically(self) -> None:
        while True:
            self._clock.sleep(SWEEP_INTERVAL_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Close idle connections that would not be used any more."""
        now = self._clock.now()
        for address, idle in list(self._idle.items()):
            kept = deque(each for each in idle if each.is_usable(now))
            for connection in idle:
                if connection not in kept:
                    connection.close()
            self._idle[address] = kept
            if not kept:
                self._idle.pop(address)

    def _acquire(self, address: str) -> Connection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable(self._clock.now()):
                return connection
            connection.close()
        return None

    def _connect(self, address: str) -> Connection:
        host, _, port = address.rpartition(':')
        try:
            sock = socket.create_connection(
                (host, int(port)), timeout=CONNECT_SECONDS
            )
        except OSError as error:
            raise UpstreamUnreachableError(
                f'{address} accepts no connection ({error})',
                'check that the upstream runs',
            ) from error
        sock.settimeout(None)
        set_socket_options(sock)
        self.opened += 1
        return Connection(sock, self._clock)

    def _limit_time(
        self, address: str, timeout: float | None
    ) -> contextlib.AbstractContextManager[None]:
        if timeout is None:
            return contextlib.nullcontext()
        return self._clock.timeout(
            timeout,
            lambda: UpstreamError(
                f'{address} has not answered for {timeout:g} s',
                'check the upstream; whether it ran the request is unknown',
            ),
        )


def _write(connection: Connection, request: Request, body: bytes) -> None:
    """Send a request; an answer that comes before all is sent counts."""
    http = connection.http
    headers = list(request.headers)
    if body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        headers.append((b'Content-Length', str(len(body)).encode()))
    try:
        parts = [
            http.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
            ),
            http.send(h11.Data(data=body)) if body else b'',
            http.send(h11.EndOfMessage()),
        ]
    except h11.LocalProtocolError as error:
        raise UpstreamNotStartedError(
            f'the request can not be sent on ({error})',
            'send a request that is valid HTTP/1.1',
        ) from error
    # An upstream may answer and close while a long body is still on its way;
    # then this write fails and the answer waits to be read.
    with contextlib.suppress(OSError):
        connection.sock.sendall(b''.join(part for part in parts if part))


def _read_keep_alive(answer: Answer) -> float:
    for part in answer.get_header(b'keep-alive').split(','):
        name, _, amount = part.strip().partition('=')
        if name.lower() == 'timeout' and amount.isdigit():
            return float(amount)
    return IDLE_SECONDS
