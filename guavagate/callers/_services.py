"""HTTP sink ``/v1/services/{service}/…``: calls to plain services."""

import logging
from typing import Final
from urllib.parse import quote

import falcon
import msgspec

from guavagate.auth import Authenticator
from guavagate.callers._idempotency import (
    make_keyed_request,
    read_idempotency_key,
    run_keyed,
)
from guavagate.callers._request import (
    CallerRequest,
    find_caller,
    open_request,
)
from guavagate.const import (
    HEADER_REQUEST_ID,
    HEADER_SAMPLER,
)
from guavagate.decisions import Work
from guavagate.events import write
from guavagate.events.edge import REQUEST_ANSWERED
from guavagate.exceptions import (
    RefusalError,
    UpstreamError,
)
from guavagate.ledger import Answer, Ledger
from guavagate.models import NotRun, RequestId
from guavagate.permits import (
    FailedAttempt,
    Permit,
    PermitClient,
    Release,
)
from guavagate.ports.plain_service import (
    PlainService,
    ServiceRequest,
)
from guavagate.quarantine import RequestContent, RequestIdentity
from guavagate.runtime import Runtime
from guavagate.settings import ServiceSettings, TeamSettings
from guavagate.util.units import parse_duration
from guavagate.web import read_body

_LOGGER = logging.getLogger(__name__)

_PATH_SAFE: Final = "/:@!$&'()*+,;=~"
# Not forwarded: they apply to this connection only, or are the caller's secret.
_UNFORWARDED_HEADERS = frozenset(
    ('AUTHORIZATION', 'HOST', 'CONNECTION', 'CONTENT-LENGTH', 'EXPECT')
)


class ServiceContext(msgspec.Struct, frozen=True, kw_only=True):
    """The dependencies of the route."""

    runtime: Runtime
    authenticator: Authenticator
    permits: PermitClient
    service: PlainService
    ledger: Ledger


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's call before an upstream is chosen."""

    caller_request: CallerRequest
    team: TeamSettings
    settings: ServiceSettings
    request: ServiceRequest


class ServicesSink:
    """Handles all methods and paths below a service."""

    def __init__(self, context: ServiceContext) -> None:
        self._context = context

    def __call__(
        self, req: falcon.Request, resp: falcon.Response, **kwargs: str
    ) -> None:
        """Answer a call with the upstream's complete answer."""
        caller_request = open_request(
            req, self._context.authenticator, self._context.runtime.clock
        )
        team, settings = _find_service(
            self._context, caller_request, kwargs['service']
        )
        call = ServiceCall(
            caller_request=caller_request,
            team=team,
            settings=settings,
            request=_make_service_request(
                req, caller_request, settings, kwargs['path']
            ),
        )
        answer = self._run(req, call)
        resp.status = answer.status
        for name, value in answer.headers:
            resp.append_header(name, value)
        resp.set_header(HEADER_REQUEST_ID, caller_request.id)
        resp.data = answer.body

    def _run(self, req: falcon.Request, call: ServiceCall) -> Answer:
        """Run a call, through the ledger if it is keyed and not repeatable.

        A repeatable call needs no ledger. A call that is not repeatable and has
        no key runs at most once, since this entry sends it once; if its caller
        repeats it, that is a request for a second run.
        """
        context = self._context
        if call.request.repeatable or not call.request.key:
            return run_call(context, call)
        keyed_request = make_keyed_request(
            req,
            call.caller_request,
            call.request.key,
            call.request.body,
        )
        remaining = call.caller_request.deadline - context.runtime.clock.now()
        return run_keyed(
            context.ledger,
            keyed_request,
            lambda: run_call(context, call),
            remaining,
        )


def run_call(context: ServiceContext, call: ServiceCall) -> Answer:
    """Run a call; one that is not repeatable starts at most once.

    Raises
    ------
    RefusalError
        No complete answer; `not_run` is true only if nothing can have started.
    """
    work = _make_work(context, call)
    pool = f'{call.team.team}/{call.settings.id}/0'
    failed: FailedAttempt | None = None
    started = False
    attempt = 0
    while True:
        permit = _acquire(context, pool, work, failed, started=started)
        request = msgspec.structs.replace(
            call.request,
            exchange=RequestId(f'{call.caller_request.id}.{attempt}'),
        )
        sent_at = context.permits.now()
        attempt += 1
        try:
            return _call_upstream(context, call, permit, request)
        except UpstreamError as error:
            failed = context.permits.record_failure(
                permit, work, error, context.permits.now() - sent_at
            )
            if not failed.started:
                continue
            started = True
            if not call.request.repeatable:
                raise _end_with_unknown_outcome(
                    context, permit, error
                ) from error


