"""Dispatches HTTP requests of callers and trainers to their handlers."""

from typing import Final
from urllib.parse import SplitResult, parse_qs, unquote, urlsplit

from guavagate.clock import Clock
from guavagate.exceptions import BadNumberError
from guavagate.forwarding import send_text
from guavagate.front import (
    BodyReader,
    JobHandler,
    KeyAuthenticator,
    RequestHandler,
)
from guavagate.helpers.numbers import read_whole_number
from guavagate.http1 import Exchange, HttpServer
from guavagate.jobs import BadJobError, ItemId, JobId
from guavagate.models import TeamId
from guavagate.platform import const
from guavagate.platform._jobs import decode_submission
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.routing import RouteTable, pick_service

_LOTS: Final = '/lots/'
_ITEMS: Final = '/items/'
# More results than any job has.
MAX_POSITION: Final = 10**9


class Edge:
    """Decodes requests of callers and trainers, and dispatches them."""

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        authenticator: KeyAuthenticator,
        requests: RequestHandler,
        jobs: JobHandler,
        bodies: BodyReader,
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._authenticator = authenticator
        self._requests = requests
        self._jobs = jobs
        self._bodies = bodies

    def serve(self, address: str) -> HttpServer:
        """Return a server for callers and trainers, not yet started."""
        return self._bodies.make_server(address, self._clock, self.handle)

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        exchange.id = exchange.get_header(const.REQUEST_ID.lower())
        body = self._bodies.read(exchange)
        if body is None:
            return
        target = exchange.request.target
        try:
            if target.startswith((_LOTS, _ITEMS)):
                self._handle_job_call(exchange, target)
            else:
                self._handle_route(exchange, body)
        except BadNumberError as error:
            send_text(exchange, 400, str(error))

    def _handle_route(self, exchange: Exchange, body: bytes) -> None:
        found = self._authenticator.find_route(exchange)
        if found is None:
            return
        route, team = found
        request_id = exchange.id
        if not request_id:
            name = const.REQUEST_ID.decode()
            send_text(exchange, 400, f'send {name}')
            return
        if route.kind is RouteKind.JOB:
            self._accept_job(exchange, route, request_id, body, team)
            return
        call = self._make_call(exchange, route, request_id, body, team)
        service = pick_service(route, request_id)
        self._requests.forward(exchange, call, route, service)

    def _make_call(
        self,
        exchange: Exchange,
        route: Route,
        request_id: str,
        body: bytes,
        team: TeamId,
    ) -> Call:
        timeout = route.timeout
        deadline = _read_number(exchange, const.DEADLINE)
        if deadline is not None:
            timeout = min(timeout, deadline / const.MILLIS)
        resume_after = 0
        if route.kind is RouteKind.STREAM:
            resume_after = _read_number(exchange, const.RESUME) or 0
        return Call(
            id=request_id,
            request=exchange.request,
            body=body,
            until=exchange.arrived_at + timeout,
            resume_after=resume_after,
            team=team,
            keyed=self._routes.keys.needed,
        )

    def _accept_job(
        self,
        exchange: Exchange,
        route: Route,
        request_id: str,
        body: bytes,
        team: TeamId,
    ) -> None:
        if exchange.request.method != 'POST':
            send_text(exchange, 405, 'submit with POST')
            return
        if not self._bodies.admit_job(exchange, body):
            return
        try:
            job = decode_submission(
                request_id,
                body,
                route,
                pick_service(route, request_id),
                self._clock.wall(),
                self._routes.hosts(),
                team,
            )
        except BadJobError as error:
            send_text(exchange, 400, str(error))
        else:
            self._jobs.accept(exchange, job)

    def _handle_job_call(self, exchange: Exchange, target: str) -> None:
        team = self._authenticator.authenticate(exchange)
        if team is None:
            return
        url = urlsplit(target)
        if target.startswith(_ITEMS):
            job = JobId(unquote(url.path.removeprefix(_ITEMS)))
            item = ItemId(parse_qs(url.query).get('id', [''])[0])
            self._jobs.read_item(exchange, job, item, team)
            return
        job = JobId(unquote(url.path.removeprefix(_LOTS)))
        if exchange.request.method == 'DELETE':
            self._jobs.end(exchange, job, team)
        elif exchange.request.method == 'GET':
            self._read_results(exchange, url, job, team)
        else:
            send_text(exchange, 405, 'read with GET, end with DELETE')

    def _read_results(
        self, exchange: Exchange, url: SplitResult, job: JobId, team: TeamId
    ) -> None:
        after = parse_qs(url.query).get('after', ['0'])[0]
        position = read_whole_number('after', after, MAX_POSITION)
        wait = _read_number(exchange, const.WAIT) or 0
        self._jobs.read(exchange, job, position, wait / const.MILLIS, team)


def _read_number(exchange: Exchange, header: bytes) -> int | None:
    """Return the number that a header contains, or `None` if it is missing."""
    text = exchange.get_header(header.lower())
    return read_whole_number(header.decode(), text) if text else None
