"""The callers' edge on the platform: which call is which, and its answer."""

import logging
from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs, unquote, urlsplit

from gevent.queue import Queue

from guavagate.clock import Clock
from guavagate.events import edge as edge_events
from guavagate.events import jobs as job_events
from guavagate.events import write
from guavagate.forwarding import (
    Forwarder,
    StreamForwarder,
    answer,
    log_outcome,
    read_or_refuse,
    refuse,
    say,
)
from guavagate.helpers.store_writes import MaybeWrittenError, NotWrittenError
from guavagate.http1 import Exchange
from guavagate.jobs import (
    ItemId,
    Job,
    JobId,
    JobReader,
    JobShelf,
    Knowledge,
    OtherJobError,
)
from guavagate.metrics import Metrics, names
from guavagate.models import ServiceId
from guavagate.platform import const
from guavagate.platform._jobs import (
    BadJobError,
    decode_submission,
    encode_page,
)
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.routing import RouteTable, pick_service

_LOGGER: Final = logging.getLogger(__name__)

_JSON: Final = (b'Content-Type', b'application/json')
# A trainer that is refused asks at another instance soon.
JOB_RETRY_SECONDS: Final = 0.5
UNREADY_RETRY_SECONDS: Final = 0.3
# A process that has just started reads its configuration in two calls of some
# milliseconds. Callers that come meanwhile are served after that; one that was
# refused comes back after ten times as long, or not at all.
LOADING_SECONDS: Final = 0.1
ACCEPT_SECONDS: Final = 2.5
END_SECONDS: Final = 2.5
MAX_WAIT_SECONDS: Final = 1.0