def _acquire(
    context: ServiceContext,
    pool: str,
    work: Work,
    failed: FailedAttempt | None,
    *,
    started: bool,
) -> Permit:
    try:
        return context.permits.acquire(pool, work, failed)
    except RefusalError as refusal:
        if started:
            refusal.not_run = NotRun.FALSE
        raise


def _call_upstream(
    context: ServiceContext,
    call: ServiceCall,
    permit: Permit,
    request: ServiceRequest,
) -> Answer:
    clock = context.runtime.clock
    started_at = clock.now()
    remaining = max(call.caller_request.deadline - started_at, 0.001)
    timeout = min(parse_duration(call.settings.timeout), remaining)
    try:
        answer = context.service.call(permit.address, request, timeout)
    except UpstreamError:
        context.permits.drop(permit)
        raise
    except BaseException:
        context.permits.release(permit, Release.CANCELLED)
        raise
    seconds = clock.now() - started_at
    context.permits.release(permit, Release.DONE, tokens=1, seconds=seconds)
    write(
        _LOGGER,
        REQUEST_ANSWERED,
        request=call.caller_request.id,
        samplers=[permit.upstream],
        status=answer.status,
    )
    sampler_header = (HEADER_SAMPLER, str(permit.upstream))
    return Answer(
        status=answer.status,
        headers=(*answer.headers, sampler_header),
        body=answer.body,
    )


def _end_with_unknown_outcome(
    context: ServiceContext, permit: Permit, error: UpstreamError
) -> RefusalError:
    """Release the permit of a call that may have run; return its refusal."""
    context.permits.release(permit, Release.FAILED)
    return RefusalError(
        f'the upstream gave no whole answer: {error.problem}',
        'it may have run; ask the service before you send it again',
        reason='outcome_unknown',
        status=502,
        not_run=NotRun.UNKNOWN,
    )


def _find_service(
    context: ServiceContext,
    caller_request: CallerRequest,
    service: str,
) -> tuple[TeamSettings, ServiceSettings]:
    team = context.runtime.teams.get(caller_request.identity.team)
    if team is not None:
        for settings in team.services:
            if settings.id == service:
                return team, settings
    raise RefusalError(
        f'{service!r} is no service of your team',
        'use the id of a service that your team declares',
        reason='unknown_service',
        status=404,
    )


def _make_service_request(
    request: falcon.Request,
    caller_request: CallerRequest,
    settings: ServiceSettings,
    path: str,
) -> ServiceRequest:
    query = f'?{request.query_string}' if request.query_string else ''
    headers = tuple(
        (name.title(), value)
        for name, value in request.headers.items()
        if name not in _UNFORWARDED_HEADERS
    )
    return ServiceRequest(
        exchange=caller_request.id,
        method=request.method,
        # The server has decoded the path. A space or line break in it would
        # split the upstream's request line.
        path=f'/{quote(path, safe=_PATH_SAFE)}{query}',
        headers=headers,
        body=read_body(request),
        key=read_idempotency_key(request),
        repeatable=request.method in settings.idempotent,
    )


def _make_work(context: ServiceContext, call: ServiceCall) -> Work:
    caller = find_caller(call.team, call.caller_request.identity)
    return Work(
        id=call.caller_request.id,
        team=call.team.team,
        caller=call.caller_request.identity.caller,
        deadline=call.caller_request.deadline,
        expected_tokens=1,
        idempotent=call.request.repeatable,
        weight=caller.weight if caller else 1.0,
        team_weight=call.team.weight,
        zone=context.runtime.settings.availability_zone,
        identity=_identify(call),
    )


def _identify(call: ServiceCall) -> RequestIdentity:
    return RequestContent(
        team=call.team.team,
        method=call.request.method,
        host=call.settings.id,
        target=call.request.path,
        body=call.request.body,
    ).identify()
