"""A request of a caller and the response to it."""

from collections.abc import Callable
from typing import Final

import h11

from guavagate.http1._caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
)
from guavagate.http1._messages import Headers, Request, find_header

_REASON_PHRASES: Final = {
    200: b'OK',
    202: b'Accepted',
    404: b'Not Found',
    503: b'Service Unavailable',
}


class BodyTooLargeError(Exception):
    """The request body exceeds the limit."""


class Exchange:
    """A request of a caller and the response to it."""

    def __init__(self, connection: CallerConnection, request: Request) -> None:
        self._connection = connection
        self.request = request
        self.disconnected = connection.disconnected
        self.started = False
        self.ended = False
        self.arrived_at = connection.clock.now()

    def get_header(self, name: bytes) -> str:
        """Return the value of a header; the name is in lower case."""
        return find_header(self.request.headers, name)

    def get_header_values(self, name: bytes) -> list[str]:
        """Return all values of a header; the name is in lower case."""
        return [
            content.decode('latin-1')
            for key, content in self.request.headers
            if key.lower() == name
        ]

    def on_disconnect(self, call: Callable[[], None] | None) -> None:
        """Set what to call, without blocking, when the caller disconnects."""
        self._connection.on_disconnect = call
        if call is not None and self.disconnected.is_set():
            call()

    def read_body(self, limit: int) -> bytes:
        """Return the complete body.

        Raises
        ------
        BodyTooLargeError
            The body exceeds the limit; the rest is not read.
        CallerDisconnectedError
            The caller disconnected before the body was complete.
        SlowBodyError
            No more of it arrived within the idle timeout.
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
        """Send a complete response."""
        length = (b'Content-Length', str(len(body)).encode())
        self.start(status, [*headers, length])
        if body:
            self.send(body)
        self.end()

    def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the response."""
        keep_open = (
            self._connection.discard_body()
            and not self._connection.is_closing()
        )
        extra = [] if keep_open else [(b'Connection', b'close')]
        self.started = True
        self._connection.write(
            h11.Response(
                status_code=status,
                headers=[*headers, *extra],
                reason=_REASON_PHRASES.get(status, b''),
            )
        )

    def send(self, part: bytes) -> None:
        """Send a part of the response body."""
        self._connection.write(h11.Data(data=part))

    def end(self) -> None:
        """Mark the response as complete."""
        self._connection.write(h11.EndOfMessage())
        self.ended = True

    def abort(self) -> None:
        """Close the connection, so that the response looks incomplete."""
        self._connection.reset()


Handler = Callable[[Exchange], None]
