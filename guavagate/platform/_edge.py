"""Dispatches HTTP requests of callers and trainers to their handlers."""

from typing import Final
from urllib.parse import SplitResult, parse_qs, unquote, urlsplit

from guavagate.clock import Clock
from guavagate.forwarding import send_text
from guavagate.front import (
    BodyReader,
    JobHandler,
    KeyAuthenticator,
    RequestHandler,
)
from guavagate.http1 import Exchange, HttpServer
from guavagate.jobs import ItemId, JobId
from guavagate.models import TeamId
from guavagate.platform import const
from guavagate.platform._jobs import BadJobError, decode_submission
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.routing import RouteTable, pick_service

_LOTS: Final = '/lots/'
_ITEMS: Final = '/items/'


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
        if target.startswith((_LOTS, _ITEMS)):
            self._handle_job_call(exchange, target)
        else:
            self._handle_route(exchange, body)

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
        deadline = exchange.get_header(const.DEADLINE.lower())
        if deadline.isdigit():
            timeout = min(timeout, int(deadline) / const.MILLIS)
        resume = exchange.get_header(const.RESUME.lower())
        return Call(
            id=request_id,
            request=exchange.request,
            body=body,
            until=exchange.arrived_at + timeout,
            resume_after=int(resume) if resume.isdigit() else 0,
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
        self._bodies.hold_job(exchange, body)
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
        if not after.isdigit():
            send_text(exchange, 400, 'after is a whole number, 0 or more')
            return
        wait = exchange.get_header(const.WAIT)
        seconds = int(wait) / const.MILLIS if wait.isdigit() else 0
        self._jobs.read(exchange, job, int(after), seconds, team)
