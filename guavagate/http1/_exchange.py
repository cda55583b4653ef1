"""One request of a caller, and the answer to it."""

from collections.abc import Callable
from typing import Final

import h11

from guavagate.http1._caller_link import CallerGoneError, CallerLink
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

    def __init__(self, link: CallerLink, request: Request) -> None:
        self._link = link
        self.request = request
        self.gone = link.gone
        self.started = False
        self.ended = False
        self.arrived = link.clock.now()

    def find(self, name: bytes) -> str:
        """Return a request header by its name in lower case."""
        return find_header(self.request.headers, name)

    def find_all(self, name: bytes) -> list[str]:
        """Return all values of a request header by its name in lower case."""
        return [
            content.decode('latin-1')
            for held, content in self.request.headers
            if held.lower() == name
        ]

    def on_gone(self, call: Callable[[], None] | None) -> None:
        """Call back, without blocking, when the caller leaves."""
        self._link.on_gone = call
        if call is not None and self.gone.is_set():
            call()

    def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        BodyTooLargeError
            It is over the limit; the rest is not read.
        CallerGoneError
            The caller left before all of it was here.
        SlowBodyError
            Nothing more came for the idle time.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._link.next_part()
            if isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            if not isinstance(event, h11.Data):
                raise CallerGoneError
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
        keep = self._link.skip_body() and not self._link.closing()
        extra = [] if keep else [(b'Connection', b'close')]
        self.started = True
        self._link.write(
            h11.Response(
                status_code=status,
                headers=[*headers, *extra],
                reason=_REASONS.get(status, b''),
            )
        )

    def send(self, part: bytes) -> None:
        """Send a part of the body."""
        self._link.write(h11.Data(data=part))

    def end(self) -> None:
        """End the answer as complete."""
        self._link.write(h11.EndOfMessage())
        self.ended = True

    def abort(self) -> None:
        """Cut the connection: the answer must not look complete."""
        self._link.reset()


Handle = Callable[[Exchange], None]
