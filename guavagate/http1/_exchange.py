"""One request of a caller, and the answer to it."""

from collections.abc import Callable
from typing import Final

import h11

from guavagate.http1._caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
)
from guavagate.http1._messages import Headers, Request, find_header

_REASONS: Final = {
    200: b'OK',
    202: b'Accepted',
    404: b'Not Found',
    503: b'Service Unavailable',
}


class BodyTooLargeError(Exception):
    """The body is over the limit."""


class Exchange:
    """One request of a caller, and the answer to it."""

    def __init__(self, connection: CallerConnection, request: Request) -> None:
        self._connection = connection
        self.request = request
        self.disconnected = connection.disconnected
        self.started = False
        self.ended = False
        self.arrived_at = connection.clock.now()

    def get_header(self, name: bytes) -> str:
        """Return a request header by its name in lower case."""
        return find_header(self.request.headers, name)

    def get_header_values(self, name: bytes) -> list[str]:
        """Return all values of a request header by its name in lower case."""
        return [
            content.decode('latin-1')
            for held, content in self.request.headers
            if held.lower() == name
        ]

    def on_disconnect(self, call: Callable[[], None] | None) -> None:
        """Call back, without blocking, when the caller leaves."""
        self._connection.on_disconnect = call
        if call is not None and self.disconnected.is_set():
            call()

    def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTooLargeError
            It is over the limit; the rest is not read.
        CallerDisconnectedError
            The caller left before all of it was here.
        SlowBodyError
            Nothing more came for the idle time.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._connection.next_body_event()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise CallerDisconnectedError
            size += len(event.data)
            if size > limit:
                raise BodyTooLargeError
            parts.append(bytes(event.data))

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b'Content-Length', str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.send(body)
        self.end()

    def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        keep = (
            self._connection.discard_body()
            and not self._connection.is_closing()
        )
        extra = [] if keep else [(b'Connection', b'close')]
        self.started = True
        self._connection.write(
            h11.Response(
                status_code=status,
                headers=[*headers, *extra],
                reason=_REASONS.get(status, b''),
            )
        )

    def send(self, part: bytes) -> None:
        """Send a part of the body."""
        self._connection.write(h11.Data(data=part))

    def end(self) -> None:
        """End the answer as complete."""
        self._connection.write(h11.EndOfMessage())
        self.ended = True

    def abort(self) -> None:
        """Cut the connection: the answer must not look complete."""
        self._connection.reset()


Handler = Callable[[Exchange], None]
