"""``/v1/services/{service}/…``: plain services, all methods."""

import logging
from typing import Final
from urllib.parse import quote

import falcon
import msgspec

from guavagate.auth import Authenticator
from guavagate.callers._idempotency import (
    make_once_request,
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
    UpstreamNotStartedError,
)
from guavagate.ledger import Answer, Ledger
from guavagate.models import NotRun, RequestId
from guavagate.permits import (
    FailedAttempt,
    Permit,
    PermitClient,
    Release,
    describe_failure,
)
from guavagate.ports.plain_service import (
    PlainService,
    ServiceRequest,
)
from guavagate.runtime import Runtime
from guavagate.settings import ServiceSettings, TeamSettings
from guavagate.util.units import parse_duration
from guavagate.web import read_body

_LOGGER = logging.getLogger(__name__)

_PATH_SAFE: Final = "/:@!$&'()*+,;=~"
# Not passed on: they concern this exchange alone, or are our callers' secret.
_OWN_HEADERS = frozenset(
    ('AUTHORIZATION', 'HOST', 'CONNECTION', 'CONTENT-LENGTH', 'EXPECT')
)


class ServiceContext(msgspec.Struct, frozen=True, kw_only=True):
    """What the route works with."""

    runtime: Runtime
    authenticator: Authenticator
    permits: PermitClient
    service: PlainService
    ledger: Ledger


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of a caller, before an upstream is chosen."""

    opened: CallerRequest
    team: TeamSettings
    settings: ServiceSettings
    request: ServiceRequest


class ServicesSink:
    """All methods and paths below a service."""

    def __init__(self, parts: ServiceContext) -> None:
        self._parts = parts

    def __call__(
        self, req: falcon.Request, resp: falcon.Response, **kwargs: str
    ) -> None:
        """Answer one call with the upstream's whole answer."""
        opened = open_request(
            req, self._parts.authenticator, self._parts.runtime.clock
        )
        team, settings = _find_service(self._parts, opened, kwargs['service'])
        call = ServiceCall(
            opened=opened,
            team=team,
            settings=settings,
            request=_read_call(req, opened, settings, kwargs['path']),
        )
        answer = self._run(req, call)
        resp.status = answer.status
        for name, value in answer.headers:
            resp.append_header(name, value)
        resp.set_header(HEADER_REQUEST_ID, opened.id)
        resp.data = answer.body

    def _run(self, req: falcon.Request, call: ServiceCall) -> Answer:
        """Run a call, through the ledger when a repeat must find it.

        What may be repeated needs no ledger. What may not, and has no key,
        runs once since this entry sends it once; only its caller could
        repeat it, and would be asking for a second run.
        """
        parts = self._parts
        if call.request.repeatable or not call.request.key:
            return run_call(parts, call)
        once = make_once_request(
            req,
            call.opened,
            call.request.key,
            call.request.body,
        )
        left = call.opened.deadline - parts.runtime.clock.now()
        return run_keyed(
            parts.ledger, once, lambda: run_call(parts, call), left
        )


def run_call(parts: ServiceContext, call: ServiceCall) -> Answer:
    """Run a call at most once if it may not be repeated.

    Raises
    ------
    RefusalError
        No whole answer; `not_run` is true only when nothing can have started.
    """
    work = _describe(parts, call)
    pool = f'{call.team.team}/{call.settings.id}/0'
    failed: FailedAttempt | None = None
    started = False
    number = 0
    while True:
        permit = _acquire(parts, pool, work, failed, started=started)
        request = msgspec.structs.replace(
            call.request, exchange=RequestId(f'{call.opened.id}.{number}')
        )
        try:
            return _exchange(parts, call, permit, request)
        except UpstreamNotStartedError as error:
            failed = describe_failure(permit, error)
        except UpstreamError as error:
            failed = describe_failure(permit, error)
            started = True
            if not call.request.repeatable:
                raise _refuse_repeat(parts, permit, error) from error
        number += 1


def _acquire(
    parts: ServiceContext,
    pool: str,
    work: Work,
    failed: FailedAttempt | None,
    *,
    started: bool,
) -> Permit:
    try:
        return parts.permits.acquire(pool, work, failed)
    except RefusalError as refusal:
        if started:
            refusal.not_run = NotRun.FALSE
        raise


def _exchange(
    parts: ServiceContext,
    call: ServiceCall,
    permit: Permit,
    request: ServiceRequest,
) -> Answer:
    clock = parts.runtime.clock
    begun = clock.now()
    left = max(call.opened.deadline - begun, 0.001)
    limit = min(parse_duration(call.settings.timeout), left)
    try:
        answer = parts.service.call(permit.address, request, limit)
    except UpstreamError:
        parts.permits.drop(permit)
        raise
    except BaseException:
        parts.permits.release(permit, Release.CANCELLED)
        raise
    seconds = clock.now() - begun
    parts.permits.release(permit, Release.DONE, tokens=1, seconds=seconds)
    write(
        _LOGGER,
        REQUEST_ANSWERED,
        request=call.opened.id,
        samplers=[permit.upstream],
        status=answer.status,
    )
    named = (HEADER_SAMPLER, str(permit.upstream))
    return Answer(
        status=answer.status,
        headers=(*answer.headers, named),
        body=answer.body,
    )


def _refuse_repeat(
    parts: ServiceContext, permit: Permit, error: UpstreamError
) -> RefusalError:
    parts.permits.release(permit, Release.FAILED)
    return RefusalError(
        f'the upstream gave no whole answer: {error.problem}',
        'it may have run; ask the service before you send it again',
        reason='outcome_unknown',
        status=502,
        not_run=NotRun.UNKNOWN,
    )


def _find_service(
    parts: ServiceContext,
    opened: CallerRequest,
    service: str,
) -> tuple[TeamSettings, ServiceSettings]:
    team = parts.runtime.teams.get(opened.identity.team)
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


def _read_call(
    request: falcon.Request,
    opened: CallerRequest,
    settings: ServiceSettings,
    path: str,
) -> ServiceRequest:
    query = f'?{request.query_string}' if request.query_string else ''
    headers = tuple(
        (name.title(), value)
        for name, value in request.headers.items()
        if name not in _OWN_HEADERS
    )
    return ServiceRequest(
        exchange=opened.id,
        method=request.method,
        # The server has decoded the path. A space or a line's end in it would
        # break the upstream's request line in two.
        path=f'/{quote(path, safe=_PATH_SAFE)}{query}',
        headers=headers,
        body=read_body(request),
        key=read_idempotency_key(request),
        repeatable=request.method in settings.idempotent,
    )


def _describe(parts: ServiceContext, call: ServiceCall) -> Work:
    caller = find_caller(call.team, call.opened.identity)
    return Work(
        id=call.opened.id,
        team=call.team.team,
        caller=call.opened.identity.caller,
        deadline=call.opened.deadline,
        expected_tokens=1,
        idempotent=call.request.repeatable,
        weight=caller.weight if caller else 1.0,
        team_weight=call.team.weight,
        zone=parts.runtime.settings.availability_zone,
    )
