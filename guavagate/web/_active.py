"""Counts the active requests, streams included, and refuses late ones."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

from gevent.event import Event

from guavagate.exceptions import RefusalError
from guavagate.web._errors import encode_refusal

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
# Called at the start of a request; the function that it returns is called with
# the status at the end.
RequestObserver = Callable[[dict[str, Any]], Callable[[str], None]]


# Operators watch a stop by these, and they end at once.
ALWAYS_SERVED: Final = ('/healthz', '/readyz', '/v1/operators/')
_REFUSED_STATUS: Final = '503 Service Unavailable'
_RETRY_SECONDS: Final = 1


class ActiveRequests:
    """Wraps an app so that a planned stop can wait until no request is active.

    While `closing`, each answer asks its caller to close the connection. The
    load balancer then sends the next request to another instance. While
    `refusing`, requests on open connections are refused: the stop may end
    before them, and what has not run may run elsewhere.
    """

    def __init__(
        self, app: WsgiApp, observer: RequestObserver | None = None
    ) -> None:
        self._app = app
        self._observer = observer or _ignore_request
        self.count = 0
        self.closing = False
        self.refusing = False
        self._idle = Event()
        self._idle.set()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Answer a request and count it until its last byte is written."""
        if self.refusing and not environ['PATH_INFO'].startswith(ALWAYS_SERVED):
            yield _refuse(start_response)
            return
        self.count += 1
        self._idle.clear()
        try:
            yield from self._answer(environ, start_response)
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    def wait_idle(self) -> None:
        """Block until no request is active."""
        self._idle.wait()

    def _answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        end = self._observer(environ)
        sent_status = ['']

        def start(
            status: str,
            headers: list[tuple[str, str]],
            *args: Any,
        ) -> Any:
            sent_status[0] = status
            if self.closing:
                headers = [*headers, ('Connection', 'close')]
            return start_response(status, headers, *args)

        body = self._app(environ, start)
        try:
            yield from body
        finally:
            close = getattr(body, 'close', None)
            if close is not None:
                close()
            end(sent_status[0])


def _refuse(start_response: Callable[..., Any]) -> bytes:
    """Begin a refusal, and return its body."""
    body = encode_refusal(
        RefusalError(
            'this instance is being stopped',
            'send the request again; another instance will get it',
            reason='stopping',
            retry_after=_RETRY_SECONDS,
        )
    )
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        ('Retry-After', str(_RETRY_SECONDS)),
        ('Connection', 'close'),
    ]
    start_response(_REFUSED_STATUS, headers)
    return body


def _ignore_request(environ: dict[str, Any]) -> Callable[[str], None]:
    return lambda status: None