class Edge:
    """Answers callers' requests."""

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        forwarder: Forwarder,
        streams: StreamForwarder,
        shelf: JobShelf,
        reader: JobReader,
        wait_loaded: Callable[[float], bool],
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._forwarder = forwarder
        self._streams = streams
        self._shelf = shelf
        self._reader = reader
        self._wait_loaded = wait_loaded
        self._metrics = metrics

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        loaded = self._wait_loaded(LOADING_SECONDS)
        configuration = self._routes.configuration
        if configuration is None or not loaded:
            write(
                _LOGGER,
                edge_events.REFUSED_UNCONFIGURED,
                request=exchange.find(const.REQUEST_ID.lower()),
                loaded=loaded,
            )
            refuse(exchange, 'no configuration yet', UNREADY_RETRY_SECONDS)
            return
        body = read_or_refuse(exchange, configuration.limits.body_bytes)
        if body is None:
            return
        target = exchange.request.target
        if target.startswith('/lots/'):
            self._handle_lot(exchange, target)
        elif target.startswith('/items/'):
            self._handle_item(exchange, target)
        else:
            self._handle_route(exchange, body)

    def _handle_route(self, exchange: Exchange, body: bytes) -> None:
        route = self._routes.find(
            exchange.find(b'host'), exchange.request.target
        )
        if route is None:
            say(exchange, 404, 'no route of the configuration matches')
            return
        request_id = exchange.find(const.REQUEST_ID.lower())
        if not request_id:
            name = const.REQUEST_ID.decode()
            say(exchange, 400, f'send {name}')
            return
        service = pick_service(route, request_id)
        if route.kind is RouteKind.JOB:
            self._accept(exchange, route, service, request_id, body)
            return
        self._forward(exchange, route, service, request_id, body)

    def _forward(
        self,
        exchange: Exchange,
        route: Route,
        service: ServiceId,
        request_id: str,
        body: bytes,
    ) -> None:
        allowed = route.timeout
        deadline = exchange.find(const.DEADLINE.lower())
        if deadline.isdigit():
            allowed = min(allowed, int(deadline) / const.MILLIS)
        resume = exchange.find(const.RESUME.lower())
        call = Call(
            id=request_id,
            request=exchange.request,
            body=body,
            until=exchange.arrived + allowed,
            resume_after=int(resume) if resume.isdigit() else 0,
        )
        if route.kind is RouteKind.STREAM:
            outcome = self._streams.forward(exchange, call, route, service)
        else:
            ended: Queue = Queue()
            exchange.on_gone(lambda: ended.put(None))
            outcome = self._forwarder.forward(call, route, service, ended)
            exchange.on_gone(None)
        seconds = self._clock.now() - exchange.arrived
        log_outcome(call, route, outcome, seconds)
        self._metrics.observe(
            names.FORWARD_SECONDS, seconds, outcome=outcome.kind.value
        )
        if not exchange.started:
            answer(exchange, outcome)

    def _accept(
        self,
        exchange: Exchange,
        route: Route,
        service: ServiceId,
        request_id: str,
        body: bytes,
    ) -> None:
        if exchange.request.method != 'POST':
            say(exchange, 405, 'submit with POST')
            return
        try:
            job = decode_submission(
                request_id,
                body,
                route,
                service,
                self._clock.wall(),
                self._routes.hosts(),
            )
        except BadJobError as error:
            say(exchange, 400, str(error))
            return
        try:
            new = self._shelf.accept(job, ACCEPT_SECONDS)
        except OtherJobError:
            say(exchange, 409, 'the id is taken by another job; use a new one')
        except (NotWrittenError, MaybeWrittenError) as error:
            self._tell_not_accepted(exchange, job, error)
        else:
            self._reader.remember(job)
            seconds = self._clock.now() - exchange.arrived
            self._metrics.observe(names.ACCEPT_SECONDS, seconds)
            write(
                _LOGGER,
                job_events.ACCEPTED,
                job=job.id,
                step=job.step,
                items=len(job.items),
                new=new,
                seconds=round(seconds, 3),
            )
            exchange.respond(202, [], b'')

    def _tell_not_accepted(
        self, exchange: Exchange, job: Job, error: Exception
    ) -> None:
        if isinstance(error, MaybeWrittenError):
            write(_LOGGER, job_events.UNSURE, job=job.id)
            say(exchange, 504, 'it may have been accepted; send it again')
            return
        write(_LOGGER, job_events.REFUSED, job=job.id, reason='no store')
        refuse(exchange, 'the store takes no writes', JOB_RETRY_SECONDS)

    def _handle_lot(self, exchange: Exchange, target: str) -> None:
        parts = urlsplit(target)
        job = JobId(unquote(parts.path.removeprefix('/lots/')))
        if exchange.request.method == 'DELETE':
            self._end(exchange, job)
            return
        if exchange.request.method != 'GET':
            say(exchange, 405, 'read with GET, end with DELETE')
            return
        after = parse_qs(parts.query).get('after', ['0'])[0]
        if not after.isdigit():
            say(exchange, 400, 'after is a whole number, 0 or more')
            return
        wait = exchange.find(const.WAIT)
        seconds = int(wait) / const.MILLIS if wait.isdigit() else 0
        known, page = self._reader.read(
            self._routes.job_services(),
            job,
            int(after),
            min(seconds, MAX_WAIT_SECONDS),
        )
        if page is None:
            _tell_unknown(exchange, known)
            return
        exchange.respond(200, [_JSON], encode_page(page))

    def _handle_item(self, exchange: Exchange, target: str) -> None:
        parts = urlsplit(target)
        job = JobId(unquote(parts.path.removeprefix('/items/')))
        item = ItemId(parse_qs(parts.query).get('id', [''])[0])
        known, body = self._reader.read_item(
            self._routes.job_services(), job, item
        )
        if known is not Knowledge.FOUND:
            _tell_unknown(exchange, known)
            return
        octets = (b'Content-Type', b'application/octet-stream')
        exchange.respond(200, [octets], body)

    def _end(self, exchange: Exchange, job: JobId) -> None:
        known = self._reader.exists(self._routes.job_services(), job)
        if known is not Knowledge.FOUND:
            _tell_unknown(exchange, known)
            return
        try:
            self._shelf.end(job, END_SECONDS)
        except (NotWrittenError, MaybeWrittenError):
            say(exchange, 504, 'it may have been ended; send it again')
        else:
            exchange.respond(200, [], b'')


def _tell_unknown(exchange: Exchange, known: Knowledge) -> None:
    if known is Knowledge.MISSING:
        say(exchange, 404, 'there is no such job or item')
        return
    refuse(exchange, 'not known at the moment', UNREADY_RETRY_SECONDS)
